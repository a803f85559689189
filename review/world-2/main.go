// Command world-2 plays the platform around instances of bramleywharf for the cases of the second review: the store, the
// servers, the clients and the operator, as the users' pages describe them.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 110 * time.Second
)

// world is what surrounds the instances.
type world struct {
	root, temp, self string
	trouble          bool
	record           *record
	store            *store
	storeAddress     string
	mu               sync.Mutex
	children         []*child
}

// cases maps the names of the cases to their plays, which return the exit code.
var cases = map[string]func(*world) (int, error){}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		if err := serverMain(os.Args[2:]); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(notRun)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: world-2 CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	fmt.Printf("case %s: %s\n", os.Args[1], map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", notRun: "could not run"}[code])
	os.Exit(code)
}

func play(name, root, folder string) (int, error) {
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return notRun, err
	}
	defer func() { _ = os.RemoveAll(temp) }()
	self, err := os.Executable()
	if err != nil {
		return notRun, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun, err
	}
	w := &world{root: root, temp: temp, self: self, trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore()}
	w.record.logf("case %s, with the disruption: %v", name, w.trouble)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return notRun, err
	}
	w.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.end()
		_ = os.RemoveAll(temp)
		os.Exit(notRun)
	}()
	time.AfterFunc(maxTime, func() {
		w.record.logf("the case took too long")
		w.end()
		_ = os.RemoveAll(temp)
		os.Exit(notRun)
	})
	code, err := cases[name](w)
	w.record.logf("exit code %d", code)
	return code, err
}

// end ends all processes that the test has started.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.children {
		c.signal(syscall.SIGCONT)
		c.signal(syscall.SIGKILL)
	}
	for _, c := range w.children {
		<-c.done
	}
	w.children = nil
}

// configure stores the configuration as the operator does.
func (w *world) configure(version int) {
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
	w.store.put("config", "main", map[string]any{
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

// serve starts a server and waits until its entry is stored.
func (w *world) serve(id, service, zone string, flags ...string) (*child, error) {
	argv := append([]string{w.self, "server", "-id", id, "-service", service, "-zone", zone, "-store", w.storeAddress}, flags...)
	c, err := w.start("s "+id, nil, argv...)
	if err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { _, ok := c.has("up " + id); return ok }) {
		return nil, fmt.Errorf("server %s does not start", id)
	}
	return c, nil
}

// open stores the configuration, starts n machines and waits until all are ready.
func (w *world) open(n int) ([]*machine, error) {
	w.configure(7)
	machines, err := w.newMachines(n)
	if err != nil {
		return nil, err
	}
	for _, m := range machines {
		if err := w.boot(m); err != nil {
			return nil, err
		}
	}
	for _, m := range machines {
		if !await(15*time.Second, m.isReady) {
			line, _ := m.process.has("")
			return nil, fmt.Errorf("machine %s is not ready: %s", m.name, line)
		}
	}
	w.record.logf("machines  %d are ready", n)
	time.Sleep(3 * time.Second) // stable_window_ms
	return machines, nil
}
