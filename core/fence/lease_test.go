package fence

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	other := Seen{}.WithLease(Lease{Holder: "b", Number: 4}, 9, now)
	mine := Seen{}.WithHold(Lease{Holder: "a", Number: 4}, 9, now)
	cases := map[string]struct {
		seen  Seen
		wants bool
		at    time.Time
		want  Step
	}{
		"free":               {wants: true, at: now, want: Take{Lease: Lease{Holder: "a", Number: 1}}},
		"free-not-wanted":    {at: now, want: Watch{}},
		"held-by-another":    {seen: other, wants: true, at: now.Add(Life), want: Watch{}},
		"lapsed":             {seen: other, wants: true, at: now.Add(Life + 2*Margin), want: Take{Lease: Lease{Holder: "a", Number: 5}}},
		"own":                {seen: mine, wants: true, at: now, want: Extend{Lease: Lease{Holder: "a", Number: 4}}},
		"own-not-wanted":     {seen: mine, at: now, want: Watch{}},
		"own-of-former-life": {seen: Seen{}.WithLease(Lease{Holder: "a", Number: 4}, 9, now), wants: true, at: now, want: Watch{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.seen, "a", test.wants, test.at), quicktest.DeepEquals, test.want)
		})
	}
}

func TestMay(t *testing.T) {
	now := time.Unix(1000, 0)
	mine := Seen{}.WithHold(Lease{Holder: "a", Number: 4}, 9, now)
	cases := map[string]struct {
		seen   Seen
		engine Engine
		taken  time.Time
		at     time.Time
		want   bool
	}{
		"checking":               {seen: mine, engine: Checking{}, taken: now, at: now, want: true},
		"ignoring-too-early":     {seen: mine, engine: Ignoring{}, taken: now, at: now},
		"ignoring-later":         {seen: mine, engine: Ignoring{}, taken: now.Add(-Life), at: now, want: true},
		"order-would-outlive-it": {seen: mine, engine: Checking{}, taken: now, at: now.Add(Life - OrderBound/2)},
		"lapsed":                 {seen: mine, engine: Checking{}, taken: now, at: now.Add(2 * Life)},
		"not-mine":               {seen: Seen{}.WithLease(Lease{Holder: "b"}, 1, now), engine: Checking{}, at: now},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(May(test.seen, "a", test.engine, test.taken, test.at), quicktest.Equals, test.want)
		})
	}
}
