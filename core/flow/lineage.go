package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token is one token of an answer; offsets count tokens from 0.
type Token struct {
	Offset int
	Text   string
}

// Lineage is the immutable state of one answer: its number of tokens, their running hash and the attempts that may
// extend it.
type Lineage struct {
	offset      int
	hash        uint64
	current     int // attempt that produces the answer, or 0
	rival       int // second attempt that races the current one, or 0
	lastAttempt int // highest attempt number used
}

// Verdict is the sealed set of results of Offer: Deliver, Drop and Fault.
type Verdict interface {
	isVerdict()
}

// Deliver means that the token is the next one of the answer.
type Deliver struct {
	Superseded int // Superseded is the attempt that lost the race to this token, or 0.
}

// Drop means that the token's attempt may not extend the answer.
type Drop struct{}

// Fault means that an attempt skipped or repeated an offset, so that its output is unusable.
type Fault struct {
	Want int
	Got  int
}

func (Deliver) isVerdict() {}
func (Drop) isVerdict()    {}
func (Fault) isVerdict()   {}

// NewLineage returns the lineage of an answer with offset tokens and their running hash. The next attempt is number
// lastAttempt+1.
func NewLineage(offset int, hash uint64, lastAttempt int) Lineage {
	return Lineage{offset: offset, hash: hash, lastAttempt: lastAttempt}
}

// NextHash returns a running hash extended by one token.
func NextHash(hash uint64, text string) uint64 {
	d := xxhash.NewWithSeed(hash)
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// CanExtend reports whether an attempt may extend the answer.
func (l Lineage) CanExtend(attempt int) bool {
	return attempt != 0 && (attempt == l.current || attempt == l.rival)
}

// CurrentAttempt returns the attempt that produces the answer, or 0 if there is none.
func (l Lineage) CurrentAttempt() int {
	return l.current
}

// Hash returns the running hash of the tokens so far.
func (l Lineage) Hash() uint64 {
	return l.hash
}

// LastAttempt returns the highest attempt number used so far.
func (l Lineage) LastAttempt() int {
	return l.lastAttempt
}

// Offer decides whether a token of an attempt extends the answer, and returns the lineage after it.
func (l Lineage) Offer(attempt int, t Token) (Lineage, Verdict) {
	if !l.CanExtend(attempt) {
		return l, Drop{}
	}
	if t.Offset != l.offset {
		return l, Fault{Want: l.offset, Got: t.Offset}
	}
	superseded := 0
	if l.rival != 0 {
		superseded = l.current + l.rival - attempt
	}
	l.current = attempt
	l.rival = 0
	l.offset++
	l.hash = NextHash(l.hash, t.Text)
	return l, Deliver{Superseded: superseded}
}

// Offset returns the number of tokens so far, which is the offset of the next one.
func (l Lineage) Offset() int {
	return l.offset
}

// WithAttempt returns a lineage that only a new attempt may extend, and the attempt's number.
func (l Lineage) WithAttempt() (Lineage, int) {
	l.lastAttempt++
	l.current = l.lastAttempt
	l.rival = 0
	return l, l.lastAttempt
}

// WithRival returns a lineage in which a new attempt races the current one, and the attempt's number.
func (l Lineage) WithRival() (Lineage, int) {
	l.lastAttempt++
	l.rival = l.lastAttempt
	return l, l.lastAttempt
}

// WithoutAttempt returns a lineage that an attempt may no longer extend; its rival, if any, becomes the current one.
func (l Lineage) WithoutAttempt(attempt int) Lineage {
	switch attempt {
	case l.current:
		l.current, l.rival = l.rival, 0
	case l.rival:
		l.rival = 0
	}
	return l
}
