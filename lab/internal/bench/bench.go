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
	answerTokens    = 300              // answerTokens is the length of each generation.
	faultAtToken    = 100              // faultAtToken is the number of tokens in the first stream before the fault.
	callerTimeout   = 2 * time.Second  // callerTimeout is the silence after which a caller connects to another instance.
	restartTime     = 4 * time.Second  // restartTime is how long killed processes take to be restarted and ready.
	histogramMax    = 60 * 1000 * 1000 // histogramMax is the highest value that the histograms record, in microseconds.
	histogramDigits = 3                // histogramDigits is the number of significant digits of recorded values.
	roundTimeout    = 60 * time.Second
)

// Settings configures a run.
type Settings struct {
	Entries  []string // Entries holds caller-address=pid-file of each instance.
	Engines  []string // Engines holds address=pid-file of each engine.
	Policies []string // Policies holds policy=key; the key is that of an organisation with this recovery policy.
	Model    string
	Rounds   int
	Streams  int
}

// Fault is the sealed set of injected faults: EngineKill, InstanceKill, SilentConnection and BothKill.
type Fault interface {
	isFault()
	// Name returns the name in the report.
	Name() string
}

// EngineKill kills the busiest engine.
type EngineKill struct{}

// InstanceKill kills the instance that the streams connect to.
type InstanceKill struct{}

// SilentConnection makes the busiest engine stop sending on all open connections.
type SilentConnection struct{}

// BothKill kills the instance and the busiest engine at once.
type BothKill struct{}

func (EngineKill) isFault()       {}
func (InstanceKill) isFault()     {}
func (SilentConnection) isFault() {}
func (BothKill) isFault()         {}

// Name returns the name in the report.
func (EngineKill) Name() string { return "engine killed" }

// Name returns the name in the report.
func (InstanceKill) Name() string { return "instance killed" }

// Name returns the name in the report.
func (SilentConnection) Name() string { return "connections silent" }

// Name returns the name in the report.
func (BothKill) Name() string { return "engine and instance killed" }

// process is an instance or engine that the calling script restarts when it exits.
type process struct {
	address string
	pidFile string
}

// engineWork is the work that an engine reports.
type engineWork struct {
	Prefilled int `json:"prefilled-tokens"`
	Decoded   int `json:"decoded-tokens"`
	Running   int `json:"running"`
}

// result accumulates the rounds of one policy under one fault. The histograms are in microseconds.
type result struct {
	longestGaps       *hdrhistogram.Histogram // longestGaps holds the longest gap of each stream.
	timeToFirstToken  *hdrhistogram.Histogram
	timeBetweenTokens *hdrhistogram.Histogram
	usefulTokens      int
	decodedTokens     int
	prefilledTokens   int
	promptTokens      int // promptTokens counts the prefill that the prompts need without a fault.
	wrong             int // wrong counts streams without a complete answer.
	refused           int
}

// bench is the state of one run.
type bench struct {
	settings Settings
	out      io.Writer
	entries  []process
	engines  []process
	seed     uint64 // seed is that of the last generation; each one has another.
}

