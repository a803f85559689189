package flow

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLineageOffer(t *testing.T) {
	oneAttempt, first := NewLineage(0, 0, 0).WithAttempt()
	twoAttempts, rival := oneAttempt.WithRival()
	cases := map[string]struct {
		lineage Lineage
		attempt int
		offset  int
		want    Verdict
	}{
		"next-offset":                    {lineage: oneAttempt, attempt: first, offset: 0, want: Deliver{}},
		"skipped-offset":                 {lineage: oneAttempt, attempt: first, offset: 1, want: Fault{Want: 0, Got: 1}},
		"unknown-attempt":                {lineage: oneAttempt, attempt: 9, offset: 0, want: Drop{}},
		"no-attempt":                     {lineage: NewLineage(0, 0, 0), attempt: 0, offset: 0, want: Drop{}},
		"rival-wins":                     {lineage: twoAttempts, attempt: rival, offset: 0, want: Deliver{Superseded: first}},
		"current-wins":                   {lineage: twoAttempts, attempt: first, offset: 0, want: Deliver{Superseded: rival}},
		"removed-attempt":                {lineage: oneAttempt.WithoutAttempt(first), attempt: first, offset: 0, want: Drop{}},
		"rival-after-removal-of-current": {lineage: twoAttempts.WithoutAttempt(first), attempt: rival, offset: 0, want: Deliver{}},
		"replaced-attempt":               {lineage: lineageOf(oneAttempt.WithAttempt()), attempt: first, offset: 0, want: Drop{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, got := test.lineage.Offer(test.attempt, Token{Offset: test.offset, Text: "x"})
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}

// lineageOf drops the attempt number that WithAttempt returns.
func lineageOf(l Lineage, _ int) Lineage {
	return l
}

// TestLineageDelivers checks that, whatever the attempts offer, the delivered tokens have no gap and no repetition.
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
				l = l.WithoutAttempt(rapid.IntRange(0, l.LastAttempt()).Draw(t, "lost"))
			default:
				attempt := rapid.IntRange(0, l.LastAttempt()).Draw(t, "attempt")
				offset := rapid.IntRange(0, delivered+2).Draw(t, "offset")
				next, verdict := l.Offer(attempt, Token{Offset: offset, Text: "x"})
				if _, ok := verdict.(Deliver); ok {
					if offset != delivered || !l.CanExtend(attempt) {
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
