package picker

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
)

// fixed is a source that never changes.
type fixed struct {
	targets []site.Target
	changed chan struct{}
}

// Changed returns a channel that never closes.
func (f fixed) Changed() <-chan struct{} { return f.changed }

// Settled tells that what is missing is gone.
func (f fixed) Settled() bool { return true }

// Targets returns the targets.
func (f fixed) Targets() []site.Target { return f.targets }

// newPicker returns a picker of three targets in two failure domains.
func newPicker(t *testing.T) *Picker {
	source := fixed{changed: make(chan struct{}), targets: []site.Target{
		{Name: "a", Service: "s", Address: "1", Domain: "x", Revision: 1},
		{Name: "b", Service: "s", Address: "2", Domain: "x", Revision: 2},
		{Name: "c", Service: "s", Address: "3", Domain: "y", Revision: 3},
	}}
	p := New(source, func(string) {}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	t.Cleanup(p.Close)
	synctest.Wait()
	p.Name("self", 1)
	return p
}

// busy returns a statement of another instance that has streams at targets.
func busy(sequence uint64, flying map[string]int) wire.Load {
	l := wire.Load{Instance: "other", Sequence: sequence}
	for name, n := range flying {
		l.Targets = append(l.Targets, wire.TargetLoad{Target: name, Flying: n})
	}
	return l
}

func TestStreamChoice(t *testing.T) {
	cases := map[string]struct {
		prepare func(p *Picker)
		avoid   map[string]bool
		want    string // want is the chosen target, or empty when there is none.
	}{
		"others-load": {func(p *Picker) { p.Merge([]wire.Load{busy(1, map[string]int{"a": 9, "b": 9})}) }, nil, "c"},
		"old-statement-ignored": {func(p *Picker) {
			p.Merge([]wire.Load{busy(2, map[string]int{"a": 9, "b": 9})})
			p.Merge([]wire.Load{busy(1, map[string]int{"c": 9})})
		}, nil, "c"},
		"statement-forgotten": {func(p *Picker) {
			p.Merge([]wire.Load{busy(1, map[string]int{"c": 90})})
			time.Sleep(loadLife + time.Second)
			p.Merge([]wire.Load{{Instance: "third", Sequence: 1, Targets: []wire.TargetLoad{{Target: "a", Flying: 9}, {Target: "b", Flying: 9}}}})
		}, nil, "c"},
		"large-fleet-forgets-later": {func(p *Picker) {
			p.Expect(4 * time.Second)
			p.Merge([]wire.Load{busy(1, map[string]int{"a": 90, "b": 90})})
			time.Sleep(loadLife + time.Second)
			p.Merge([]wire.Load{{Instance: "third", Sequence: 1, Targets: []wire.TargetLoad{{Target: "c", Flying: 9}}}})
		}, nil, "c"},
		"place-of-the-session": {func(p *Picker) { p.Restore(map[string]string{"session": "b"}) }, nil, "b"},
		"place-of-a-peer": {func(p *Picker) {
			p.Merge([]wire.Load{{Instance: "other", Sequence: 1, Runs: []wire.RunPlace{{Session: "session", Target: "a"}}}})
		}, nil, "a"},
		"place-is-overloaded": {func(p *Picker) {
			p.Restore(map[string]string{"session": "b"})
			p.Merge([]wire.Load{busy(1, map[string]int{"a": 9, "b": 30})})
		}, nil, "c"},
		"avoided":               {func(p *Picker) { p.Restore(map[string]string{"session": "b"}) }, map[string]bool{"a": true, "b": true}, "c"},
		"all-avoided":           {func(*Picker) {}, map[string]bool{"a": true, "b": true, "c": true}, ""},
		"suspect":               {func(p *Picker) { lose(p, "a"); lose(p, "b") }, nil, "c"},
		"suspects-as-last-hope": {func(p *Picker) { lose(p, "a"); lose(p, "b"); lose(p, "c") }, map[string]bool{"a": true, "b": true}, "c"},
		"ended-is-no-hope":      {func(p *Picker) { end(p, "a"); end(p, "b"); end(p, "c") }, nil, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				p := newPicker(t)
				test.prepare(p)
				k, ok := p.Stream(Want{Service: "s", Session: "session", Prompt: 8000, Avoid: test.avoid})
				quicktest.Assert(t, ok, quicktest.Equals, test.want != "")
				if ok {
					quicktest.Assert(t, k.Target.Name, quicktest.Equals, test.want)
				}
			})
		})
	}
}

