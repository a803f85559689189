package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"bramleywharf.example/lab/internal/caller"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	answerTokens = 300              // answerTokens is the length of a generation.
	breakAt      = 100              // breakAt is the token of the first stream at which something breaks.
	patience     = 2 * time.Second  // patience is how long a caller hears nothing before it connects elsewhere.
	recovery     = 4 * time.Second  // recovery is the time for killed processes to be back and ready.
	highest      = 60 * 1000 * 1000 // highest is the longest gap that is told apart, in microseconds.
	figures      = 3                // figures is the precision of the histograms.
	roundBound   = 60 * time.Second
)

// Settings says what to measure against.
type Settings struct {
	Entries  []string // Entries holds caller-address=pid-file of each instance.
	Engines  []string // Engines holds address=pid-file of each engine.
	Policies []string // Policies holds policy=key of an organisation that has it.
	Model    string
	Rounds   int
	Streams  int
}

// Fault is the sealed set of losses: EngineKill, InstanceKill, SilentConnection and BothKill.
type Fault interface {
	isFault()
	// Name is the name in the report.
	Name() string
}

// EngineKill ends the busiest engine.
type EngineKill struct{}

// InstanceKill ends the instance of the streams.
type InstanceKill struct{}

// SilentConnection makes all connections of the busiest engine silent.
type SilentConnection struct{}

// BothKill ends the instance and the busiest engine at once.
type BothKill struct{}

func (EngineKill) isFault()       {}
func (InstanceKill) isFault()     {}
func (SilentConnection) isFault() {}
func (BothKill) isFault()         {}

// Name is the name in the report.
func (EngineKill) Name() string { return "engine killed" }

// Name is the name in the report.
func (InstanceKill) Name() string { return "instance killed" }

// Name is the name in the report.
func (SilentConnection) Name() string { return "connections silent" }

// Name is the name in the report.
func (BothKill) Name() string { return "engine and instance killed" }

// process is a process that is started again when it dies.
type process struct {
	address string
	pidFile string
}

// work is what an engine reports of its work.
type work struct {
	Prefilled int `json:"prefilled-tokens"`
	Decoded   int `json:"decoded-tokens"`
	Running   int `json:"running"`
}

// result gathers the rounds of one policy under one fault.
type result struct {
	gaps      *hdrhistogram.Histogram // gaps holds the longest gap of each disturbed stream, in microseconds.
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
	useful    int
	decoded   int
	prefilled int
	calm      int // calm counts the tokens that the prompts alone would have cost to read.
	wrong     int
	refused   int
}

// bench is one run.
type bench struct {
	settings Settings
	out      io.Writer
	entries  []process
	engines  []process
	seed     uint64
}

// Run measures every policy under every fault and prints the table.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	if len(s.Policies) == 0 {
		return errors.New("no policies to measure")
	}
	b := &bench{settings: s, out: out}
	var err error
	if b.entries, err = processes(s.Entries); err != nil {
		return err
	}
	if b.engines, err = processes(s.Engines); err != nil {
		return err
	}
	_, firstKey, _ := strings.Cut(s.Policies[0], "=")
	if err := b.calm(ctx, firstKey); err != nil {
		return fmt.Errorf("undisturbed: %w", err)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nFAULT\tPOLICY\tSTREAMS\tRESUME p50\tp95\tp99\tMAX\tEXTRA DECODE\tEXTRA PREFILL\tFIRST TOKEN p95\tBETWEEN p95\tREFUSED\tWRONG")
	for _, f := range []Fault{EngineKill{}, SilentConnection{}, InstanceKill{}, BothKill{}} {
		for _, policy := range s.Policies {
			name, key, ok := strings.Cut(policy, "=")
			if !ok {
				return errors.Errorf("%q must be policy=key", policy)
			}
			r, err := b.measure(ctx, f, key)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", name, f.Name(), err)
			}
			r.print(w, f, name)
		}
	}
	return w.Flush()
}

