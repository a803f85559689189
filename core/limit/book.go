package limit

import (
	"maps"
	"slices"
	"time"
)

// Life is how long a slice may be spent after it was asked for.
const Life = 4 * time.Second

// Margin is how much longer than Life a lender counts a slice, against clocks that run at different speeds.
const Margin = 500 * time.Millisecond

// Slice is what one borrower has of a ceiling.
type Slice struct {
	Slots  int
	Wanted int
	Until  time.Time // Until is when the lender stops counting the slice.
}

// Book is a lender's account of one ceiling; its values are never changed after construction.
type Book struct {
	opened time.Time // opened is when this lender began; what others lent before has lapsed after Life and Margin.
	slices map[string]Slice
}

// Ask is a borrower's wish.
type Ask struct {
	From    string
	Running int // Running counts slots in use, which cannot be taken back.
	Held    int // Held counts slots that the borrower may spend now.
	Wanted  int
}

// Open returns the book of a lender that begins now.
func Open(now time.Time) Book {
	return Book{opened: now}
}

// Lent returns the slots that count against the ceiling now.
func (b Book) Lent(now time.Time) int {
	sum := 0
	for _, s := range b.slices {
		if s.Until.After(now) {
			sum += s.Slots
		}
	}
	return sum
}

// Opened returns when this lender began.
func (b Book) Opened() time.Time {
	return b.opened
}

// WithAsk returns the book after a borrower asked, and the slots that it is granted.
func (b Book) WithAsk(a Ask, ceiling int, now time.Time) (Book, int) {
	next := Book{opened: b.opened, slices: make(map[string]Slice, len(b.slices)+1)}
	others := 0
	for name, s := range b.slices {
		if name == a.From || !s.Until.After(now) {
			continue
		}
		next.slices[name] = s
		others += s.Slots
	}
	granted := min(b.grant(a, next.slices, ceiling, now), max(0, ceiling-others))
	if granted == 0 && a.Running == 0 && a.Wanted == 0 {
		return next, 0
	}
	next.slices[a.From] = Slice{
		Slots:  max(granted, a.Running),
		Wanted: a.Wanted,
		Until:  now.Add(Life + Margin),
	}
	return next, granted
}

// grant returns the slots that a borrower should have, whatever the others still hold.
func (b Book) grant(a Ask, others map[string]Slice, ceiling int, now time.Time) int {
	if now.Before(b.opened.Add(Life + Margin)) {
		return min(a.Held, ceiling)
	}
	wants := map[string]int{a.From: a.Wanted}
	for name, s := range others {
		wants[name] = s.Wanted
	}
	return divide(wants, ceiling)[a.From]
}

// divide splits a ceiling among wishes so that nobody gets more than wished and the least served get as much as possible.
func divide(wants map[string]int, ceiling int) map[string]int {
	names := slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		if wants[a] != wants[b] {
			return wants[a] - wants[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	parts := make(map[string]int, len(wants))
	left := ceiling
	for i, name := range names {
		open := len(names) - i
		part := min(wants[name], (left+open-1)/open)
		parts[name] = part
		left -= part
	}
	return parts
}

// Floor returns the slots that an instance may spend when no lender can be reached: an equal part of the ceiling by its rank among the members.
func Floor(ceiling, rank, members int) int {
	if members == 0 {
		return 0
	}
	floor := ceiling / members
	if rank < ceiling%members {
		floor++
	}
	return floor
}
