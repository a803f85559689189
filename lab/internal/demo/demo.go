package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/lab/internal/caller"
	"github.com/pkg/errors"
)

const (
	answerTokens = 300 // answerTokens is the length of a long generation.
	faultAtToken = 100 // faultAtToken is the number of tokens after which a fault is injected.
	readyTimeout = 20 * time.Second
	demoTimeout  = 50 * time.Second
	drillTimeout = 2 * time.Minute
	maxResumeGap = 3 * time.Second // maxResumeGap is the longest time that the users allow from a fault to the next token.
)

// ErrBroken is returned when a guarantee did not hold.
var ErrBroken = errors.New("a promise did not hold")

// Settings configures a run of the demo.
type Settings struct {
	Entries  []string // Entries holds caller-address=admin-address=pid of each instance.
	Engines  []string // Engines holds address=pid of each engine.
	Services []string // Services holds the addresses of the plain services.
	Key      string   // Key is the key of the organisation that calls.
	Model    string
	Service  string

	Drill         bool   // Drill adds pauses of processes and an outage of the platform.
	Platform      string // Platform is the base URL of the platform stand-in, for its faults.
	PlatformToken string
}

// process is a running instance or engine.
type process struct {
	address string
	admin   string
	pid     int
}

// engineWork is the work that an engine reports.
type engineWork struct {
	Prefilled int `json:"prefilled-tokens"`
	Decoded   int `json:"decoded-tokens"`
	Running   int `json:"running"`
}

// demo is the state of one run.
type demo struct {
	settings     Settings
	out          io.Writer
	caller       *caller.Caller
	entries      []process
	engines      []process
	workOfKilled map[string]engineWork // workOfKilled maps the address of a killed engine to its last report.
	violations   int
}

// Run sends requests to the processes, injects faults and checks the guarantees. It returns ErrBroken when one does not
// hold.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	timeout := demoTimeout
	if s.Drill {
		timeout = drillTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := &demo{settings: s, out: out, caller: caller.New(s.Key), workOfKilled: make(map[string]engineWork)}
	var err error
	if d.entries, err = parseProcesses(s.Entries, 3); err != nil {
		return err
	}
	if d.engines, err = parseProcesses(s.Engines, 2); err != nil {
		return err
	}
	steps := []func(context.Context) error{d.waitReady, d.lookUpAddresses, d.killEngine, d.placeOrders, d.resumeElsewhere}
	if s.Drill {
		steps = append(steps, d.takePlatformDown, d.pauseEngine, d.pauseInstance)
	}
	steps = append(steps, d.stopInstance)
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.violations > 0 {
		return fmt.Errorf("%d: %w", d.violations, ErrBroken)
	}
	return nil
}

// parseProcesses parses descriptions of processes: fields separated by =, the address first and the process id last.
func parseProcesses(descriptions []string, fieldCount int) ([]process, error) {
	var parsed []process
	for _, description := range descriptions {
		fields := strings.Split(description, "=")
		if len(fields) != fieldCount {
			return nil, errors.Errorf("%q must have %d fields separated by =", description, fieldCount)
		}
		pid, err := strconv.Atoi(fields[fieldCount-1])
		if err != nil {
			return nil, fmt.Errorf("process id of %q: %w", description, err)
		}
		parsed = append(parsed, process{address: fields[0], admin: fields[fieldCount-2], pid: pid})
	}
	return parsed, nil
}

// lookUpAddresses asks an instance for the addresses that callers of the model should use.
func (d *demo) lookUpAddresses(ctx context.Context) error {
	var answer struct {
		Addresses []struct {
			Instance string `json:"instance"`
			Address  string `json:"address"`
		} `json:"addresses"`
	}
	if err := d.caller.Get(ctx, d.entries[0].address, "/v1/addresses?model="+d.settings.Model, &answer); err != nil {
		return fmt.Errorf("look up addresses: %w", err)
	}
	for _, a := range answer.Addresses {
		d.printLine("told to use %s at %s", a.Instance, a.Address)
	}
	return nil
}

// check prints whether a guarantee held.
func (d *demo) check(held bool, guarantee, format string, args ...any) {
	verdict := "held  "
	if !held {
		verdict = "BROKEN"
		d.violations++
	}
	d.printLine("%s  %s: %s", verdict, guarantee, fmt.Sprintf(format, args...))
}