// processes parses descriptions of processes.
func processes(list []string) ([]process, error) {
	var parsed []process
	for _, text := range list {
		address, pidFile, ok := strings.Cut(text, "=")
		if !ok {
			return nil, errors.Errorf("%q must be address=pid-file", text)
		}
		parsed = append(parsed, process{address: address, pidFile: pidFile})
	}
	return parsed, nil
}

// kill ends a process without notice.
func (p process) kill() error {
	text, err := os.ReadFile(p.pidFile)
	if err != nil {
		return fmt.Errorf("read process id: %w", err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return fmt.Errorf("process id in %s: %w", p.pidFile, err)
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// load reads what an engine reports.
func (p process) load(ctx context.Context) (work, error) {
	var w work
	err := caller.New("").Get(ctx, p.address, "/v1/load", &w)
	return w, err
}

// busiest returns the engine that runs most.
func (b *bench) busiest(ctx context.Context) process {
	best, most := b.engines[0], -1
	for _, e := range b.engines {
		if w, err := e.load(ctx); err == nil && w.Running > most {
			best, most = e, w.Running
		}
	}
	return best
}

// inject causes a fault and returns the engine that it killed, if any, with its last report.
func (b *bench) inject(ctx context.Context, f Fault) (killed string, last work) {
	switch f.(type) {
	case EngineKill:
		return b.killEngine(ctx)
	case InstanceKill:
		_ = b.entries[0].kill()
	case BothKill:
		_ = b.entries[0].kill()
		return b.killEngine(ctx)
	case SilentConnection:
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.busiest(ctx).address+"/v1/silence", nil)
		if err != nil {
			return "", work{}
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	return "", work{}
}

// killEngine ends the busiest engine and returns its last report.
func (b *bench) killEngine(ctx context.Context) (string, work) {
	e := b.busiest(ctx)
	last, _ := e.load(ctx)
	_ = e.kill()
	return e.address, last
}

// measure runs the rounds of one policy under one fault.
func (b *bench) measure(ctx context.Context, f Fault, key string) (*result, error) {
	r := &result{
		gaps:    hdrhistogram.New(1, highest, figures),
		first:   hdrhistogram.New(1, highest, figures),
		between: hdrhistogram.New(1, highest, figures),
	}
	for range b.settings.Rounds {
		if err := b.round(ctx, f, key, r); err != nil {
			return nil, err
		}
		time.Sleep(recovery)
	}
	return r, nil
}

// round runs streams, breaks something in their midst and adds up what it cost.
func (b *bench) round(ctx context.Context, f Fault, key string, r *result) error {
	ctx, cancel := context.WithTimeout(ctx, roundBound)
	defer cancel()
	before, err := b.loads(ctx)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var once sync.Once
	var killed string
	var last work
	streams := make([]*stream, b.settings.Streams)
	for i := range streams {
		b.seed++
		streams[i] = newStream(b, key, b.seed)
		group.Go(func() {
			streams[i].run(ctx, func(count int) {
				if i == 0 && count == breakAt {
					once.Do(func() { killed, last = b.inject(ctx, f) })
				}
			})
		})
	}
	group.Wait()
	time.Sleep(recovery / 2)
	after, err := b.loads(ctx)
	if err != nil {
		return err
	}
	for address, w := range after {
		was := before[address]
		if address == killed {
			r.add(work{Decoded: last.Decoded - was.Decoded, Prefilled: last.Prefilled - was.Prefilled})
			was = work{}
		}
		r.add(work{Decoded: w.Decoded - was.Decoded, Prefilled: w.Prefilled - was.Prefilled})
	}
	for _, s := range streams {
		r.take(s)
	}
	return nil
}

// loads reads all engines, waiting for those that are being started again.
func (b *bench) loads(ctx context.Context) (map[string]work, error) {
	loads := make(map[string]work)
	for _, e := range b.engines {
		for {
			w, err := e.load(ctx)
			if err == nil {
				loads[e.address] = w
				break
			}
			if ctx.Err() != nil {
				return nil, fmt.Errorf("engine %s: %w", e.address, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return loads, nil
}
