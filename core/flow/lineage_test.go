package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLineageOffer(t *testing.T) {
	owned, first := NewLineage(0, 0, 0).WithAttempt()
	raced, rival := owned.WithRival()
	cases := map[string]struct {
		lineage Lineage
		attempt int
		offset  int
		want    Verdict
	}{
		"next":               {lineage: owned, attempt: first, offset: 0, want: Deliver{}},
		"gap":                {lineage: owned, attempt: first, offset: 1, want: Fault{Want: 0, Got: 1}},
		"stranger":           {lineage: owned, attempt: 9, offset: 0, want: Drop{}},
		"no-attempt":         {lineage: NewLineage(0, 0, 0), attempt: 0, offset: 0, want: Drop{}},
		"rival-wins":         {lineage: raced, attempt: rival, offset: 0, want: Deliver{Superseded: first}},
		"incumbent-wins":     {lineage: raced, attempt: first, offset: 0, want: Deliver{Superseded: rival}},
		"given-up":           {lineage: owned.WithoutAttempt(first), attempt: first, offset: 0, want: Drop{}},
		"rival-left-alone":   {lineage: raced.WithoutAttempt(first), attempt: rival, offset: 0, want: Deliver{}},
		"replaced-by-a-next": {lineage: second(owned.WithAttempt()), attempt: first, offset: 0, want: Drop{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, got := test.lineage.Offer(test.attempt, Token{Offset: test.offset, Text: "x"})
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}

// second returns the lineage of a lineage and its attempt.
func second(l Lineage, _ int) Lineage {
	return l
}

// TestLineageDelivers checks that whatever attempts offer, what is delivered is one text without gap or repetition.
func TestLineageDelivers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLineage(0, 0, 0)
		delivered := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l, _ = l.WithAttempt()
			case 1:
				l, _ = l.WithRival()
			case 2:
				l = l.WithoutAttempt(rapid.IntRange(0, l.Last()).Draw(t, "lost"))
			default:
				attempt := rapid.IntRange(0, l.Last()).Draw(t, "attempt")
				offset := rapid.IntRange(0, delivered+2).Draw(t, "offset")
				next, verdict := l.Offer(attempt, Token{Offset: offset, Text: "x"})
				if _, ok := verdict.(Deliver); ok {
					if offset != delivered || !l.Holds(attempt) {
						t.Fatalf("offset %d of attempt %d delivered after %d tokens", offset, attempt, delivered)
					}
					delivered++
				}
				l = next
			}
			if l.Offset() != delivered {
				t.Fatalf("offset %d after %d tokens", l.Offset(), delivered)
			}
		}
	})
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		policy Policy
		signal Signal
		deaths int
		want   Step
	}{
		"latency-races":         {policy: Latency{}, signal: Silent{}, want: Race{}},
		"latency-attaches":      {policy: Latency{}, signal: Alive{}, want: Attach{}},
		"latency-continues":     {policy: Latency{}, signal: Dead{}, want: Continue{}},
		"thrift-probes":         {policy: Thrift{}, signal: Severed{}, want: Probe{}},
		"thrift-attaches":       {policy: Thrift{}, signal: Alive{}, want: Attach{}},
		"thrift-continues":      {policy: Thrift{}, signal: Forgotten{}, want: Continue{}},
		"restart-regenerates":   {policy: Restart{}, signal: Severed{}, want: Regenerate{}},
		"too-many-deaths":       {policy: Latency{}, signal: Dead{}, deaths: MaxDeaths, want: Abandon{}},
		"silence-is-no-death":   {policy: Latency{}, signal: Silent{}, deaths: MaxDeaths, want: Race{}},
		"last-death-is-allowed": {policy: Thrift{}, signal: Dead{}, deaths: MaxDeaths - 1, want: Continue{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.policy, test.signal, test.deaths), quicktest.Equals, test.want)
		})
	}
}

func TestPatience(t *testing.T) {
	cases := map[string]struct {
		gaps    []time.Duration
		atLeast time.Duration
		atMost  time.Duration
	}{
		"none":   {atLeast: MaxPatience, atMost: MaxPatience},
		"steady": {gaps: repeat(47*time.Millisecond, 50), atLeast: MinPatience, atMost: 2 * MinPatience},
		"slow":   {gaps: repeat(2*time.Second, 20), atLeast: MaxPatience, atMost: MaxPatience},
		"jitter": {gaps: append(repeat(20*time.Millisecond, 20), 120*time.Millisecond), atLeast: 200 * time.Millisecond, atMost: MaxPatience},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var g Gaps
			for _, gap := range test.gaps {
				g = g.WithGap(gap)
			}
			c.Assert(g.Patience() >= test.atLeast && g.Patience() <= test.atMost, quicktest.IsTrue, quicktest.Commentf("%s", g.Patience()))
		})
	}
}

// repeat returns a gap a number of times.
func repeat(gap time.Duration, count int) []time.Duration {
	gaps := make([]time.Duration, count)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}
