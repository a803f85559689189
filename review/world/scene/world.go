package scene

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// key is the API key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

const regionName = "ie-east"

var zones = []string{"ie-east-a", "ie-east-b", "ie-east-c"}

// DrainTime is drain_ms, and ApplyTime is config_apply_ms, of the settings.
const (
	DrainTime = 2000 * time.Millisecond
	ApplyTime = 2000 * time.Millisecond
)

// World is a small deployment: a store, servers and instances.
type World struct {
	folder   string // folder holds the record.
	temp     string
	root     string // root is the repository.
	Start    time.Time
	Trouble  bool // trouble is false when the disruption is to be left out.
	Grace    int  // grace is grace_s of the settings files.
	store    *store
	storeAt  string
	net      int // net is the second and third byte of the loopback addresses.
	Machines []*Machine
	servers  map[string]*Server

	mu      sync.Mutex
	out     *os.File
	events  []Event
	started []*exec.Cmd
	isOver  bool
}

// Event is what a server said.
type Event struct {
	At     time.Time
	Server string
	What   string
	ID     string
}

// Machine is one instance.
type Machine struct {
	Name, IP, Zone string
	Door           *Door
	Process        *exec.Cmd
}

// Server is the process of a server.
type Server struct {
	ID, Address string
	Process     *exec.Cmd
}

// New returns a deployment with a store only.
func New(folder string) (*World, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &World{
		folder: folder, temp: temp, root: root, out: out, Start: time.Now(), Trouble: os.Getenv("TROUBLE") != "0",
		Grace: 8, store: newStore(), storeAt: listener.Addr().String(), net: 1 + rand.IntN(60000), servers: map[string]*Server{},
	}
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// Close ends all processes that were started.
func (w *World) Close() {
	w.mu.Lock()
	w.isOver = true
	started := w.started
	w.mu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
	}
	for _, c := range started {
		_ = c.Wait()
	}
	_ = os.RemoveAll(w.temp)
	_ = w.out.Close()
}

// Record writes one line with the time since the start.
func (w *World) Record(format string, args ...any) {
	w.recordAt(time.Now(), format, args...)
}

func (w *World) recordAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOver {
		_, _ = fmt.Fprintf(w.out, "%8.3f  %s\n", at.Sub(w.Start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// address returns a loopback address of this world.
func (w *World) address(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+w.net/256%200, w.net%256, last)
}

// run starts a process that ends with this one.
func (w *World) run(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.started = append(w.started, c)
	w.mu.Unlock()
	return nil
}

// StartServer starts a server with a number, of a service, and waits until it has an entry in the store.
func (w *World) StartServer(number int, id, service string, flags ...string) (*Server, error) {
	p := &Server{ID: id, Address: w.address(100+number) + ":8080"}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := append([]string{"server", "--id", id, "--service", service, "--zone", zones[number%len(zones)], "--address", p.Address, "--store", w.storeAt}, flags...)
	p.Process = exec.Command(program, args...)
	p.Process.Stderr = os.Stderr
	out, err := p.Process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.run(p.Process); err != nil {
		return nil, err
	}
	go w.listen(out)
	w.mu.Lock()
	w.servers[id] = p
	w.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w.store.mu.Lock()
		_, ok := w.store.objects["servers"][id]
		w.store.mu.Unlock()
		if ok {
			return p, nil
		}
	}
	return nil, fmt.Errorf("server %s has no entry", id)
}

// listen reads what a server says.
func (w *World) listen(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		words := strings.Split(lines.Text(), " ")
		if len(words) != 4 {
			continue
		}
		nanos, _ := strconv.ParseInt(words[0], 10, 64)
		e := Event{At: time.Unix(0, nanos), Server: words[1], What: words[2], ID: words[3]}
		w.mu.Lock()
		w.events = append(w.events, e)
		w.mu.Unlock()
		w.recordAt(e.At, "server %s: %s %s", e.Server, e.What, e.ID)
	}
}

// Said returns what servers have said so far.
func (w *World) Said() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Event(nil), w.events...)
}

// StartMachines starts instances with the command of the deploy file and waits until they are ready. The seeds are
// those of a deployment of three; the ones that are not started do not answer.
func (w *World) StartMachines(count int) error {
	for i := range count {
		m := &Machine{Name: fmt.Sprintf("front-%s-1", zones[i%len(zones)]), IP: w.address(1 + i), Zone: zones[i%len(zones)]}
		var err error
		if m.Door, err = newDoor(w.storeAt); err != nil {
			return err
		}
		path := filepath.Join(w.temp, m.Name+".toml")
		if err := os.WriteFile(path, []byte(w.settings(m)), 0o600); err != nil {
			return err
		}
		if err := w.StartMachine(m); err != nil {
			return err
		}
		w.Machines = append(w.Machines, m)
	}
	for _, m := range w.Machines {
		if err := w.awaitReady(m); err != nil {
			return err
		}
		w.Record("machine %s at %s is ready", m.Name, m.IP)
	}
	return nil
}

// StartMachine starts the process of an instance.
func (w *World) StartMachine(m *Machine) error {
	logFile, err := os.OpenFile(filepath.Join(w.temp, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.Process = exec.Command(filepath.Join(w.root, "target", "platform"), "serve")
	m.Process.Dir = w.root
	m.Process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"BRAMLEYWHARF_BOOT=" + filepath.Join(w.temp, m.Name+".toml"), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	m.Process.Stdout, m.Process.Stderr = logFile, logFile
	return w.run(m.Process)
}

// ChangeSettings writes the settings file of an instance anew and sends SIGHUP.
func (w *World) ChangeSettings(m *Machine) error {
	if err := os.WriteFile(filepath.Join(w.temp, m.Name+".toml"), []byte(w.settings(m)), 0o600); err != nil {
		return err
	}
	w.Record("the settings of %s have changed; SIGHUP", m.Name)
	return m.Process.Process.Signal(syscall.SIGHUP)
}

// awaitReady waits until the platform would find an instance ready.
func (w *World) awaitReady(m *Machine) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.IP + ":8220/bramleywharf/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready", m.Name)
}

// Signal sends a signal to a server.
func (w *World) Signal(p *Server, s syscall.Signal) {
	w.Record("signal %v to server %s", s, p.ID)
	_ = p.Process.Process.Signal(s)
}

// Configure stores a configuration, as the operator does.
func (w *World) Configure(spec any) {
	w.store.configure(spec)
}
