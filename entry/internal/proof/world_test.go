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
	linkDelay    = time.Millisecond // Time that one message takes.
	linger       = 5 * time.Second  // How long a generation goes on after its caller disconnected.
)

var (
	errDead    = errors.New("process is dead")
	errRefused = errors.New("connection refused")
)

type processState int

const (
	running processState = iota
	frozen               // Sends and receives nothing until it runs again, as a process stopped by a signal.
	dead
)

// world simulates the processes of a deployment and the network between them.
type world struct {
	t        *testing.T
	platform *store.Memory
	nodes    map[string]*node.Node
	engines  map[string]*fakeEngine
	services map[string]*fakeService
	cancel   context.CancelFunc
	runCtx   context.Context

	mu               sync.Mutex
	processStates    map[string]processState // A process without an entry is running.
	cutLinks         map[[2]string]bool
	changed          chan struct{}       // Closed and replaced when a process or link changes.
	hooks            map[string][]func() // Functions to call once, by the name of the point.
	startedNodes     []*node.Node        // Includes nodes that a restart replaced.
	everPaused       bool                // Whether any process was ever paused.
	platformCalls    platformCalls
	holdNextOrder    bool         // Hold the next order to an engine in the network.
	deliverHeldOrder func() error // Delivers the held order.
	platformRefuses  bool         // Whether the platform refuses every call.
}

// newWorld starts nodes, engines and two services; the sheet in the platform sets the recovery policy.
func newWorld(t *testing.T, nodes, engines int, recovery string) *world {
	w := &world{
		t:             t,
		platform:      store.NewMemory(),
		nodes:         make(map[string]*node.Node),
		engines:       make(map[string]*fakeEngine),
		services:      make(map[string]*fakeService),
		processStates: make(map[string]processState),
		cutLinks:      make(map[[2]string]bool),
		changed:       make(chan struct{}),
		hooks:         make(map[string][]func()),
		platformCalls: platformCalls{reads: make(map[int64]int), writes: make(map[int64]int)},
	}
	// Sleep, since Go 1.26's race detector crashes when a select finds the first timer of a synctest bubble due.
	time.Sleep(time.Nanosecond)
	w.runCtx, w.cancel = context.WithCancel(t.Context())
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
	w.declare(conf.KindOrganisation, "org", `{"key-hash":"`+keyHash("key")+`"}`)
	w.pushSheet(1, recovery, 20)
	var instances []store.Instance
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		instances = append(instances, store.Instance{Name: name, Domain: fmt.Sprintf("fd-%d", i%3), CallerAddress: name, PeerAddress: name})
	}
	w.platform.SetInstances(instances)
	for i := range nodes {
		w.startNode(i)
	}
	time.Sleep(6 * time.Second)
	return w
}

// close kills all processes and closes the nodes.
func (w *world) close() {
	w.mu.Lock()
	for name := range w.processStates {
		w.processStates[name] = dead
	}
	for name := range w.nodes {
		w.processStates[name] = dead
	}
	w.notifyChange()
	w.mu.Unlock()
	w.cancel()
	for _, n := range w.startedNodes {
		n.Close()
	}
	time.Sleep(15 * time.Second) // Long enough for the slowest engine and caller to stop.
}

// setLinkCut cuts or restores the link between two processes.
func (w *world) setLinkCut(a, b string, isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutLinks[linkKey(a, b)] = isCut
	w.notifyChange()
}

// declare stores a configuration object in the platform.
func (w *world) declare(kind, name, value string) {
	o, err := w.platform.Get(w.runCtx, kind, name)
	if err != nil {
		o = store.Object{Kind: kind, Name: name}
	}
	if _, err := w.platform.Put(w.runCtx, o.WithValue(fmt.Sprint(time.Now()), []byte(value))); err != nil {
		w.t.Errorf("declare %s/%s: %v", kind, name, err)
	}
}

// runHooks calls and removes the hooks of a point.
func (w *world) runHooks(point string) {
	w.mu.Lock()
	hooks := w.hooks[point]
	delete(w.hooks, point)
	w.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// addHook makes the next runHooks of a point call hook.
func (w *world) addHook(point string, hook func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[point] = append(w.hooks[point], hook)
}

// runningNodes returns the names of the running nodes, sorted.
func (w *world) runningNodes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runningNodes []string
	for name := range w.nodes {
		if w.processStates[name] == running {
			runningNodes = append(runningNodes, name)
		}
	}
	slices.Sort(runningNodes)
	return runningNodes
}

