package fence

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	heldByOther := Seen{}.WithLease(Lease{Holder: "b", Number: 4}, 9, now)
	heldBySelf := Seen{}.WithHold(Lease{Holder: "a", Number: 4}, 9, now)
	cases := map[string]struct {
		seen       Seen
		shouldHold bool
		at         time.Time
		want       Step
	}{
		"free":                    {shouldHold: true, at: now, want: Take{Lease: Lease{Holder: "a", Number: 1}}},
		"free-should-not-hold":    {at: now, want: Watch{}},
		"held-by-other":           {seen: heldByOther, shouldHold: true, at: now.Add(Life), want: Watch{}},
		"lapsed":                  {seen: heldByOther, shouldHold: true, at: now.Add(Life + 2*Margin), want: Take{Lease: Lease{Holder: "a", Number: 5}}},
		"own":                     {seen: heldBySelf, shouldHold: true, at: now, want: Extend{Lease: Lease{Holder: "a", Number: 4}}},
		"own-should-not-hold":     {seen: heldBySelf, at: now, want: Watch{}},
		"own-from-before-restart": {seen: Seen{}.WithLease(Lease{Holder: "a", Number: 4}, 9, now), shouldHold: true, at: now, want: Watch{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.seen, "a", test.shouldHold, test.at), quicktest.DeepEquals, test.want)
		})
	}
}

func TestMay(t *testing.T) {
	now := time.Unix(1000, 0)
	heldBySelf := Seen{}.WithHold(Lease{Holder: "a", Number: 4}, 9, now)
	cases := map[string]struct {
		seen    Seen
		engine  Engine
		takenAt time.Time
		at      time.Time
		want    bool
	}{
		"checking":                  {seen: heldBySelf, engine: Checking{}, takenAt: now, at: now, want: true},
		"ignoring-too-early":        {seen: heldBySelf, engine: Ignoring{}, takenAt: now, at: now},
		"ignoring-later":            {seen: heldBySelf, engine: Ignoring{}, takenAt: now.Add(-Life), at: now, want: true},
		"order-would-outlast-lease": {seen: heldBySelf, engine: Checking{}, takenAt: now, at: now.Add(Life - OrderBound/2)},
		"lapsed":                    {seen: heldBySelf, engine: Checking{}, takenAt: now, at: now.Add(2 * Life)},
		"held-by-other":             {seen: Seen{}.WithLease(Lease{Holder: "b"}, 1, now), engine: Checking{}, at: now},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(May(test.seen, "a", test.engine, test.takenAt, test.at), quicktest.Equals, test.want)
		})
	}
}
