package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/node"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
)

const (
	platformName = "platform"
	linkDelay    = time.Millisecond
	linger       = 5 * time.Second
)

var (
	errGone    = errors.New("process is dead")
	errRefused = errors.New("connection refused")
)

// condition is the state of a process in the world.
type condition int

const (
	running condition = iota
	frozen
	dead
)

// world holds processes and the links between them.
type world struct {
	t        *testing.T
	platform *store.Memory
	nodes    map[string]*node.Node
	engines  map[string]*fakeEngine
	services map[string]*fakeService
	end      context.CancelFunc
	life     context.Context

	mu         sync.Mutex
	conditions map[string]condition
	cuts       map[[2]string]bool
	changed    chan struct{}
	hooks      map[string][]func()
	allNodes   []*node.Node
	paused     bool         // paused tells whether anything was ever paused.
	calls      calls        // calls counts calls to the platform.
	catchOrder bool         // catchOrder makes the next order to an engine stay in the network.
	lateOrder  func() error // lateOrder delivers the order that was caught.
	refusing   bool         // refusing tells whether the platform refuses every call.
}

// newWorld starts nodes, engines and services over a platform that holds a sheet.
func newWorld(t *testing.T, nodes, engines int, recovery string) *world {
	w := &world{
		t:          t,
		platform:   store.NewMemory(),
		nodes:      make(map[string]*node.Node),
		engines:    make(map[string]*fakeEngine),
		services:   make(map[string]*fakeService),
		conditions: make(map[string]condition),
		cuts:       make(map[[2]string]bool),
		changed:    make(chan struct{}),
		hooks:      make(map[string][]func()),
		calls:      calls{reads: make(map[int64]int), writes: make(map[int64]int)},
	}
	// Go 1.26's race detector crashes when the first timer of a bubble is found due by a select; a sleep first avoids that.
	time.Sleep(time.Nanosecond)
	w.life, w.end = context.WithCancel(t.Context())
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		w.engines[name] = newFakeEngine(w, name)
		w.declare(conf.KindTarget, name, fmt.Sprintf(`{"address":"%s:1","failure-domain":"fd-%d","models":["m"],"slots":16}`, name, i%3))
	}
	for i := range 2 {
		name := fmt.Sprintf("service-%d", i)
		w.services[name] = newFakeService(w, name)
		w.declare(conf.KindTarget, name, fmt.Sprintf(`{"address":"%s:1","failure-domain":"fd-%d","service":"orders"}`, name, i%3))
	}
	w.declare(conf.KindModel, "m", `{"versions":["1","2"],"default-version":"1"}`)
	w.declare(conf.KindService, "orders", `{"calls":[{"method":"POST","path":"/orders","non-idempotent":true,"status-path":"/status/{key}"}]}`)
	w.declare(conf.KindOrganisation, "org", `{"key-hash":"`+hashOf("key")+`"}`)
	w.pushSheet(1, recovery, 20)
	var list []store.Instance
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		list = append(list, store.Instance{Name: name, Domain: fmt.Sprintf("fd-%d", i%3), CallerAddress: name, PeerAddress: name})
	}
	w.platform.SetInstances(list)
	for i := range nodes {
		w.startNode(i)
	}
	time.Sleep(6 * time.Second)
	return w
}

// close stops everything.
func (w *world) close() {
	w.mu.Lock()
	for name := range w.conditions {
		w.conditions[name] = dead
	}
	for name := range w.nodes {
		w.conditions[name] = dead
	}
	w.wake()
	w.mu.Unlock()
	w.end()
	for _, n := range w.allNodes {
		n.Close()
	}
	time.Sleep(15 * time.Second) // The slowest engine and caller notice their end.
}

// cut breaks or mends the link between two processes.
func (w *world) cut(a, b string, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[link(a, b)] = broken
	w.wake()
}

// declare stores a configuration object.
func (w *world) declare(kind, name, value string) {
	o, err := w.platform.Get(w.life, kind, name)
	if err != nil {
		o = store.Object{Kind: kind, Name: name}
	}
	if _, err := w.platform.Put(w.life, o.WithValue(fmt.Sprint(time.Now()), []byte(value))); err != nil {
		w.t.Errorf("declare %s/%s: %v", kind, name, err)
	}
}