// transmit returns once a message has travelled from one process to another. It waits while the link is cut or an end
// is frozen; a frozen sender does not notice the end of ctx. It fails if the sender is dead, or if the receiver is dead
// and the link is not cut.
func (w *world) transmit(ctx context.Context, from, to string) error {
	for {
		w.mu.Lock()
		changed := w.changed
		sender, receiver, isCut := w.processStates[from], w.processStates[to], w.cutLinks[linkKey(from, to)]
		w.mu.Unlock()
		switch {
		case sender == dead:
			return errDead
		case sender == frozen:
			<-changed
			continue
		case receiver == dead && !isCut:
			return errRefused
		case receiver == running && !isCut:
			return w.awaitLinkDelay(ctx, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushSheet replaces the sheet in the platform.
func (w *world) pushSheet(day int, recovery string, ceiling int) {
	w.declare(conf.KindSheet, "club", fmt.Sprintf(
		`{"date":"2026-12-%02d","limits":[{"organisation":"org","share":100,"priority":1,"ceiling":%d,"models":["m"],"recovery":%q}]}`,
		day, ceiling, recovery))
}

// setState changes the state of a process; a dead process can only be started again.
func (w *world) setState(name string, state processState) {
	w.mu.Lock()
	if w.processStates[name] != dead || state == running {
		w.processStates[name] = state
	}
	w.notifyChange()
	w.mu.Unlock()
	if e := w.engines[name]; e != nil && state == dead {
		e.dropGenerations()
	}
}

// startNode starts the i-th node, anew if it ran before.
func (w *world) startNode(i int) {
	name := fmt.Sprintf("node-%d", i)
	w.setState(name, running)
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
		Platform: &fakeStore{w: w, nodeName: name},
		Engines:  &fakeEngines{w: w, nodeName: name},
		Services: &fakeServices{w: w, nodeName: name},
		Peers:    &fakePeers{w: w, nodeName: name},
	}, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, metrics.NewSet())
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.nodes[name] = n
	w.startedNodes = append(w.startedNodes, n)
	w.mu.Unlock()
}

// node returns the node that was last started under a name.
func (w *world) node(name string) *node.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

// awaitLinkDelay waits for the delay of a link and fails if the sender died meanwhile.
func (w *world) awaitLinkDelay(ctx context.Context, from string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.runCtx.Done():
		return errDead
	case <-time.After(linkDelay):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.processStates[from] == dead {
		return errDead
	}
	return nil
}

// notifyChange wakes waiting messages and streams; w.mu must be held.
func (w *world) notifyChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// linkKey returns the key of the link between two processes, the same for both directions.
func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// fakePeers is the peer.Client of one node.
type fakePeers struct {
	w        *world
	nodeName string
}

// Call sends a message to a peer and returns its answer.
func (f *fakePeers) Call(ctx context.Context, address string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := f.w.transmit(ctx, f.nodeName, address); err != nil {
		return nil, err
	}
	f.w.mu.Lock()
	n := f.w.nodes[address]
	f.w.mu.Unlock()
	answer := n.HandlePeer(ctx, m)
	if err := f.w.transmit(ctx, address, f.nodeName); err != nil {
		return nil, err
	}
	if failed, ok := answer.(wire.Failure); ok {
		return nil, errors.New(failed.Reason)
	}
	return answer, nil
}

// fakeStore is the store.Store of one node.
type fakeStore struct {
	w        *world
	nodeName string
}

// withTimeout bounds a call to its waiting time and two seconds, as the real client does.
func (f *fakeStore) withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+2*time.Second)
}

func (f *fakeStore) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (store.Page, error) {
	f.w.countPlatformCall(false)
	ctx, cancel := f.withTimeout(ctx, wait)
	defer cancel()
	if f.w.transmit(ctx, f.nodeName, platformName) != nil {
		return store.Page{}, store.ErrUnreachable
	}
	page, err := f.w.platform.Changes(ctx, kinds, after, wait)
	if f.w.transmit(ctx, platformName, f.nodeName) != nil {
		return store.Page{}, store.ErrUnreachable
	}
	return page, err
}

func (f *fakeStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	f.w.countPlatformCall(false)
	ctx, cancel := f.withTimeout(ctx, 0)
	defer cancel()
	if f.w.transmit(ctx, f.nodeName, platformName) != nil {
		return store.Object{}, store.ErrUnreachable
	}
	o, err := f.w.platform.Get(ctx, kind, name)
	if f.w.transmit(ctx, platformName, f.nodeName) != nil {
		return store.Object{}, store.ErrUnreachable
	}
	return o, err
}

func (f *fakeStore) Instances(ctx context.Context) ([]store.Instance, error) {
	f.w.countPlatformCall(false)
	ctx, cancel := f.withTimeout(ctx, 0)
	defer cancel()
	if f.w.transmit(ctx, f.nodeName, platformName) != nil {
		return nil, store.ErrUnreachable
	}
	return f.w.platform.Instances(ctx)
}

func (f *fakeStore) List(ctx context.Context, kinds []string) (store.Page, error) {
	f.w.countPlatformCall(false)
	ctx, cancel := f.withTimeout(ctx, 0)
	defer cancel()
	if f.w.transmit(ctx, f.nodeName, platformName) != nil {
		return store.Page{}, store.ErrUnreachable
	}
	return f.w.platform.List(ctx, kinds)
}

func (f *fakeStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	f.w.countPlatformCall(true)
	ctx, cancel := f.withTimeout(ctx, 0)
	defer cancel()
	if f.w.transmit(ctx, f.nodeName, platformName) != nil {
		return 0, store.ErrOutcomeUnknown
	}
	revision, err := f.w.platform.Put(ctx, o)
	f.w.runHooks("put-" + o.Kind + "-" + claimPhase(o))
	if f.w.transmit(ctx, platformName, f.nodeName) != nil {
		return 0, store.ErrOutcomeUnknown
	}
	return revision, err
}

// claimPhase returns the phase of the claim that an object holds, or an empty string.
func claimPhase(o store.Object) string {
	for _, phase := range []string{"claimed", "unsent", "done"} {
		if strings.Contains(string(o.Value), `"phase":"`+phase+`"`) {
			return phase
		}
	}
	return ""
}
