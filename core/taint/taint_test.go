package taint

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// start is the time of the first loss in the tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one change of a book in a test: the loss of a target, or an answer if target is 0.
type step struct {
	after           time.Duration
	target, request uint64
	parts           []string
}

// play returns a book after some steps.
func play(steps []step) Book {
	var b Book
	for _, s := range steps {
		if s.target == 0 {
			b = b.WithAnswer(s.parts)
			continue
		}
		b = b.WithLoss(s.parts, Loss{ID: LossID{Target: s.target, Request: s.request}, At: start.Add(s.after)})
	}
	return b
}

// TestBlocked checks which evidence blocks a part.
func TestBlocked(t *testing.T) {
	deadly, shared := []string{"shared", "deadly"}, []string{"shared"}
	lost := func(seconds int, parts []string) step {
		return step{time.Duration(seconds) * time.Second, uint64(seconds) + 1, uint64(seconds) + 1, parts}
	}
	const shareds, deadlies, both = "shared", "deadly", "shared,deadly"
	cases := map[string]struct {
		steps []step
		after time.Duration // after is when the book is asked.
		want  []string      // want holds the prompts that are blocked.
	}{
		"nothing-lost":    {},
		"two-requests":    {[]step{lost(0, deadly), lost(1, deadly)}, 2 * time.Second, nil},
		"one-part":        {[]step{lost(0, deadly[1:]), lost(1, deadly[1:]), lost(2, deadly[1:])}, 3 * time.Second, []string{deadlies, both}},
		"two-parts":       {[]step{lost(0, deadly), lost(1, deadly), lost(2, deadly)}, 3 * time.Second, []string{both}},
		"answer-between":  {[]step{lost(0, deadly), lost(1, deadly), {parts: shared}, lost(2, deadly)}, 3 * time.Second, []string{deadlies, both}},
		"answer-after":    {[]step{lost(0, deadly), lost(1, deadly), lost(2, deadly), {parts: shared}}, 3 * time.Second, []string{deadlies, both}},
		"answer-before":   {[]step{{parts: shared}, lost(0, shared), lost(1, shared), lost(2, shared)}, 3 * time.Second, []string{shareds, both}},
		"lost-alone":      {[]step{lost(0, deadly), lost(1, deadly), lost(2, deadly), lost(3, deadly[1:])}, 4 * time.Second, []string{deadlies, both}},
		"answered-itself": {[]step{lost(0, deadly[1:]), lost(1, deadly[1:]), lost(2, deadly[1:]), {parts: deadly}}, 3 * time.Second, nil},
		"other-parts-of-lost-requests": {
			[]step{lost(0, deadly), lost(1, []string{"other", "deadly"}), lost(2, deadly), lost(3, deadly)}, 4 * time.Second, []string{deadlies, both},
		},
		"one-request-at-three-targets": {
			[]step{{0, 1, 9, deadly}, {time.Second, 2, 9, deadly}, {2 * time.Second, 3, 9, deadly}}, 3 * time.Second, nil,
		},
		"domain-lost-at-once": {
			[]step{{0, 1, 1, shared}, {50 * time.Millisecond, 2, 2, shared}, {90 * time.Millisecond, 3, 3, shared}, {400 * time.Millisecond, 4, 4, shared}},
			time.Second, nil,
		},
		"two-domains-lost": {
			[]step{{0, 1, 1, shared}, {9 * time.Millisecond, 2, 2, shared}, {time.Second, 3, 3, shared}, {time.Second, 4, 4, shared}},
			2 * time.Second, nil,
		},
		"reported-by-many": {
			[]step{lost(0, deadly), lost(0, deadly), lost(0, deadly), lost(1, deadly)}, 2 * time.Second, nil,
		},
		// Requests that ran beside those with the deadly part are lost with their targets.
		"bystanders": {
			[]step{
				lost(0, deadly), {10 * time.Millisecond, 1, 11, shared}, lost(1, deadly), {1010 * time.Millisecond, 2, 12, shared},
				{1020 * time.Millisecond, 2, 13, shared}, lost(2, deadly),
			},
			3 * time.Second, []string{both},
		},
		"bystanders-of-one-target-that-restarts": {
			[]step{
				{0, 1, 1, deadly}, {10 * time.Millisecond, 1, 11, shared}, {time.Second, 1, 2, deadly}, {2 * time.Second, 1, 3, deadly},
				{2010 * time.Millisecond, 1, 13, shared},
			},
			3 * time.Second, []string{both},
		},
		"expired": {[]step{lost(0, deadly), lost(1, deadly), lost(2, deadly)}, lossTTL + time.Second, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			b, now := play(test.steps), start.Add(test.after)
			var blocked []string
			for _, prompt := range []string{shareds, deadlies, both} {
				if f, ok := b.Blocked(strings.Split(prompt, ","), now); ok {
					c.Assert(f.Requests >= minRequests, quicktest.IsTrue)
					blocked = append(blocked, prompt)
				}
			}
			c.Assert(blocked, quicktest.DeepEquals, test.want)
			c.Assert(b.Findings(now), quicktest.HasLen, min(len(blocked), 1))
		})
	}
}

// TestWithoutExpired checks that old losses are dropped, and a part with its last loss.
func TestWithoutExpired(t *testing.T) {
	c := quicktest.New(t)
	b := play([]step{{0, 1, 1, []string{"a", "b"}}, {time.Minute, 2, 2, []string{"b"}}})
	b = b.Without(start.Add(lossTTL + time.Second))
	c.Assert(b.Len(), quicktest.Equals, 1)
	c.Assert(b.All()["b"], quicktest.HasLen, 1)
}

