package recall

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"bramleywharf.example/core/taint"
)

// hexID is a hash, encoded as hexadecimal text: JSON numbers of other programs may lack its last digits.
type hexID uint64

// MarshalText encodes the hash.
func (h hexID) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// UnmarshalText decodes the hash.
func (h *hexID) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("decode hash: %w", err)
	}
	*h = hexID(value)
	return nil
}

// crashValue is the stored encoding of a crash, and of a loss of a part.
type crashValue struct {
	Target  hexID `json:"target"`
	Request hexID `json:"request"`
	Domain  hexID `json:"domain"`
	AtMS    int64 `json:"at-ms"` // AtMS is the Unix time in ms, by the clock of the instance that stored it first.
	Excused bool  `json:"excused,omitempty"`
}

// bookValue is the stored encoding of a book.
type bookValue struct {
	Parts   map[string][]crashValue `json:"parts"` // Parts maps the keys of parts to their losses.
	Crashes []crashValue            `json:"crashes"`
}

// encode returns the encoding of a book at a time.
func encode(b taint.Book, now time.Time) bookValue {
	value := bookValue{Parts: make(map[string][]crashValue, b.Len())}
	atMS := func(at time.Time) int64 { return now.UnixMilli() - now.Sub(at).Milliseconds() }
	for part, losses := range b.All() {
		for _, l := range losses {
			value.Parts[part] = append(value.Parts[part], crashValue{Target: hexID(l.ID.Target), Request: hexID(l.ID.Request), Domain: hexID(l.Domain), AtMS: atMS(l.At), Excused: l.Excused})
		}
	}
	for _, c := range b.Crashes() {
		value.Crashes = append(value.Crashes, crashValue{Target: hexID(c.ID.Target), Request: hexID(c.ID.Request), Domain: hexID(c.Domain), AtMS: atMS(c.At)})
	}
	return value
}

// book returns the book that the value stands for, without what has expired. Times in the future, by another clock, are
// taken for the present.
func (v bookValue) book(now time.Time) taint.Book {
	parts := make(map[string][]taint.Loss, len(v.Parts))
	for _, part := range slices.Sorted(maps.Keys(v.Parts)) {
		for _, c := range v.Parts[part] {
			if !taint.IsExpired(c.at(now), now) {
				parts[part] = append(parts[part], taint.Loss{ID: c.id(), Domain: uint64(c.Domain), At: c.at(now), Excused: c.Excused})
			}
		}
	}
	var crashes []taint.Crash
	for _, c := range v.Crashes {
		if !taint.IsExpired(c.at(now), now) {
			crashes = append(crashes, taint.Crash{ID: c.id(), Domain: uint64(c.Domain), At: c.at(now)})
		}
	}
	return taint.NewBook(parts, crashes)
}

// at returns the time of the crash by the clock of this instance. One older than a day is taken for a day old.
func (c crashValue) at(now time.Time) time.Time {
	const day = 24 * time.Hour
	ms := min(max(c.AtMS, now.Add(-day).UnixMilli()), now.UnixMilli())
	return now.Add(-time.Duration(now.UnixMilli()-ms) * time.Millisecond)
}

// id returns the identity of the crash.
func (c crashValue) id() taint.LossID {
	return taint.LossID{Target: uint64(c.Target), Request: uint64(c.Request)}
}