// lose makes a target suspect.
func lose(p *Picker, name string) {
	k, _ := p.Sound(p.target(name), Want{})
	k.Lost("test")
	k.Release()
}

// end ends a target.
func end(p *Picker, name string) {
	k, _ := p.Sound(p.target(name), Want{})
	k.Gone()
	k.Release()
}

// target returns a target by name.
func (p *Picker) target(name string) site.Target {
	target, _ := p.table.Load().roster.Get(name)
	return target
}

func TestBackup(t *testing.T) {
	cases := map[string]struct {
		domain string
		avoid  map[string]bool
		want   string
	}{
		"other-domain":      {"x", map[string]bool{"a": true}, "c"},
		"same-domain-if-so": {"x", map[string]bool{"a": true, "c": true}, "b"},
		"none":              {"x", map[string]bool{"a": true, "b": true, "c": true}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				p := newPicker(t)
				if test.domain == "full" {
					p.Merge([]wire.Load{busy(1, map[string]int{"c": 8})})
				}
				target, ok := p.Backup(Want{Service: "s", Session: "session", Prompt: 8000, Memory: 88000, Avoid: test.avoid}, test.domain)
				quicktest.Assert(t, ok, quicktest.Equals, test.want != "")
				quicktest.Assert(t, target.Name, quicktest.Equals, test.want)
			})
		})
	}
}

// TestPlacesAreForgotten checks that a place outlives its run for a while and no longer.
func TestPlacesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		p := newPicker(t)
		k, _ := p.Stream(Want{Service: "s", Session: "session"})
		time.Sleep(time.Hour)
		quicktest.Assert(t, p.Own().Runs, quicktest.HasLen, 1)
		k.Release()
		time.Sleep(placeLife - time.Second)
		quicktest.Assert(t, p.Own().Runs, quicktest.HasLen, 1)
		time.Sleep(2 * time.Second)
		quicktest.Assert(t, p.Own().Runs, quicktest.HasLen, 0)
		quicktest.Assert(t, p.Own().Targets, quicktest.HasLen, 0)
	})
}

// TestDomainLoss checks that a peer's loss counts as evidence from the time of the loss on.
func TestDomainLoss(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		want bool
	}{
		"after-the-begin":  {100 * time.Millisecond, true},
		"before-the-begin": {2 * time.Second, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				p := newPicker(t)
				k, _ := p.Stream(Want{Service: "s", Avoid: map[string]bool{"c": true}})
				began := time.Now()
				time.Sleep(time.Second)
				p.Merge([]wire.Load{{Instance: "other", Sequence: 1, Lost: []wire.DomainLoss{{Domain: "x", Age: test.age}}}})
				quicktest.Assert(t, k.DomainLostSince(began), quicktest.Equals, test.want)
				quicktest.Assert(t, p.Own().Lost, quicktest.HasLen, 1)
			})
		})
	}
}

// TestChangesAreLoggedOnce checks that an entry whose address another target has taken is not logged as new again and again.
func TestChangesAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		source := &moving{fixed: fixed{changed: make(chan struct{})}}
		handler := memory.New()
		p := New(source, func(string) {}, &log.Logger{Handler: handler, Level: log.InfoLevel}, metrics.NewSet())
		defer p.Close()
		a := site.Target{Name: "a", Service: "s", Address: "1", Revision: 1}
		b := site.Target{Name: "b", Service: "s", Address: "1", Revision: 2}
		other := site.Target{Name: "c", Service: "s", Address: "3", Revision: 3}
		for _, targets := range [][]site.Target{{a}, {a, b}, {a, b, other}, {a, b, other}, {b, other}} {
			synctest.Wait()
			source.set(targets)
		}
		synctest.Wait()
		var names []string
		for _, e := range handler.Entries {
			if e.Message == "target is new" {
				names = append(names, e.Fields.Get("target").(string))
			}
		}
		slices.Sort(names)
		c.Assert(names, quicktest.DeepEquals, []string{"b", "c"})
	})
}