// resumeElsewhere drops a connection in the middle of an answer and resumes at another instance.
func (d *demo) resumeElsewhere(ctx context.Context) error {
	r := d.request(3)
	var a caller.Answer
	firstCtx, cancel := context.WithCancel(ctx)
	err := d.caller.Stream(firstCtx, d.entries[0].address, r, &a, func() {
		if len(a.Tokens) == faultAtToken {
			cancel()
		}
	})
	cancel()
	if err == nil {
		return errors.New("the stream reached its end although its connection was dropped")
	}
	received := len(a.Tokens)
	if err := d.caller.Stream(ctx, d.entries[1].address, r, &a, nil); err != nil {
		return fmt.Errorf("resume at another instance: %w", err)
	}
	return d.checkIdentical(ctx, "a caller that comes back elsewhere goes on after its last event", r, &a, fmt.Sprintf("left after %d tokens", received))
}

// checkIdentical checks that an answer is complete and identical to one that no fault disturbed.
func (d *demo) checkIdentical(ctx context.Context, guarantee string, r caller.Request, a *caller.Answer, details string) error {
	var undisturbed caller.Answer
	if err := d.caller.Stream(ctx, d.entries[1].address, r, &undisturbed, nil); err != nil {
		return fmt.Errorf("undisturbed answer: %w", err)
	}
	identical := a.Done && a.Text() == undisturbed.Text() && len(a.Tokens) == r.MaxTokens
	d.check(identical, guarantee, "%d of %d tokens, %s", len(a.Tokens), r.MaxTokens, details)
	return nil
}

// killEngine kills an engine in the middle of two long generations.
func (d *demo) killEngine(ctx context.Context) error {
	before, err := d.engineWork(ctx)
	if err != nil {
		return err
	}
	requests := []caller.Request{d.request(1), d.request(2)}
	answers := make([]caller.Answer, len(requests))
	errs := make([]error, len(requests))
	var streams sync.WaitGroup
	var once sync.Once
	var killedAt time.Time
	for i := range requests {
		streams.Go(func() {
			errs[i] = d.caller.Stream(ctx, d.entries[i].address, requests[i], &answers[i], func() {
				if i == 0 && len(answers[i].Tokens) == faultAtToken {
					once.Do(func() { killedAt = d.killBusiest(ctx) })
				}
			})
		})
	}
	streams.Wait()
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("stream: %w", err)
		}
	}
	after, err := d.engineWork(ctx)
	if err != nil {
		return err
	}
	d.reportKill(answers, killedAt, before, after)
	for i := range requests {
		if err := d.checkIdentical(ctx, fmt.Sprintf("no token is missing or repeated (generation %d)", i+1), requests[i], &answers[i], "an engine died on the way"); err != nil {
			return err
		}
	}
	return nil
}

// killBusiest kills the engine with the most running generations, keeps its last report and returns when it did so.
func (d *demo) killBusiest(ctx context.Context) time.Time {
	busiest, mostRunning := 0, -1
	for i, e := range d.engines {
		var w engineWork
		if err := d.caller.Get(ctx, e.address, "/v1/load", &w); err != nil {
			continue
		}
		if w.Running > mostRunning {
			busiest, mostRunning = i, w.Running
			d.workOfKilled[d.engines[busiest].address] = w
		}
	}
	for address := range d.workOfKilled {
		if address != d.engines[busiest].address {
			delete(d.workOfKilled, address)
		}
	}
	_ = syscall.Kill(d.engines[busiest].pid, syscall.SIGKILL)
	d.printLine("killed the engine at %s with %d generations running", d.engines[busiest].address, mostRunning)
	return time.Now()
}

