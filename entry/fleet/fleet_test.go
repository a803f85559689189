package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// backBound is the time after which an instance that is in reach again must be known to all: callers keep an address for up to 5 s, and have to reach it within 8 s after it is stable.
const backBound = 3 * time.Second

// network joins fleets in memory; what a cut tells is not delivered.
type network struct {
	mu     sync.Mutex
	fleets map[string]*Fleet
	cut    func(from, to string) bool
	down   bool // down tells that the platform's list cannot be read.
}

// end is one instance's way into the network.
type end struct {
	net  *network
	self string
}

// Ask delivers a message, or lets it time out.
func (e end) Ask(ctx context.Context, address string, m wire.Message) (wire.Message, error) {
	e.net.mu.Lock()
	to, cut := e.net.fleets[address], e.net.cut
	e.net.mu.Unlock()
	if to == nil || cut != nil && (cut(e.self, address) || cut(address, e.self)) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	g, ok := m.(wire.Gossip)
	if !ok {
		return nil, peer.ErrRefused
	}
	return to.Handle(ctx, g), nil
}

// Instances lists all fleets.
func (n *network) Instances(context.Context) ([]store.Instance, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, errors.New("down")
	}
	var list []store.Instance
	for name := range n.fleets {
		list = append(list, store.Instance{Name: name, PeerAddress: name, CallerAddress: name})
	}
	return list, nil
}

// still is a configuration that never changes.
type still struct{}

// Age returns nothing.
func (still) Age() time.Duration { return 0 }

// Heard takes nothing.
func (still) Heard(string, uint64, time.Duration) {}

// Revision returns the first.
func (still) Revision() uint64 { return 1 }

// start adds an instance to the network.
func (n *network) start(t *testing.T, name string, handler log.Handler) *Fleet {
	self := member.Member{Name: name, PeerAddress: name, CallerAddress: name, Incarnation: 1}
	f := New(Settings{Self: self}, end{net: n, self: name}, n, still{}, &log.Logger{Handler: handler, Level: log.InfoLevel}, metrics.NewSet())
	n.mu.Lock()
	n.fleets[name] = f
	n.mu.Unlock()
	t.Cleanup(f.Close)
	return f
}

// sever sets what is cut.
func (n *network) sever(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// lines returns the messages about one peer.
func lines(h *memory.Handler, name string) []string {
	var found []string
	for _, e := range h.Entries {
		if e.Fields["peer"] == name {
			found = append(found, e.Message)
		}
	}
	return found
}

func TestFleet(t *testing.T) {
	const size = 12
	lost := func(from, to string) bool { return from == "i-3" || to == "i-3" }
	between := func(from, to string) bool { return from == "i-0" && to == "i-3" }
	halves := func(from, to string) bool { return (from < "i-6") != (to < "i-6") }
	cases := map[string]struct {
		cut   func(from, to string) bool
		heal  bool // heal tells that the cut ends after ten seconds.
		leave bool // leave tells that i-3 leaves.
		state member.State
		gone  bool     // gone tells that callers are not sent to i-3.
		lines []string // lines are those that i-0 writes of i-3.
	}{
		"calm":              {state: member.Alive},
		"lost":              {cut: lost, state: member.Dead, gone: true, lines: []string{"member is suspect", "member is dead"}},
		"lost-and-back":     {cut: lost, heal: true, state: member.Alive, lines: []string{"member is suspect", "member is dead", "member is alive again"}},
		"one-path-is-cut":   {cut: between, state: member.Alive},
		"parted-and-joined": {cut: halves, heal: true, state: member.Alive},
		"leaving":           {leave: true, state: member.Alive, gone: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				n := &network{fleets: make(map[string]*Fleet)}
				handler := memory.New()
				fleets := make(map[string]*Fleet, size)
				for i := range size {
					fleets[fmt.Sprint("i-", i)] = n.start(t, fmt.Sprint("i-", i), handler)
					handler = memory.New()
				}
				first := fleets["i-0"].log.(*log.Logger).Handler.(*memory.Handler)
				time.Sleep(10 * time.Second)
				for _, f := range fleets {
					c.Assert(f.View().Live(), quicktest.HasLen, size)
				}
				n.sever(test.cut)
				if test.leave {
					fleets["i-3"].Leave()
				}
				time.Sleep(10 * time.Second)
				if test.heal {
					n.sever(nil)
					time.Sleep(backBound)
				}
				for name, f := range fleets {
					if name == "i-3" {
						continue
					}
					m, ok := f.View().Get("i-3")
					c.Check(ok, quicktest.IsTrue)
					c.Check(m.State, quicktest.Equals, test.state, quicktest.Commentf("%s", name))
					named := false
					for _, address := range f.View().Callable(name, true) {
						named = named || address == "i-3"
					}
					c.Check(named, quicktest.Equals, !test.gone, quicktest.Commentf("%s", name))
				}
				if test.lines != nil {
					c.Check(lines(first, "i-3"), quicktest.DeepEquals, test.lines)
				}
			})
		})
	}
}

func TestElected(t *testing.T) {
	cases := map[string]struct {
		lost []string
		down bool // down tells that the platform's list cannot be read.
	}{
		"all-there":        {},
		"three-lost":       {lost: []string{"i-1", "i-5", "i-7"}},
		"without-the-list": {lost: []string{"i-2"}, down: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				n := &network{fleets: make(map[string]*Fleet)}
				fleets := make(map[string]*Fleet)
				for i := range 10 {
					fleets[fmt.Sprint("i-", i)] = n.start(t, fmt.Sprint("i-", i), memory.New())
				}
				time.Sleep(5 * time.Second)
				n.mu.Lock()
				n.down = test.down
				n.mu.Unlock()
				isLost := make(map[string]bool)
				for _, name := range test.lost {
					isLost[name] = true
				}
				n.sever(func(from, to string) bool { return isLost[from] || isLost[to] })
				time.Sleep(15 * time.Second)
				for role := range 20 {
					count := 0
					for name, f := range fleets {
						if !isLost[name] && f.Elected(fmt.Sprint("role-", role), 2) {
							count++
						}
					}
					c.Check(count, quicktest.Equals, 2, quicktest.Commentf("role %d", role))
				}
			})
		})
	}
}
