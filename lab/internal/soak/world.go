package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/platform/stand"
)

const (
	callerPort = 18080
	readyPort  = 18081
	lookupPort = 18082
	peerPort   = 17340
	zones      = 3
	eventPace  = 15 * time.Millisecond
	graceTime  = 4 // graceTime is the time between SIGTERM and SIGKILL, in seconds.
)

// world holds the stand-ins, the proxies and the processes of a run.
type world struct {
	settings Settings
	dir      string
	store    *stand.Store
	ledger   *stand.Ledger
	doors    []*Proxy
	hosts    []*process

	mu      sync.Mutex
	targets []*target
	number  int
	version int
	revoked time.Time
}

// target is a stand-in with the proxy before it.
type target struct {
	*stand.Target
	proxy   *Proxy
	service string
}

// newWorld starts stand-ins and processes.
func newWorld(s Settings) (*world, error) {
	w := &world{settings: s, store: stand.NewStore(), ledger: stand.NewLedger()}
	var err error
	if w.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, fmt.Errorf("make a directory for settings: %w", err)
	}
	w.configure()
	for i := range s.Targets {
		if err := w.addTarget([]string{"plain", "engine", "engine"}[i%3]); err != nil {
			return nil, err
		}
	}
	for i := range s.Instances {
		if err := w.addHost(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// addHost starts an instance with a way to the store of its own.
func (w *world) addHost(i int) error {
	name := fmt.Sprintf("soak-%d", i)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	go func() { _ = http.Serve(listener, w.store.Door(name)) }()
	door, err := NewProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	w.doors = append(w.doors, door)
	p := &process{done: make(chan struct{}), name: name, ip: fmt.Sprintf("127.0.%d.%d", w.settings.Network, i+1), program: w.settings.Program, file: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log")}
	machine := stand.Machine{
		Name: name, IP: p.ip, Zone: fmt.Sprintf("z%d", i%zones), Store: door.Address(), GraceSeconds: graceTime,
		CallerPort: callerPort, ReadyPort: readyPort, LookupPort: lookupPort, PeerPort: peerPort,
	}
	if err := os.WriteFile(p.file, []byte(machine.Settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	w.hosts = append(w.hosts, p)
	return p.start()
}

// addTarget starts a target and declares it.
func (w *world) addTarget(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	t, err := stand.NewTarget(fmt.Sprintf("%s-%d", service, w.number), w.ledger, conduct(service, ""))
	if err != nil {
		return err
	}
	proxy, err := NewProxy(t.Address)
	if err != nil {
		return err
	}
	t.Address = proxy.Address()
	w.targets = append(w.targets, &target{Target: t, proxy: proxy, service: service})
	w.store.Declare(t, service, fmt.Sprintf("z%d", w.number%zones), false)
	return nil
}

// close ends processes, by their ids, and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.end()
	}
	for _, t := range w.targets {
		t.Close()
		t.proxy.Close()
	}
	for _, d := range w.doors {
		d.Close()
	}
}

// configure writes the next version, whose only key carries its number.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Configure(w.version, fmt.Sprint("key-", w.version))
	w.revoked = time.Now()
}

// key returns the key in force and when it came into force at the store.
func (w *world) key() (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint("key-", w.version), w.revoked
}

// apply does what an event says and undoes it after its length.
func (w *world) apply(ctx context.Context, e Event) {
	heal := func() {}
	switch f := e.Fault.(type) {
	case Signal:
		w.hosts[e.Thing%len(w.hosts)].signal(ctx, f, e.Length)
		return
	case StoreFault:
		heal = w.failStore(f, w.hosts[e.Thing%len(w.hosts)].name)
	case LinkFault:
		proxy := w.doors[e.Thing%len(w.doors)]
		if t := w.pick(e.Thing); !f.Store && t != nil {
			proxy = t.proxy
		}
		proxy.Set(f.Mode)
		heal = func() { proxy.Set(Clear) }
	case Conduct:
		t := w.pick(e.Thing)
		t.Behave(conduct(t.service, f.Name))
		heal = func() { t.Behave(conduct(t.service, "")) }
	case Revoke:
		w.configure()
	case Replace:
		w.replace(ctx, e.Thing, f.Notice)
	case Restart:
		heal = w.restart(e.Thing)
	}
	select {
	case <-ctx.Done():
	case <-time.After(e.Length):
	}
	heal()
}

// failStore fails the store for one instance or all, and returns what mends it.
func (w *world) failStore(f StoreFault, door string) (heal func()) {
	if f.Deafen {
		w.store.Deafen(true)
		return func() {
			w.store.Forget()
			w.store.Deafen(false)
		}
	}
	if f.All {
		door = ""
	}
	w.store.Fail(door, f.Fault)
	return func() { w.store.Fail(door, stand.Sound) }
}

// pick returns a target by a number.
func (w *world) pick(number int) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[number%len(w.targets)]
}

// replace ends a target and starts another of its service.
func (w *world) replace(ctx context.Context, number int, notice bool) {
	t := w.pick(number)
	if err := w.addTarget(t.service); err != nil {
		return
	}
	w.mu.Lock()
	for i := range w.targets {
		if w.targets[i] == t {
			w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	if notice {
		w.store.Declare(t.Target, t.service, "z0", true)
		select {
		case <-ctx.Done():
		case <-time.After(longest):
		}
	}
	t.Close()
	t.proxy.Close()
	w.store.Forsake(t.Target)
}

// restart starts a target again under a new name at its address, and returns what tells the store.
func (w *world) restart(number int) (heal func()) {
	t := w.pick(number)
	w.mu.Lock()
	w.number++
	next := fmt.Sprintf("%s-%d", t.service, w.number)
	zone := fmt.Sprintf("z%d", w.number%zones)
	w.mu.Unlock()
	old := t.Name()
	t.Restart(next)
	t.proxy.Set(Cut)
	t.proxy.Set(Clear)
	return func() {
		w.mu.Lock()
		there := slices.Contains(w.targets, t)
		w.mu.Unlock()
		if there && t.Name() == next {
			w.store.Declare(t.Target, t.service, zone, false)
		}
		w.store.Delete("servers", old)
	}
}

// conduct returns the behaviour of a target of a service.
func conduct(service, name string) stand.Behaviour {
	b := stand.Behaviour{Delay: 5 * time.Millisecond}
	if service == "engine" {
		b.Events, b.Pace, b.Engine = 60, eventPace, true
	}
	switch name {
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