// placeOrders places an order at one instance, repeats it at the others and places another one with the same key.
func (d *demo) placeOrders(ctx context.Context) error {
	key := cursor.NewID()
	path := "/v1/services/" + d.settings.Service + "/orders"
	body := `{"player":"Aoife","number":7}`
	var first caller.Result
	for i, e := range d.entries {
		r, err := d.caller.Order(ctx, e.address, path, key, body)
		if err != nil {
			return fmt.Errorf("order: %w", err)
		}
		if i == 0 {
			first = r
			d.printLine("order answered %d: %s", r.Status, strings.TrimSpace(r.Body))
		}
		if r != first {
			d.check(false, "a repeated order gets the first answer", "instance %d answered %d: %s", i+1, r.Status, r.Body)
		}
	}
	executed, err := d.executions(ctx, key)
	if err != nil {
		return err
	}
	d.check(executed == 1, "a non-idempotent request runs at most once", "sent to %d instances, executed %d time", len(d.entries), executed)
	conflicting, err := d.caller.Order(ctx, d.entries[0].address, path, key, `{"player":"Siobhan"}`)
	if err != nil {
		return fmt.Errorf("order with another body: %w", err)
	}
	d.check(conflicting.Status == http.StatusUnprocessableEntity && strings.Contains(conflicting.Body, `"executed":"no"`),
		"a refusal that says not run is true", "the same key with another body got %d", conflicting.Status)
	return nil
}

// executions returns how often all services together executed the order with a key.
func (d *demo) executions(ctx context.Context, key string) (int, error) {
	count := 0
	for _, address := range d.settings.Services {
		executions := make(map[string]int)
		if err := d.caller.Get(ctx, address, "/executions", &executions); err != nil {
			return 0, fmt.Errorf("count executions: %w", err)
		}
		count += executions[key]
	}
	return count, nil
}

// stopInstance stops an instance with SIGTERM in the middle of a generation.
func (d *demo) stopInstance(ctx context.Context) error {
	r := d.request(4)
	var a caller.Answer
	stopped := d.entries[2]
	err := d.caller.Stream(ctx, stopped.address, r, &a, func() {
		if len(a.Tokens) == faultAtToken {
			_ = syscall.Kill(stopped.pid, syscall.SIGTERM)
			d.printLine("told the instance at %s to stop", stopped.address)
		}
	})
	if err != nil {
		return fmt.Errorf("stream during a planned stop: %w", err)
	}
	return d.checkIdentical(ctx, "a planned stop cuts no request", r, &a, "the instance was told to stop on the way")
}

// waitReady waits until every instance is ready.
func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range d.entries {
		for !d.isReady(ctx, e) {
			select {
			case <-ctx.Done():
				return errors.Errorf("instance at %s is not ready after %s", e.address, readyTimeout)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	d.printLine("%d instances are ready", len(d.entries))
	return nil
}

// isReady reports whether an instance completes a short generation.
func (d *demo) isReady(ctx context.Context, e process) bool {
	r := d.request(0)
	r.MaxTokens = 1
	var a caller.Answer
	return d.caller.Stream(ctx, e.address, r, &a, nil) == nil && a.Done
}

// reportKill prints the extra engine work and the longest gap that the kill of an engine caused.
func (d *demo) reportKill(answers []caller.Answer, killedAt time.Time, before, after engineWork) {
	usefulTokens, longestGap := 0, time.Duration(0)
	for i := range answers {
		usefulTokens += len(answers[i].Tokens)
		longestGap = max(longestGap, answers[i].LongestGap())
	}
	decodedTokens := after.Decoded - before.Decoded
	d.printLine("engines decoded %d tokens for %d useful ones: %d extra (%.1f%%); prefilled %d",
		decodedTokens, usefulTokens, decodedTokens-usefulTokens, 100*float64(decodedTokens-usefulTokens)/float64(usefulTokens), after.Prefilled-before.Prefilled)
	d.check(longestGap < maxResumeGap && !killedAt.IsZero(), "output goes on within 3 s of a loss", "longest gap %s", longestGap.Round(time.Millisecond))
}

// request returns a request for a long generation.
func (d *demo) request(seed uint64) caller.Request {
	return caller.Request{
		Model:     d.settings.Model,
		Prompt:    "Home kit for Ballyhaunis Rovers: green crest, gold studs, eleven names and numbers as listed",
		MaxTokens: answerTokens,
		Seed:      seed,
	}
}

// printLine prints a formatted line.
func (d *demo) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// engineWork adds up the work of all engines, using the last report of those that were killed.
func (d *demo) engineWork(ctx context.Context) (engineWork, error) {
	var total engineWork
	for _, e := range d.engines {
		w, isKilled := d.workOfKilled[e.address]
		if !isKilled {
			if err := d.caller.Get(ctx, e.address, "/v1/load", &w); err != nil {
				return total, fmt.Errorf("read work of %s: %w", e.address, err)
			}
		}
		total.Decoded += w.Decoded
		total.Prefilled += w.Prefilled
	}
	return total, nil
}
