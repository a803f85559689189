package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLentNeverExceedsCeiling checks that the lent slots stay within the ceiling, whatever borrowers ask and whenever.
// Only slots still running at a borrower that asks again after its slice has lapsed may exceed it.
func TestLentNeverExceedsCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		book := NewBook(now.Add(-SliceLifetime - ClockMargin))
		ceiling := rapid.IntRange(1, 50).Draw(t, "ceiling")
		granted, overdue := make(map[string]int), make(map[string]int)
		expiresAt := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			borrower := fmt.Sprint("b", rapid.IntRange(0, 4).Draw(t, "from"))
			running := rapid.IntRange(0, granted[borrower]).Draw(t, "running")
			request := Request{Borrower: borrower, Running: running, Held: granted[borrower], Wanted: rapid.IntRange(0, 80).Draw(t, "wanted")}
			if !expiresAt[borrower].After(now) {
				request.Held, overdue[borrower] = 0, running
			}
			var got int
			book, got = book.WithRequest(request, ceiling, now)
			granted[borrower], expiresAt[borrower] = max(got, running), now.Add(SliceLifetime+ClockMargin)
			bound := ceiling
			for _, s := range overdue {
				bound += s
			}
			if book.Lent(now) > bound {
				t.Fatalf("%d slots lent of %d", book.Lent(now), bound)
			}
		}
	})
}

func TestWithRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	established := NewBook(now.Add(-SliceLifetime - ClockMargin))
	partlyLent, _ := established.WithRequest(Request{Borrower: "b", Wanted: 8}, 10, now)
	cases := map[string]struct {
		book    Book
		request Request
		at      time.Time
		want    int
	}{
		"all-wanted-slots":               {book: established, request: Request{Borrower: "a", Wanted: 4}, at: now, want: 4},
		"at-most-the-ceiling":            {book: established, request: Request{Borrower: "a", Wanted: 40}, at: now, want: 10},
		"rest-beside-another-slice":      {book: partlyLent, request: Request{Borrower: "a", Wanted: 10}, at: now, want: 2},
		"other-slice-lapsed":             {book: partlyLent, request: Request{Borrower: "a", Wanted: 10}, at: now.Add(SliceLifetime + ClockMargin), want: 10},
		"other-slice-within-margin":      {book: partlyLent, request: Request{Borrower: "a", Wanted: 10}, at: now.Add(SliceLifetime), want: 2},
		"new-lender-grants-none":         {book: NewBook(now), request: Request{Borrower: "a", Wanted: 4}, at: now, want: 0},
		"new-lender-confirms-held-slots": {book: NewBook(now), request: Request{Borrower: "a", Wanted: 9, Held: 3}, at: now, want: 3},
		"new-lender-after-former-slices": {book: NewBook(now), request: Request{Borrower: "a", Wanted: 4}, at: now.Add(SliceLifetime + ClockMargin), want: 4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, got := test.book.WithRequest(test.request, 10, test.at)
			quicktest.New(t).Assert(got, quicktest.Equals, test.want)
		})
	}
}

func TestFallbackSlots(t *testing.T) {
	for name, test := range map[string]struct{ ceiling, members int }{
		"no-remainder": {12, 4}, "remainder": {13, 4}, "fewer-slots-than-members": {2, 5}, "one-member": {7, 1},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for rank := range test.members {
				sum += FallbackSlots(test.ceiling, rank, test.members)
			}
			quicktest.New(t).Assert(sum, quicktest.Equals, test.ceiling)
		})
	}
}
