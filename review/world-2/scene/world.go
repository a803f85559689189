package scene

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// World is what surrounds the instances.
type World struct {
	Trouble          bool // Trouble tells that the disruption is played.
	Record           *Record
	Store            *Store
	root, temp, self string
	storeAddress     string
	mu               sync.Mutex
	children         []*Child
}

// New starts a store and a record in a folder; root is that of the repository.
func New(root, folder string) (*World, error) {
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &World{root: root, temp: temp, self: self, Trouble: os.Getenv("TROUBLE") != "0", Record: r, Store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.Store) }()
	return w, nil
}

// End ends all processes that the test has started, and removes their files.
func (w *World) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.children {
		c.Signal(syscall.SIGCONT)
		c.Signal(syscall.SIGKILL)
	}
	for _, c := range w.children {
		<-c.Done
	}
	w.children = nil
	_ = os.RemoveAll(w.temp)
}

// Configure stores the configuration as the operator does.
func (w *World) Configure(version int) {
	route := func(name, prefix, kind, service string, timeout, aim, attempts, priority int, stream bool) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": priority, "service": service, "max_attempts": attempts, "public": false, "sticky": stream, "resumable": stream,
		}
		if stream {
			r["gap_aim_ms"] = 700
		}
		return r
	}
	w.Store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("r-brief", "/lohu930/", "streaming", "huvo11a", 25000, 4500, 5, 1, true),
			route("r-order", "/puxa403/", "non_idempotent", "wuno96b", 1500, 100, 2, 2, false),
			route("r-status", "/cufi504/", "idempotent", "wuno96b", 1500, 100, 3, 2, false),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 88000, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": false, "backups": false,
				"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
}

// Serve starts a server and waits until its entry is stored.
func (w *World) Serve(id, service, zone string, flags ...string) (*Child, error) {
	argv := append([]string{w.self, "server", "-id", id, "-service", service, "-zone", zone, "-store", w.storeAddress}, flags...)
	c, err := w.Start("s "+id, nil, argv...)
	if err != nil {
		return nil, err
	}
	if !Await(5*time.Second, func() bool { _, ok := c.Has("up " + id); return ok }) {
		return nil, fmt.Errorf("server %s does not start", id)
	}
	return c, nil
}

// Open stores the configuration, starts n machines and waits until all are ready.
func (w *World) Open(n int) ([]*Machine, error) {
	w.Configure(7)
	machines, err := w.NewMachines(n)
	if err != nil {
		return nil, err
	}
	for _, m := range machines {
		if err := w.Boot(m); err != nil {
			return nil, err
		}
	}
	for _, m := range machines {
		if !Await(15*time.Second, m.IsReady) {
			line, _ := m.Process.Has("")
			return nil, fmt.Errorf("machine %s is not ready: %s", m.Name, line)
		}
	}
	w.Record.Logf("machines  %d are ready", n)
	time.Sleep(3 * time.Second) // stable_window_ms
	return machines, nil
}