// moving is a source whose targets a test sets.
type moving struct {
	fixed
	mu sync.Mutex
}

// Changed returns a channel that closes at the next change.
func (m *moving) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Targets returns the targets.
func (m *moving) Targets() []site.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets
}

// set changes the targets.
func (m *moving) set(targets []site.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = targets
	close(m.changed)
	m.changed = make(chan struct{})
}

// TestOrder checks that the first places of a session's order are those of the rendezvous ranking, and that all others count the same.
func TestOrder(t *testing.T) {
	cases := map[string]int{"none": 0, "one": 1, "three": 3, "as-many-as-places": sessionWidth, "many": 200}
	for name, size := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			targets := make([]*site.Target, size)
			names := make([]string, size)
			for i := range targets {
				names[i] = fmt.Sprint("target-", i)
				targets[i] = &site.Target{Name: names[i]}
			}
			for n := range 50 {
				session := fmt.Sprint("session-", n)
				o := newOrder(session, targets)
				best := choice{}
				for i, target := range targets {
					want := min(slices.Index(route.Rank(session, names), target.Name), sessionWidth)
					c.Assert(o.cost(i), quicktest.Equals, rankCost*float64(want))
					best = best.better(target, 1, o.scores[i])
				}
				if size > 0 {
					c.Assert(best.target.Name, quicktest.Equals, route.Rank(session, names)[0])
				}
			}
		})
	}
}

// TestEndedIsNotAdopted checks that a target which was listed and is not any more is not used as a successor, whoever finds it.
func TestEndedIsNotAdopted(t *testing.T) {
	a := site.Target{Name: "a", Service: "s", Address: "1", Started: 7, Revision: 1}
	b := site.Target{Name: "b", Service: "s", Address: "1", Started: 8, Revision: 2}
	cases := map[string]struct {
		listed []site.Target // listed holds what is listed in between.
		find   func(p *Picker)
		want   string
	}{
		"never-listed":            {nil, func(p *Picker) { p.Adopt(a, "b") }, "b"},
		"never-listed-by-a-peer":  {nil, func(p *Picker) { p.Merge([]wire.Load{found("b", a)}) }, "b"},
		"listed-before":           {[]site.Target{a, b}, func(p *Picker) { p.Adopt(a, "b") }, "a"},
		"listed-before-by-a-peer": {[]site.Target{a, b}, func(p *Picker) { p.Merge([]wire.Load{found("b", a)}) }, "a"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				source := &moving{fixed: fixed{changed: make(chan struct{})}}
				p := New(source, func(string) {}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
				defer p.Close()
				p.Name("self", 1)
				for _, targets := range [][]site.Target{{a}, test.listed, {a}} {
					if targets != nil {
						synctest.Wait()
						source.set(targets)
					}
				}
				synctest.Wait()
				test.find(p)
				pick, ok := p.Stream(Want{Service: "s", Session: "session"})
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(pick.Target.Name, quicktest.Equals, test.want)
				pick.Release()
			})
		})
	}
}

// TestListedIsNotTold checks that peers are told of successors only until the platform lists them.
func TestListedIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		a := site.Target{Name: "a", Service: "s", Address: "1", Started: 7, Revision: 1}
		b := site.Target{Name: "b", Service: "s", Address: "1", Started: 8, Revision: 2}
		source := &moving{fixed: fixed{changed: make(chan struct{}), targets: []site.Target{a}}}
		p := New(source, func(string) {}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
		defer p.Close()
		synctest.Wait()
		p.Adopt(a, "b")
		c.Assert(p.Own().Successors, quicktest.HasLen, 1)
		source.set([]site.Target{a, b})
		synctest.Wait()
		c.Assert(p.Own().Successors, quicktest.HasLen, 0)
	})
}

// found returns the statement of an instance that found a target in another one's place.
func found(name string, of site.Target) wire.Load {
	return wire.Load{Instance: "finder", Sequence: 1, Successors: []wire.Successor{{Name: name, Of: of.Name, Started: of.Started, Address: of.Address}}}
}
