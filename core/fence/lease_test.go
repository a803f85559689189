package fence

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	heldByOther := Observation{}.WithLease(Lease{Holder: "b", FencingNumber: 4}, 9, now)
	heldBySelf := Observation{}.WithRenewal(Lease{Holder: "a", FencingNumber: 4}, 9, now)
	cases := map[string]struct {
		observed   Observation
		shouldHold bool
		at         time.Time
		want       Step
	}{
		"free":                    {shouldHold: true, at: now, want: Take{Lease: Lease{Holder: "a", FencingNumber: 1}}},
		"free-should-not-hold":    {at: now, want: NoAction{}},
		"held-by-other":           {observed: heldByOther, shouldHold: true, at: now.Add(LeaseDuration), want: NoAction{}},
		"lapsed":                  {observed: heldByOther, shouldHold: true, at: now.Add(LeaseDuration + 2*TakeoverMargin), want: Take{Lease: Lease{Holder: "a", FencingNumber: 5}}},
		"own":                     {observed: heldBySelf, shouldHold: true, at: now, want: Extend{Lease: Lease{Holder: "a", FencingNumber: 4}}},
		"own-should-not-hold":     {observed: heldBySelf, at: now, want: NoAction{}},
		"own-from-before-restart": {observed: Observation{}.WithLease(Lease{Holder: "a", FencingNumber: 4}, 9, now), shouldHold: true, at: now, want: NoAction{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.observed, "a", test.shouldHold, test.at), quicktest.DeepEquals, test.want)
		})
	}
}

func TestMayOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	heldBySelf := Observation{}.WithRenewal(Lease{Holder: "a", FencingNumber: 4}, 9, now)
	cases := map[string]struct {
		observed Observation
		kind     EngineKind
		takenAt  time.Time
		at       time.Time
		want     bool
	}{
		"checking":                  {observed: heldBySelf, kind: ChecksFencing{}, takenAt: now, at: now, want: true},
		"ignoring-too-early":        {observed: heldBySelf, kind: IgnoresFencing{}, takenAt: now, at: now},
		"ignoring-later":            {observed: heldBySelf, kind: IgnoresFencing{}, takenAt: now.Add(-LeaseDuration), at: now, want: true},
		"order-would-outlast-lease": {observed: heldBySelf, kind: ChecksFencing{}, takenAt: now, at: now.Add(LeaseDuration - OrderTimeout/2)},
		"lapsed":                    {observed: heldBySelf, kind: ChecksFencing{}, takenAt: now, at: now.Add(2 * LeaseDuration)},
		"held-by-other":             {observed: Observation{}.WithLease(Lease{Holder: "b"}, 1, now), kind: ChecksFencing{}, at: now},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(MayOrder(test.observed, "a", test.kind, test.takenAt, test.at), quicktest.Equals, test.want)
		})
	}
}
