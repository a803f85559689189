package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token is one piece of output at its offset in the answer, counted from 0.
type Token struct {
	Offset int
	Text   string
}

// Lineage is the history of one answer: how many tokens it has, their running hash and the attempts that may add to it.
type Lineage struct {
	offset  int
	hash    uint64
	current int // current is the attempt that owns the answer.
	rival   int // rival is a second attempt in a race, or 0.
	last    int // last is the highest attempt number ever used.
}

// Verdict is the sealed result of offering a token to a lineage: Deliver, Drop or Fault.
type Verdict interface {
	isVerdict()
}

// Deliver says that the token is the next of the answer.
type Deliver struct {
	Superseded int // Superseded is the attempt that lost a race with this token, or 0.
}

// Drop says that the token belongs to an attempt that is no longer current.
type Drop struct{}

// Fault says that a current attempt skipped or repeated an offset and can no longer be trusted.
type Fault struct {
	Want int
	Got  int
}

func (Deliver) isVerdict() {}
func (Drop) isVerdict()    {}
func (Fault) isVerdict()   {}

// NewLineage returns a lineage that goes on after offset tokens with the given running hash, with attempt numbers above last.
func NewLineage(offset int, hash uint64, last int) Lineage {
	return Lineage{offset: offset, hash: hash, last: last}
}

// NextHash extends a running hash by one token.
func NextHash(hash uint64, text string) uint64 {
	d := xxhash.NewWithSeed(hash)
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Attempt returns the attempt that owns the answer, or 0 when none does.
func (l Lineage) Attempt() int {
	return l.current
}

// Hash returns the running hash of the tokens so far.
func (l Lineage) Hash() uint64 {
	return l.hash
}

// Holds tells whether an attempt may still add to the answer.
func (l Lineage) Holds(attempt int) bool {
	return attempt != 0 && (attempt == l.current || attempt == l.rival)
}

// Last returns the highest attempt number used so far.
func (l Lineage) Last() int {
	return l.last
}

// Offer decides whether a token of an attempt extends the answer.
func (l Lineage) Offer(attempt int, t Token) (Lineage, Verdict) {
	if !l.Holds(attempt) {
		return l, Drop{}
	}
	if t.Offset != l.offset {
		return l, Fault{Want: l.offset, Got: t.Offset}
	}
	loser := 0
	if l.rival != 0 {
		loser = l.current + l.rival - attempt
	}
	l.current = attempt
	l.rival = 0
	l.offset++
	l.hash = NextHash(l.hash, t.Text)
	return l, Deliver{Superseded: loser}
}

// Offset returns the number of tokens so far, which is the offset of the next.
func (l Lineage) Offset() int {
	return l.offset
}

// WithAttempt returns a lineage owned by a new attempt alone, and the attempt's number.
func (l Lineage) WithAttempt() (Lineage, int) {
	l.last++
	l.current = l.last
	l.rival = 0
	return l, l.last
}

// WithRival returns a lineage in which a new attempt races the current one, and the attempt's number.
func (l Lineage) WithRival() (Lineage, int) {
	l.last++
	l.rival = l.last
	return l, l.last
}

// WithoutAttempt returns a lineage that takes nothing more from an attempt.
func (l Lineage) WithoutAttempt(attempt int) Lineage {
	switch attempt {
	case l.current:
		l.current, l.rival = l.rival, 0
	case l.rival:
		l.rival = 0
	}
	return l
}
