package limit

import (
	"maps"
	"slices"
	"time"
)

// Life is how long a borrower may use a slice, counted from its request.
const Life = 4 * time.Second

// Margin is how much longer than Life a lender counts a slice, since clocks may run at different speeds.
const Margin = 500 * time.Millisecond

// Slice is the part of a ceiling that is lent to one borrower.
type Slice struct {
	Slots  int
	Wanted int
	Until  time.Time // Until is when the lender stops counting the slice.
}

// Book is a lender's record of the slices of one ceiling; its values are never changed after construction.
type Book struct {
	start  time.Time        // when the instance became the lender; slices of a former one lapse Life and Margin later
	slices map[string]Slice // by borrower
}

// Ask is a borrower's request for slots.
type Ask struct {
	From    string
	Running int // Running counts slots in use, which cannot be taken back.
	Held    int // Held counts slots that the borrower may use now.
	Wanted  int
}

// Open returns the empty book of an instance that becomes the lender now.
func Open(now time.Time) Book {
	return Book{start: now}
}

// Lent returns the number of slots that count against the ceiling now.
func (b Book) Lent(now time.Time) int {
	lent := 0
	for _, s := range b.slices {
		if s.Until.After(now) {
			lent += s.Slots
		}
	}
	return lent
}

// Opened returns when the instance became the lender.
func (b Book) Opened() time.Time {
	return b.start
}

// WithAsk returns the book after a borrower's request, and the number of slots granted.
func (b Book) WithAsk(a Ask, ceiling int, now time.Time) (Book, int) {
	next := Book{start: b.start, slices: make(map[string]Slice, len(b.slices)+1)}
	lentToOthers := 0
	for name, s := range b.slices {
		if name == a.From || !s.Until.After(now) {
			continue
		}
		next.slices[name] = s
		lentToOthers += s.Slots
	}
	granted := min(b.grantable(a, next.slices, ceiling, now), max(0, ceiling-lentToOthers))
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

// grantable returns the number of slots due to a borrower, regardless of how many the others still hold.
func (b Book) grantable(a Ask, others map[string]Slice, ceiling int, now time.Time) int {
	if now.Before(b.start.Add(Life + Margin)) {
		return min(a.Held, ceiling)
	}
	wantedBy := map[string]int{a.From: a.Wanted}
	for name, s := range others {
		wantedBy[name] = s.Wanted
	}
	return divide(wantedBy, ceiling)[a.From]
}

// divide splits a ceiling by max-min fairness: nobody gets more than wanted, and the smallest part is as large as
// possible.
func divide(wantedBy map[string]int, ceiling int) map[string]int {
	names := slices.SortedFunc(maps.Keys(wantedBy), func(a, b string) int {
		if wantedBy[a] != wantedBy[b] {
			return wantedBy[a] - wantedBy[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	allotted := make(map[string]int, len(wantedBy))
	remaining := ceiling
	for i, name := range names {
		claimants := len(names) - i
		slots := min(wantedBy[name], (remaining+claimants-1)/claimants)
		allotted[name] = slots
		remaining -= slots
	}
	return allotted
}

// Floor returns the number of slots that an instance may use while the lender is unreachable: an equal part of the
// ceiling, with one slot of the remainder for each of the first ranks.
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
