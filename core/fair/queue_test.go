package fair

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// alwaysRoom reports room for every model.
func alwaysRoom(string) bool { return true }

// TestShares checks that organisations with a constant backlog are served in proportion to their shares.
func TestShares(t *testing.T) {
	cases := map[string]struct {
		shares map[string]float64
		want   map[string]float64
	}{
		"equal-shares":             {shares: map[string]float64{"a": 10, "b": 10}, want: map[string]float64{"a": 0.5, "b": 0.5}},
		"three-to-one":             {shares: map[string]float64{"a": 75, "b": 25}, want: map[string]float64{"a": 0.75, "b": 0.25}},
		"small-share":              {shares: map[string]float64{"a": 60, "b": 38, "c": 2}, want: map[string]float64{"a": 0.6, "b": 0.38, "c": 0.02}},
		"shares-below-one-hundred": {shares: map[string]float64{"a": 10, "b": 30}, want: map[string]float64{"a": 0.25, "b": 0.75}},
	}
	const rounds, tolerance = 4000, 0.02
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var q Queue
			got := make(map[string]float64)
			add := func(organisation string) {
				var err error
				q, _, err = q.WithTicket(organisation, "m", test.shares[organisation], time.Time{})
				c.Assert(err, quicktest.IsNil)
			}
			for organisation := range test.shares {
				for range 20 {
					add(organisation)
				}
			}
			for range rounds {
				next, ticket, ok := q.WithoutNext(alwaysRoom)
				c.Assert(ok, quicktest.IsTrue)
				q = next
				got[ticket.Organisation] += 1.0 / rounds
				add(ticket.Organisation)
			}
			for organisation, want := range test.want {
				difference := got[organisation] - want
				c.Assert(difference < tolerance && difference > -tolerance, quicktest.IsTrue, quicktest.Commentf("%s got %.3f of %.3f", organisation, got[organisation], want))
			}
		})
	}
}

// errorUnless returns an error unless ok is true.
func errorUnless(ok bool) error {
	if ok {
		return nil
	}
	return ErrFull
}

func TestQueue(t *testing.T) {
	now := time.Unix(100, 0)
	full := Queue{}
	for range MaxPerOrganisation {
		full, _, _ = full.WithTicket("a", "m", 1, now.Add(time.Second))
	}
	cases := map[string]struct {
		run  func() (any, error)
		want any
		err  error
	}{
		"organisation-at-its-bound":    {run: func() (any, error) { _, _, err := full.WithTicket("a", "m", 1, now); return nil, err }, err: ErrFull},
		"other-organisation-is-queued": {run: func() (any, error) { q, _, err := full.WithTicket("b", "m", 1, now); return q.Len(), err }, want: MaxPerOrganisation + 1},
		"expired-are-removed": {run: func() (any, error) {
			q, expired := full.WithoutExpired(now.Add(2 * time.Second))
			return q.Len() + len(expired)*10, nil
		}, want: MaxPerOrganisation * 10},
		"none-expired-before-the-deadline":       {run: func() (any, error) { q, expired := full.WithoutExpired(now); return q.Len() + len(expired)*10, nil }, want: MaxPerOrganisation},
		"withdrawn-ticket":                       {run: func() (any, error) { q, found := full.WithoutTicket(3); return q.Len(), errorUnless(found) }, want: MaxPerOrganisation - 1},
		"no-model-has-room":                      {run: func() (any, error) { _, _, ok := full.WithoutNext(func(string) bool { return false }); return ok, nil }, want: false},
		"new-organisation-does-not-wait-for-all": {run: func() (any, error) { return full.EstimateWait("b", 10, 1) < 20*time.Second, nil }, want: true},
		"wait-grows-with-the-queue":              {run: func() (any, error) { return full.EstimateWait("a", 1, 1), nil }, want: (MaxPerOrganisation + 1) * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			got, err := test.run()
			c.Assert(err, quicktest.Equals, test.err)
			c.Assert(got, quicktest.Equals, test.want)
		})
	}
}