// fire calls the hooks of a point once.
func (w *world) fire(point string) {
	w.mu.Lock()
	hooks := w.hooks[point]
	delete(w.hooks, point)
	w.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// hook calls a function when a point is reached next.
func (w *world) hook(point string, call func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[point] = append(w.hooks[point], call)
}

// names returns the names of nodes that run, sorted.
func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.nodes {
		if w.conditions[name] == running {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pass carries a message over a link, or waits as long as the link and both ends are silent.
func (w *world) pass(ctx context.Context, from, to string) error {
	for {
		w.mu.Lock()
		changed := w.changed
		self, other, broken := w.conditions[from], w.conditions[to], w.cuts[link(from, to)]
		w.mu.Unlock()
		switch {
		case self == dead:
			return errGone
		case self == frozen:
			<-changed
			continue
		case other == dead && !broken:
			return errRefused
		case other == running && !broken:
			return w.travel(ctx, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushSheet replaces the member's sheet.
func (w *world) pushSheet(day int, recovery string, ceiling int) {
	w.declare(conf.KindSheet, "club", fmt.Sprintf(
		`{"date":"2026-12-%02d","limits":[{"organisation":"org","share":100,"priority":1,"ceiling":%d,"models":["m"],"recovery":%q}]}`,
		day, ceiling, recovery))
}

// set changes the condition of a process.
func (w *world) set(name string, c condition) {
	w.mu.Lock()
	if w.conditions[name] != dead || c == running {
		w.conditions[name] = c
	}
	w.wake()
	w.mu.Unlock()
	if e := w.engines[name]; e != nil && c == dead {
		e.forget()
	}
}

// startNode starts a node, again if it ran before.
func (w *world) startNode(i int) {
	name := fmt.Sprintf("node-%d", i)
	w.set(name, running)
	n, err := node.New(node.Settings{
		Self: member.Member{
			Name:          name,
			Domain:        fmt.Sprintf("fd-%d", i%3),
			CallerAddress: name,
			PeerAddress:   name,
			Incarnation:   uint64(time.Now().UnixMilli()),
		},
		Secret: []byte("0123456789abcdef"),
		Seeds:  []string{"node-0", "node-1", "node-2"},
		Budget: 24,
		Costly: 16,
		Linger: linger,
	}, node.Borders{
		Platform: &fakeStore{w: w, self: name},
		Engines:  &fakeEngines{w: w, self: name},
		Services: &fakeServices{w: w, self: name},
		Peers:    &fakeNet{w: w, self: name},
	}, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, metrics.NewSet())
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.nodes[name] = n
	w.allNodes = append(w.allNodes, n)
	w.mu.Unlock()
}

// node returns the node that runs under a name now.
func (w *world) node(name string) *node.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

// travel takes the time of a link.
func (w *world) travel(ctx context.Context, from string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.life.Done():
		return errGone
	case <-time.After(linkDelay):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conditions[from] == dead {
		return errGone
	}
	return nil
}

// wake tells waiting messages that something changed; the lock is held.
func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// link names the link between two processes in either direction.
func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// fakeNet carries messages between nodes.
type fakeNet struct {
	w    *world
	self string
}

// Ask carries a message and its answer.
func (f *fakeNet) Ask(ctx context.Context, address string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := f.w.pass(ctx, f.self, address); err != nil {
		return nil, err
	}
	f.w.mu.Lock()
	n := f.w.nodes[address]
	f.w.mu.Unlock()
	answer := n.HandlePeer(ctx, m)
	if err := f.w.pass(ctx, address, f.self); err != nil {
		return nil, err
	}
	if failed, ok := answer.(wire.Failed); ok {
		return nil, errors.New(failed.Reason)
	}
	return answer, nil
}

// fakeStore carries calls to the platform.
type fakeStore struct {
	w    *world
	self string
}

// bounded limits a call in time, as the real client does.
func (f *fakeStore) bounded(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+2*time.Second)
}

func (f *fakeStore) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (store.Page, error) {
	f.w.count(false)
	ctx, cancel := f.bounded(ctx, wait)
	defer cancel()
	if f.w.pass(ctx, f.self, platformName) != nil {
		return store.Page{}, store.ErrDown
	}
	page, err := f.w.platform.Changes(ctx, kinds, after, wait)
	if f.w.pass(ctx, platformName, f.self) != nil {
		return store.Page{}, store.ErrDown
	}
	return page, err
}

func (f *fakeStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f.w.count(false)
	ctx, cancel := f.bounded(ctx, 0)
	defer cancel()
	if f.w.pass(ctx, f.self, platformName) != nil {
		return store.Object{}, store.ErrDown
	}
	o, err := f.w.platform.Get(ctx, kind, name)
	if f.w.pass(ctx, platformName, f.self) != nil {
		return store.Object{}, store.ErrDown
	}
	return o, err
}

func (f *fakeStore) Instances(ctx context.Context) ([]store.Instance, error) {
	f.w.count(false)
	ctx, cancel := f.bounded(ctx, 0)
	defer cancel()
	if f.w.pass(ctx, f.self, platformName) != nil {
		return nil, store.ErrDown
	}
	return f.w.platform.Instances(ctx)
}

func (f *fakeStore) List(ctx context.Context, kinds []string) (store.Page, error) {
	f.w.count(false)
	ctx, cancel := f.bounded(ctx, 0)
	defer cancel()
	if f.w.pass(ctx, f.self, platformName) != nil {
		return store.Page{}, store.ErrDown
	}
	return f.w.platform.List(ctx, kinds)
}

func (f *fakeStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	f.w.count(true)
	ctx, cancel := f.bounded(ctx, 0)
	defer cancel()
	if f.w.pass(ctx, f.self, platformName) != nil {
		return 0, store.ErrUncertain
	}
	revision, err := f.w.platform.Put(ctx, o)
	f.w.fire("put-" + o.Kind + "-" + phaseOf(o))
	if f.w.pass(ctx, platformName, f.self) != nil {
		return 0, store.ErrUncertain
	}
	return revision, err
}

// phaseOf returns the phase of a stored claim.
func phaseOf(o store.Object) string {
	for _, phase := range []string{"claimed", "unsent", "done"} {
		if strings.Contains(string(o.Value), `"phase":"`+phase+`"`) {
			return phase
		}
	}
	return ""
}