// drawBook draws a book of few parts, so that its losses overlap with those of another.
func drawBook(t *rapid.T, label string) Book {
	var b Book
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		part := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprint(label, "-part-", i))
		if rapid.IntRange(0, 4).Draw(t, fmt.Sprint(label, "-answer-", i)) == 0 {
			b = b.WithAnswer([]string{part})
			continue
		}
		id := LossID{Target: rapid.Uint64Range(1, 4).Draw(t, fmt.Sprint(label, "-target-", i)), Request: 1}
		at := start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, fmt.Sprint(label, "-at-", i))) * time.Second)
		b = b.WithLoss([]string{part}, Loss{ID: id, At: at})
	}
	return b
}

// TestMergeInAnyOrder checks that books merge to the same result in any order and any number of times.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y, z := drawBook(t, "x"), drawBook(t, "y"), drawBook(t, "z")
		want := x.WithBook(y).WithBook(z).All()
		if len(want) == 0 {
			return
		}
		for name, got := range map[string]Book{
			"reversed": z.WithBook(y).WithBook(x),
			"nested":   x.WithBook(y.WithBook(z)),
			"repeated": x.WithBook(y).WithBook(z).WithBook(y).WithBook(x),
		} {
			if !reflect.DeepEqual(got.All(), want) {
				t.Fatalf("%s: got %v, want %v", name, got.All(), want)
			}
		}
	})
}

// TestBookIsBounded checks that a book keeps the parts with most losses, and of each the losses that are not excused
// before others, in the order of their ids.
func TestBookIsBounded(t *testing.T) {
	c := quicktest.New(t)
	var b Book
	for i := range uint64(2 * maxLosses) {
		b = b.WithLoss([]string{"deadly"}, Loss{ID: LossID{i, i}, At: start.Add(time.Duration(i) * time.Second)})
	}
	for i := range uint64(2 * maxParts) {
		b = b.WithLoss([]string{fmt.Sprint("part-", i)}, Loss{ID: LossID{i, i}, At: start.Add(time.Hour)})
	}
	c.Assert(b.Len(), quicktest.Equals, maxParts)
	c.Assert(b.All()["deadly"], quicktest.HasLen, maxLosses)
	for i, l := range b.All()["deadly"] {
		c.Assert(l.ID.Target, quicktest.Equals, uint64(i))
	}
	b = b.WithAnswer([]string{"deadly"})
	for i := range uint64(3) {
		b = b.WithLoss([]string{"deadly"}, Loss{ID: LossID{100 + i, 100 + i}, At: start.Add(time.Minute + time.Duration(i)*time.Second)})
	}
	c.Assert(b.All()["deadly"], quicktest.HasLen, maxLosses)
	f, blocked := b.Blocked([]string{"deadly"}, start.Add(2*time.Minute))
	c.Assert(blocked, quicktest.IsTrue)
	c.Assert(f.Losses, quicktest.Equals, 3)
}

// TestFullBooksConverge guards against books that differ for ever since each copy of a loss has a later time than the
// original: books with more losses than they may hold agree after a few exchanges.
func TestFullBooksConverge(t *testing.T) {
	cases := map[string]struct {
		gap           time.Duration // gap is the time between two losses.
		losses, parts int
		wantParts     int
		wantLosses    int // wantLosses is the number of losses that are kept of each part.
	}{
		"at-once":               {0, 3 * maxLosses, 1, 1, maxLosses},
		"within-a-message":      {time.Millisecond, 3 * maxLosses, 1, 1, maxLosses},
		"far-apart":             {500 * time.Millisecond, 3 * maxLosses, 1, 1, maxLosses},
		"parts-at-once":         {0, 2 * maxParts, 2 * maxParts, maxParts, 1},
		"parts-within-messages": {time.Millisecond, 2 * maxParts, 2 * maxParts, maxParts, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			const transit = 5 * time.Millisecond
			books := make([]Book, 5)
			for i := range test.losses {
				loss := Loss{ID: LossID{uint64(i*7919%101) + 1, uint64(i) + 1}, At: start.Add(time.Duration(i) * test.gap)}
				books[i%len(books)] = books[i%len(books)].WithLoss([]string{fmt.Sprint("p-", i%test.parts)}, loss)
			}
			for round := range 4 * len(books) {
				for i := range books {
					other := (i + 1 + round%(len(books)-1)) % len(books)
					books[other] = books[other].WithBook(delayed(books[i], transit))
					books[i] = books[i].WithBook(delayed(books[other], transit))
				}
			}
			for _, b := range books {
				c.Assert(b.Len(), quicktest.Equals, test.wantParts)
				for _, losses := range b.All() {
					c.Assert(losses, quicktest.HasLen, test.wantLosses)
				}
				c.Assert(b.Digest(), quicktest.Equals, books[0].Digest())
			}
		})
	}
}

// delayed returns a copy of a book as another instance receives it after the time of a message.
func delayed(b Book, transit time.Duration) Book {
	var copied Book
	for part, losses := range b.All() {
		for _, l := range losses {
			l.At = l.At.Add(transit)
			copied = copied.WithLoss([]string{part}, l)
		}
	}
	return copied
}
