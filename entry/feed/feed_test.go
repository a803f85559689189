package feed

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/mirror"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// errDown is what a source that is down returns.
var errDown = errors.New("down")

// source is a store whose answers a test sets.
type source struct {
	mu    sync.Mutex
	page  mirror.Page
	fail  error
	mute  bool // mute watches get no answer.
	calls int
}

// List returns all objects.
func (s *source) List(context.Context) (mirror.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	page := s.page
	page.Whole = true
	if errors.Is(s.fail, ErrForgotten) {
		return page, nil
	}
	return page, s.fail
}

// Watch returns what changed, waiting up to a time.
func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Page, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		page, fail, mute := s.page, s.fail, s.mute
		s.mu.Unlock()
		switch {
		case fail != nil:
			return mirror.Page{}, fail
		case mute:
			<-ctx.Done()
			return mirror.Page{}, ctx.Err()
		case page.At > after:
			return page, nil
		case time.Now().After(end):
			return mirror.Page{At: page.At}, nil
		}
	}
}

// set changes the store.
func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// count returns the calls so far.
func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// duties elects an instance or not.
type duties struct {
	first, all bool // first tells whether it is one of the few; all whether it is one of more.
}

// Elected tells whether the instance is one of a few.
func (d duties) Elected(_ string, count int) bool {
	return d.first || d.all && count > watchers || count > 2*watchers
}

// Size returns that of a small fleet.
func (d duties) Size() int { return 7 }

// Push does nothing.
func (d duties) Push() {}

func TestFeed(t *testing.T) {
	one := mirror.Page{At: 5, Objects: []mirror.Object{{Name: "a", Revision: 5}}}
	two := mirror.Page{At: 7, Objects: []mirror.Object{{Name: "a", Revision: 5}, {Name: "b", Revision: 7}}}
	cases := map[string]struct {
		duties  Duties
		disturb func(*source)
		within  time.Duration // within bounds the time until the second object is known; 0 means never.
	}{
		"watcher":                 {duties{first: true}, func(*source) {}, 100 * time.Millisecond},
		"watcher-muted":           {duties{first: true}, func(s *source) { s.mute = true }, 2 * time.Second},
		"watcher-history-gone":    {duties{first: true}, func(s *source) { s.fail = ErrForgotten }, 300 * time.Millisecond},
		"watcher-down":            {duties{first: true}, func(s *source) { s.fail = errDown }, 0},
		"steps-in-early":          {duties{all: true}, func(*source) {}, stepInFirst + 200*time.Millisecond},
		"steps-in-with-all":       {duties{}, func(*source) {}, stepInMore + 200*time.Millisecond},
		"not-assigned-yet":        {nil, func(*source) {}, 100 * time.Millisecond},
		"steps-in-while-muted":    {duties{}, func(s *source) { s.mute = true }, stepInMore + 2*time.Second},
		"not-assigned-and-silent": {nil, func(s *source) { s.mute = true }, 2 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Millisecond)
				s := &source{page: one}
				f := New(Settings{Kind: "k", Pace: 100 * time.Millisecond}, s, &log.Logger{Handler: discard.New()}, metrics.NewSet())
				defer f.Close()
				time.Sleep(time.Second)
				c.Assert(f.View().At(), quicktest.Equals, uint64(5))
				if test.duties != nil {
					f.Assign(test.duties)
				}
				f.Confirm(0)
				s.set(test.disturb)
				s.set(func(s *source) { s.page = two })
				if test.within > 0 {
					time.Sleep(test.within)
					c.Assert(f.View().At(), quicktest.Equals, uint64(7))
					return
				}
				time.Sleep(5 * time.Second)
				c.Assert(f.View().At(), quicktest.Equals, uint64(5))
				c.Assert(f.Settled(), quicktest.IsFalse)
				s.set(func(s *source) { s.fail = nil })
				time.Sleep(time.Second)
				c.Assert(f.View().At(), quicktest.Equals, uint64(7))
				c.Assert(f.Settled(), quicktest.IsFalse)
				time.Sleep(settle)
				c.Assert(f.Settled(), quicktest.IsTrue)
			})
		})
	}
}

