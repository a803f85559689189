package limit

import (
	"maps"
	"slices"
	"time"
)

// SliceLifetime is how long a borrower may use a slice, counted from its request.
const SliceLifetime = 4 * time.Second

// ClockMargin is how much longer than SliceLifetime a lender counts a slice, since clocks may run at different speeds.
const ClockMargin = 500 * time.Millisecond

// Slice is the part of a ceiling that is lent to one borrower.
type Slice struct {
	Slots     int
	Wanted    int
	ExpiresAt time.Time // ExpiresAt is when the lender stops counting the slice.
}

// Book is a lender's record of the slices of one ceiling; its values are never changed after construction.
type Book struct {
	// start is when the instance became the lender; slices of a former one lapse SliceLifetime and ClockMargin later.
	start  time.Time
	slices map[string]Slice // by borrower
}

// Request is a borrower's request for slots.
type Request struct {
	Borrower string
	Running  int // Running counts slots in use, which cannot be taken back.
	Held     int // Held counts slots that the borrower may use now.
	Wanted   int
}

// NewBook returns the empty book of an instance that becomes the lender now.
func NewBook(now time.Time) Book {
	return Book{start: now}
}

// Lent returns the number of slots that count against the ceiling now.
func (b Book) Lent(now time.Time) int {
	lent := 0
	for _, s := range b.slices {
		if s.ExpiresAt.After(now) {
			lent += s.Slots
		}
	}
	return lent
}

// Start returns when the instance became the lender.
func (b Book) Start() time.Time {
	return b.start
}

// WithRequest returns the book after a borrower's request, and the number of slots granted.
func (b Book) WithRequest(r Request, ceiling int, now time.Time) (Book, int) {
	next := Book{start: b.start, slices: make(map[string]Slice, len(b.slices)+1)}
	lentToOthers := 0
	for name, s := range b.slices {
		if name == r.Borrower || !s.ExpiresAt.After(now) {
			continue
		}
		next.slices[name] = s
		lentToOthers += s.Slots
	}
	granted := min(b.grantable(r, next.slices, ceiling, now), max(0, ceiling-lentToOthers))
	if granted == 0 && r.Running == 0 && r.Wanted == 0 {
		return next, 0
	}
	next.slices[r.Borrower] = Slice{
		Slots:     max(granted, r.Running),
		Wanted:    r.Wanted,
		ExpiresAt: now.Add(SliceLifetime + ClockMargin),
	}
	return next, granted
}

// grantable returns the number of slots due to a borrower, regardless of how many the others still hold.
func (b Book) grantable(r Request, others map[string]Slice, ceiling int, now time.Time) int {
	if now.Before(b.start.Add(SliceLifetime + ClockMargin)) {
		return min(r.Held, ceiling)
	}
	wantedBy := map[string]int{r.Borrower: r.Wanted}
	for name, s := range others {
		wantedBy[name] = s.Wanted
	}
	return divide(wantedBy, ceiling)[r.Borrower]
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

// FallbackSlots returns the number of slots that an instance may use while the lender is unreachable: an equal part of
// the ceiling, with one slot of the remainder for each of the first ranks.
func FallbackSlots(ceiling, rank, members int) int {
	if members == 0 {
		return 0
	}
	slots := ceiling / members
	if rank < ceiling%members {
		slots++
	}
	return slots
}
