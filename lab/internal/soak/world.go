package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/platform/stand"
	"bramleywharf.example/platform/stand/origin"
)

const (
	callerPort    = 18080
	readyPort     = 18081
	lookupPort    = 18082
	peerPort      = 17340
	zoneCount     = 3
	eventInterval = 15 * time.Millisecond
	graceSeconds  = 4 // graceSeconds is the time from SIGTERM to SIGKILL.

	rewriteDelay = time.Second             // rewriteDelay is the time until targets and the operator have written again.
	entryLife    = 3600 * time.Millisecond // entryLife is three heartbeats of a target, after which its entry lapses.
)

// testbed holds the stand-ins, the proxies and the instances of a run.
type testbed struct {
	settings     Settings
	dir          string
	store        *stand.Store
	ledger       *origin.Ledger
	storeProxies []*Proxy // storeProxies holds the proxy between each instance and the store.
	instances    []*process

	mu               sync.Mutex
	targets          []*target
	lastTargetNumber int
	configVersion    int
	keyStoredAt      time.Time
}

// target is a stand-in with the proxy in front of it.
type target struct {
	*origin.Target
	proxy   *Proxy
	service string
}

// newTestbed starts the stand-ins and the instances.
func newTestbed(s Settings) (*testbed, error) {
	b := &testbed{settings: s, store: stand.NewStore(), ledger: origin.NewLedger()}
	var err error
	if b.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, fmt.Errorf("create a directory for settings and logs: %w", err)
	}
	b.configure()
	for i := range s.Targets {
		if err := b.addTarget([]string{"plain", "engine", "engine"}[i%3]); err != nil {
			return nil, err
		}
	}
	for i := range s.Instances {
		if err := b.addInstance(i); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// addInstance starts an instance that reaches the store through a listener and a proxy of its own, so that a fault can
// affect it alone.
func (b *testbed) addInstance(i int) error {
	name := fmt.Sprintf("soak-%d", i)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	go func() { _ = http.Serve(listener, b.store.Door(name)) }()
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	b.storeProxies = append(b.storeProxies, proxy)
	instance := &process{done: make(chan struct{}), name: name, ip: fmt.Sprintf("127.0.%d.%d", b.settings.Network, i+1), program: b.settings.Program, settingsFile: filepath.Join(b.dir, name+".toml"), logFile: filepath.Join(b.dir, name+".log")}
	machine := stand.Machine{
		Name: name, IP: instance.ip, Zone: fmt.Sprintf("z%d", i%zoneCount), Store: proxy.Address(), GraceSeconds: graceSeconds,
		CallerPort: callerPort, ReadyPort: readyPort, LookupPort: lookupPort, PeerPort: peerPort,
	}
	if err := os.WriteFile(instance.settingsFile, []byte(machine.Settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	b.instances = append(b.instances, instance)
	return instance.start()
}

// addTarget starts a target with a proxy and stores its entry.
func (b *testbed) addTarget(service string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastTargetNumber++
	t, err := origin.NewTarget(fmt.Sprintf("%s-%d", service, b.lastTargetNumber), b.ledger, behaviourOf(service, ""))
	if err != nil {
		return err
	}
	proxy, err := NewProxy(t.Address)
	if err != nil {
		return err
	}
	t.Address = proxy.Address()
	b.targets = append(b.targets, &target{Target: t, proxy: proxy, service: service})
	b.store.Declare(t, service, fmt.Sprintf("z%d", b.lastTargetNumber%zoneCount), false)
	return nil
}

// close kills the instances, each by its process id, and stops the stand-ins and proxies.
func (b *testbed) close() {
	for _, instance := range b.instances {
		instance.shutDown()
	}
	for _, t := range b.targets {
		t.Close()
		t.proxy.Close()
	}
	for _, storeProxy := range b.storeProxies {
		storeProxy.Close()
	}
}

// configure stores the next version of the configuration, whose only key carries the version number.
func (b *testbed) configure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configVersion++
	b.store.Configure(b.configVersion, fmt.Sprint("key-", b.configVersion))
	b.keyStoredAt = time.Now()
}

// key returns the current key and when it was stored.
func (b *testbed) key() (string, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprint("key-", b.configVersion), b.keyStoredAt
}

// apply injects the fault of an event and reverts it after the event's length.
func (b *testbed) apply(ctx context.Context, e Event) {
	revert := func() {}
	switch f := e.Fault.(type) {
	case Signal:
		b.instances[e.Thing%len(b.instances)].applySignal(ctx, f, e.Length)
		return
	case StoreFault:
		revert = b.injectStoreFault(f, b.instances[e.Thing%len(b.instances)].name)
	case LinkFault:
		proxy := b.storeProxies[e.Thing%len(b.storeProxies)]
		if t := b.targetAt(e.Thing); !f.Store && t != nil {
			proxy = t.proxy
		}
		proxy.Set(f.Mode)
		revert = func() { proxy.Set(Clear) }
	case Conduct:
		t := b.targetAt(e.Thing)
		t.Behave(behaviourOf(t.service, f.Name))
		revert = func() { t.Behave(behaviourOf(t.service, "")) }
	case Revoke:
		b.configure()
	case Replace:
		b.replaceTarget(ctx, e.Thing, f.Notice)
	case Restart:
		revert = b.restartTarget(e.Thing)
	case Drill:
		b.store.Fail("", stand.Busy)
		revert = func() { b.restoreStore(f.Age) }
	}
	select {
	case <-ctx.Done():
	case <-time.After(e.Length):
	}
	revert()
}

// injectStoreFault makes the store fail for one instance or all, and returns the function that ends the fault.
func (b *testbed) injectStoreFault(f StoreFault, instance string) (revert func()) {
	if f.Deafen {
		b.store.Deafen(true)
		return func() {
			b.store.Forget()
			b.store.Deafen(false)
		}
	}
	if f.All {
		instance = ""
	}
	b.store.Fail(instance, f.Fault)
	return func() { b.store.Fail(instance, stand.Sound) }
}

// restoreStore brings the store back from a copy. The operator and the targets then write again what they had written, and
// the entries of targets that are gone lapse, as their heartbeats are missing.
func (b *testbed) restoreStore(age time.Duration) {
	b.store.Drill(age)
	b.store.Fail("", stand.Sound)
	time.Sleep(rewriteDelay)
	b.mu.Lock()
	b.store.Configure(b.configVersion, fmt.Sprint("key-", b.configVersion))
	present := make(map[string]bool)
	for _, t := range b.targets {
		present[t.Name()] = true
		b.store.Declare(t.Target, t.service, zoneOf(t.Name()), false)
	}
	b.mu.Unlock()
	time.Sleep(entryLife - rewriteDelay)
	for _, name := range b.store.Names("servers") {
		b.mu.Lock()
		gone := !present[name] && !slices.ContainsFunc(b.targets, func(t *target) bool { return t.Name() == name })
		b.mu.Unlock()
		if gone {
			b.store.Delete("servers", name)
		}
	}
}

// zoneOf returns the failure domain of a target, which its number tells.
func zoneOf(name string) string {
	_, digits, _ := strings.Cut(name, "-")
	number, _ := strconv.Atoi(digits)
	return fmt.Sprintf("z%d", number%zoneCount)
}

// targetAt returns the target that a number selects, modulo the number of targets.
func (b *testbed) targetAt(number int) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets[number%len(b.targets)]
}

// replaceTarget starts another target of the same service and removes the selected one.
func (b *testbed) replaceTarget(ctx context.Context, number int, notice bool) {
	t := b.targetAt(number)
	if err := b.addTarget(t.service); err != nil {
		return
	}
	b.mu.Lock()
	for i := range b.targets {
		if b.targets[i] == t {
			b.targets = append(b.targets[:i:i], b.targets[i+1:]...)
			break
		}
	}
	b.mu.Unlock()
	if notice {
		b.store.Declare(t.Target, t.service, "z0", true)
		select {
		case <-ctx.Done():
		case <-time.After(maxFaultLength):
		}
	}
	t.Close()
	t.proxy.Close()
	b.store.Forsake(t.Target)
}

// restartTarget gives a target a new name at its address and resets its connections, as a restart does. It returns the
// function that updates the store.
func (b *testbed) restartTarget(number int) (updateStore func()) {
	t := b.targetAt(number)
	b.mu.Lock()
	b.lastTargetNumber++
	newName := fmt.Sprintf("%s-%d", t.service, b.lastTargetNumber)
	zone := fmt.Sprintf("z%d", b.lastTargetNumber%zoneCount)
	b.mu.Unlock()
	oldName := t.Name()
	t.Restart(newName)
	t.proxy.Set(Cut)
	t.proxy.Set(Clear)
	return func() {
		b.mu.Lock()
		present := slices.Contains(b.targets, t)
		b.mu.Unlock()
		if present && t.Name() == newName {
			b.store.Declare(t.Target, t.service, zone, false)
		}
		b.store.Delete("servers", oldName)
	}
}

// behaviourOf returns the behaviour of a target of a service under a Conduct; an empty name stands for none.
func behaviourOf(service, conductName string) origin.Behaviour {
	b := origin.Behaviour{Delay: 5 * time.Millisecond}
	if service == "engine" {
		b.Events, b.Pace, b.Engine = 60, eventInterval, true
	}
	switch conductName {
	case "cut":
		b.CutAt = 20
	case "mute":
		b.MuteAt = 20
	case "reset":
		b.Reset = true
	case "shed":
		b.Shed = true
	case "stray":
		b.Stray = service == "plain"
	case "short":
		b.Short = service == "plain"
	case "failed":
		b.Status, b.Events = 500, 0
	}
	return b
}