// TestCalls checks that an instance without duties makes no calls while others keep it informed.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		time.Sleep(time.Millisecond)
		s := &source{page: mirror.Page{At: 5}}
		f := New(Settings{Kind: "k", Pace: 100 * time.Millisecond}, s, &log.Logger{Handler: discard.New()}, metrics.NewSet())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		f.Assign(duties{})
		time.Sleep(time.Second)
		before := s.count()
		for range 100 {
			f.Confirm(200 * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(s.count()-before <= 1, quicktest.IsTrue, quicktest.Commentf("%d calls", s.count()-before))
		c.Assert(f.Settled(), quicktest.IsTrue)
	})
}

// place is an instance's place in the order of a fleet.
type place struct {
	place, size int
}

// Elected tells whether the instance is one of the first.
func (p place) Elected(_ string, count int) bool { return p.place < count }

// Size returns the size of the fleet.
func (p place) Size() int { return p.size }

// Push does nothing.
func (p place) Push() {}

// TestOutageCalls checks what an instance asks of a store that refuses every call for ten seconds, and when it notices the return.
func TestOutageCalls(t *testing.T) {
	cases := map[string]struct {
		place  place
		calls  int           // calls bounds those during the outage.
		notice time.Duration // notice bounds the time until the store's return is known.
	}{
		"watcher":         {place{0, 89}, 40, backoffMax},
		"one-of-more":     {place{20, 89}, 25, backoffMax},
		"one-of-the-rest": {place{70, 89}, 5, backoffRest},
		"small-fleet":     {place{6, 7}, 25, backoffMax},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Millisecond)
				s := &source{page: mirror.Page{At: 5}}
				f := New(Settings{Kind: "k", Pace: 100 * time.Millisecond}, s, &log.Logger{Handler: discard.New()}, metrics.NewSet())
				defer f.Close()
				f.Assign(test.place)
				time.Sleep(time.Second)
				before := s.count()
				s.set(func(s *source) { s.fail = errDown })
				time.Sleep(10 * time.Second)
				calls := s.count() - before
				c.Assert(calls > 0 && calls <= test.calls, quicktest.IsTrue, quicktest.Commentf("%d calls", calls))
				s.set(func(s *source) { s.fail, s.page = nil, mirror.Page{At: 7} })
				time.Sleep(test.notice + 50*time.Millisecond)
				c.Assert(f.View().At(), quicktest.Equals, uint64(7))
			})
		})
	}
}

// TestSettled checks which silences make missing entries doubtful: those in which entries may have lapsed, not the loss of the instances that ask.
func TestSettled(t *testing.T) {
	cases := map[string]struct {
		gap  time.Duration
		want bool
	}{
		"askers-lost":  {2500 * time.Millisecond, true},
		"store-away":   {3500 * time.Millisecond, false},
		"nothing-lost": {500 * time.Millisecond, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				s := &source{page: mirror.Page{At: 5}}
				f := New(Settings{Kind: "k", Pace: 100 * time.Millisecond}, s, &log.Logger{Handler: discard.New()}, metrics.NewSet())
				defer f.Close()
				f.Assign(duties{})
				time.Sleep(time.Second)
				s.set(func(s *source) { s.fail = errDown })
				f.Confirm(0)
				time.Sleep(test.gap)
				f.Confirm(0)
				quicktest.Assert(t, f.Settled(), quicktest.Equals, test.want)
			})
		})
	}
}

func TestLevels(t *testing.T) {
	cases := map[string]struct{ size, want int }{
		"alone":       {1, 1},
		"today":       {7, 1},
		"one-level":   {16, 1},
		"two-levels":  {89, 2},
		"design-size": {410, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, levels(test.size), quicktest.Equals, test.want)
		})
	}
}

func TestStepIn(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		size int
		want int
	}{
		"fresh":           {time.Second, 89, watchers},
		"a-little-old":    {1500 * time.Millisecond, 89, 2 * watchers},
		"old":             {1800 * time.Millisecond, 89, 22},
		"old-small-fleet": {1800 * time.Millisecond, 7, 4 * watchers},
		"very-old":        {3 * time.Second, 89, 89},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, stepIn(test.age, test.size), quicktest.Equals, test.want)
		})
	}
}

// TestTurns checks that the statements that a pull brings stay bounded on the mean, and that small fleets exchange them at each pull.
func TestTurns(t *testing.T) {
	cases := map[string]struct{ size, want int }{
		"alone":       {1, 1},
		"today":       {7, 1},
		"small":       {16, 1},
		"twenty":      {20, loadTurn},
		"grown":       {89, loadTurn},
		"large":       {300, 10},
		"design-size": {410, 14},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, turnsFor(test.size), quicktest.Equals, test.want)
		})
	}
}