// Run measures generations without a fault, then every policy under every fault, and prints a table of each.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	if len(s.Policies) == 0 {
		return errors.New("no policies to measure")
	}
	b := &bench{settings: s, out: out}
	var err error
	if b.entries, err = parseProcesses(s.Entries); err != nil {
		return err
	}
	if b.engines, err = parseProcesses(s.Engines); err != nil {
		return err
	}
	_, firstKey, _ := strings.Cut(s.Policies[0], "=")
	if err := b.measureUndisturbed(ctx, firstKey); err != nil {
		return fmt.Errorf("measure without a fault: %w", err)
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

// parseProcesses parses descriptions of the form address=pid-file.
func parseProcesses(descriptions []string) ([]process, error) {
	var parsed []process
	for _, description := range descriptions {
		address, pidFile, ok := strings.Cut(description, "=")
		if !ok {
			return nil, errors.Errorf("%q must be address=pid-file", description)
		}
		parsed = append(parsed, process{address: address, pidFile: pidFile})
	}
	return parsed, nil
}

// kill sends SIGKILL to the process.
func (p process) kill() error {
	content, err := os.ReadFile(p.pidFile)
	if err != nil {
		return fmt.Errorf("read process id: %w", err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return fmt.Errorf("process id in %s: %w", p.pidFile, err)
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// readWork reads the work that an engine reports.
func (p process) readWork(ctx context.Context) (engineWork, error) {
	var w engineWork
	err := caller.New("").Get(ctx, p.address, "/v1/load", &w)
	return w, err
}

// busiest returns the engine with the most running generations.
func (b *bench) busiest(ctx context.Context) process {
	busiestEngine, mostRunning := b.engines[0], -1
	for _, e := range b.engines {
		if w, err := e.readWork(ctx); err == nil && w.Running > mostRunning {
			busiestEngine, mostRunning = e, w.Running
		}
	}
	return busiestEngine
}

// inject injects a fault and returns the address and the last report of the engine that it killed, if any.
func (b *bench) inject(ctx context.Context, f Fault) (killedAddress string, lastWork engineWork) {
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
			return "", engineWork{}
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	return "", engineWork{}
}

// killEngine kills the busiest engine and returns its address and its last report.
func (b *bench) killEngine(ctx context.Context) (string, engineWork) {
	e := b.busiest(ctx)
	lastWork, _ := e.readWork(ctx)
	_ = e.kill()
	return e.address, lastWork
}

// measure runs the rounds of one policy under one fault.
func (b *bench) measure(ctx context.Context, f Fault, key string) (*result, error) {
	r := &result{
		longestGaps:       hdrhistogram.New(1, histogramMax, histogramDigits),
		timeToFirstToken:  hdrhistogram.New(1, histogramMax, histogramDigits),
		timeBetweenTokens: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	for range b.settings.Rounds {
		if err := b.runRound(ctx, f, key, r); err != nil {
			return nil, err
		}
		time.Sleep(restartTime)
	}
	return r, nil
}

// runRound runs the streams of a round, injects a fault while they run and adds the streams and the engines' work to
// the result. The counters of a killed engine start from 0 again.
func (b *bench) runRound(ctx context.Context, f Fault, key string, r *result) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	before, err := b.readAllWork(ctx)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	var once sync.Once
	var killedAddress string
	var lastWork engineWork
	streams := make([]*stream, b.settings.Streams)
	for i := range streams {
		b.seed++
		streams[i] = newStream(b, key, b.seed)
		running.Go(func() {
			streams[i].run(ctx, func(count int) {
				if i == 0 && count == faultAtToken {
					once.Do(func() { killedAddress, lastWork = b.inject(ctx, f) })
				}
			})
		})
	}
	running.Wait()
	time.Sleep(restartTime / 2)
	after, err := b.readAllWork(ctx)
	if err != nil {
		return err
	}
	for address, w := range after {
		base := before[address]
		if address == killedAddress {
			r.addWork(engineWork{Decoded: lastWork.Decoded - base.Decoded, Prefilled: lastWork.Prefilled - base.Prefilled})
			base = engineWork{}
		}
		r.addWork(engineWork{Decoded: w.Decoded - base.Decoded, Prefilled: w.Prefilled - base.Prefilled})
	}
	for _, s := range streams {
		r.addStream(s)
	}
	return nil
}

// readAllWork reads the work of all engines, waiting for those that are being restarted.
func (b *bench) readAllWork(ctx context.Context) (map[string]engineWork, error) {
	workByAddress := make(map[string]engineWork)
	for _, e := range b.engines {
		for {
			w, err := e.readWork(ctx)
			if err == nil {
				workByAddress[e.address] = w
				break
			}
			if ctx.Err() != nil {
				return nil, fmt.Errorf("engine %s: %w", e.address, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return workByAddress, nil
}
