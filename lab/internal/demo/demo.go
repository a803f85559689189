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

	"bramleywharf.example/core/token"
	"bramleywharf.example/lab/internal/caller"
	"github.com/pkg/errors"
)

const (
	longAnswer  = 300              // longAnswer is the length of a long generation, in tokens.
	killAt      = 100              // killAt is the token at which something dies.
	readyBound  = 20 * time.Second // readyBound bounds the wait for the instances.
	demoBound   = 50 * time.Second
	drillBound  = 2 * time.Minute
	resumeBound = 3 * time.Second // resumeBound is the users' bound on the time from a loss to the next token.
)

// ErrBroken is returned when a promise did not hold.
var ErrBroken = errors.New("a promise did not hold")

// Settings names the processes that the demo drives.
type Settings struct {
	Entries  []string
	Engines  []string
	Services []string
	Key      string
	Model    string
	Service  string

	Drill         bool   // Drill adds pauses and an outage of the platform.
	Platform      string // Platform is the base URL of the platform stand-in, for its faults.
	PlatformToken string
}

// process is one running process.
type process struct {
	address string
	admin   string
	pid     int
}

// work is what an engine reports of the work it did.
type work struct {
	Prefilled int `json:"prefilled-tokens"`
	Decoded   int `json:"decoded-tokens"`
	Running   int `json:"running"`
}

// show is one run of the demo.
type show struct {
	settings Settings
	out      io.Writer
	caller   *caller.Caller
	entries  []process
	engines  []process
	killed   map[string]work
	broken   int
}

// Run drives the processes and checks the promises; it returns ErrBroken when one does not hold.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	bound := demoBound
	if s.Drill {
		bound = drillBound
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	d := &show{settings: s, out: out, caller: caller.New(s.Key), killed: make(map[string]work)}
	var err error
	if d.entries, err = processes(s.Entries, 3); err != nil {
		return err
	}
	if d.engines, err = processes(s.Engines, 2); err != nil {
		return err
	}
	steps := []func(context.Context) error{d.ready, d.addresses, d.engineDeath, d.order, d.comeBack}
	if s.Drill {
		steps = append(steps, d.platformDown, d.enginePaused, d.instancePaused)
	}
	steps = append(steps, d.plannedStop)
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.broken > 0 {
		return fmt.Errorf("%d: %w", d.broken, ErrBroken)
	}
	return nil
}

// processes parses descriptions of processes, which end in a process id.
func processes(list []string, fields int) ([]process, error) {
	var parsed []process
	for _, text := range list {
		parts := strings.Split(text, "=")
		if len(parts) != fields {
			return nil, errors.Errorf("%q must have %d parts", text, fields)
		}
		pid, err := strconv.Atoi(parts[fields-1])
		if err != nil {
			return nil, fmt.Errorf("process id of %q: %w", text, err)
		}
		parsed = append(parsed, process{address: parts[0], admin: parts[fields-2], pid: pid})
	}
	return parsed, nil
}

// addresses asks an instance which instances to use.
func (d *show) addresses(ctx context.Context) error {
	var answer struct {
		Addresses []struct {
			Instance string `json:"instance"`
			Address  string `json:"address"`
		} `json:"addresses"`
	}
	if err := d.caller.Get(ctx, d.entries[0].address, "/v1/addresses?model="+d.settings.Model, &answer); err != nil {
		return fmt.Errorf("look addresses up: %w", err)
	}
	for _, a := range answer.Addresses {
		d.say("told to use %s at %s", a.Instance, a.Address)
	}
	return nil
}

// check writes a line about a promise.
func (d *show) check(ok bool, promise, format string, args ...any) {
	word := "held  "
	if !ok {
		word = "BROKEN"
		d.broken++
	}
	d.say("%s  %s: %s", word, promise, fmt.Sprintf(format, args...))
}

// comeBack drops a connection in mid-answer and goes on at another instance.
func (d *show) comeBack(ctx context.Context) error {
	r := d.request(3)
	var a caller.Answer
	first, cancel := context.WithCancel(ctx)
	err := d.caller.Stream(first, d.entries[0].address, r, &a, func() {
		if len(a.Tokens) == killAt {
			cancel()
		}
	})
	cancel()
	if err == nil {
		return errors.New("the dropped stream went on to its end")
	}
	had := len(a.Tokens)
	if err := d.caller.Stream(ctx, d.entries[1].address, r, &a, nil); err != nil {
		return fmt.Errorf("come back at another instance: %w", err)
	}
	return d.compare(ctx, "a caller that comes back elsewhere goes on after its last event", r, &a, fmt.Sprintf("left after %d tokens", had))
}

// compare checks an answer against one that nothing disturbed.
func (d *show) compare(ctx context.Context, promise string, r caller.Request, a *caller.Answer, note string) error {
	var calm caller.Answer
	if err := d.caller.Stream(ctx, d.entries[1].address, r, &calm, nil); err != nil {
		return fmt.Errorf("undisturbed answer: %w", err)
	}
	same := a.Done && a.Text() == calm.Text() && len(a.Tokens) == r.MaxTokens
	d.check(same, promise, "%d of %d tokens, %s", len(a.Tokens), r.MaxTokens, note)
	return nil
}

// engineDeath kills an engine in the middle of two long generations.
func (d *show) engineDeath(ctx context.Context) error {
	before, err := d.work(ctx)
	if err != nil {
		return err
	}
	requests := []caller.Request{d.request(1), d.request(2)}
	answers := make([]caller.Answer, len(requests))
	failures := make([]error, len(requests))
	var group sync.WaitGroup
	var once sync.Once
	var killedAt time.Time
	for i := range requests {
		group.Go(func() {
			failures[i] = d.caller.Stream(ctx, d.entries[i].address, requests[i], &answers[i], func() {
				if i == 0 && len(answers[i].Tokens) == killAt {
					once.Do(func() { killedAt = d.killBusiest(ctx) })
				}
			})
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return fmt.Errorf("stream: %w", err)
		}
	}
	after, err := d.work(ctx)
	if err != nil {
		return err
	}
	d.reportDeath(answers, killedAt, before, after)
	for i := range requests {
		if err := d.compare(ctx, fmt.Sprintf("no token is missing or repeated (generation %d)", i+1), requests[i], &answers[i], "an engine died on the way"); err != nil {
			return err
		}
	}
	return nil
}

// killBusiest ends the engine that runs most, without notice.
func (d *show) killBusiest(ctx context.Context) time.Time {
	best, most := 0, -1
	for i, e := range d.engines {
		var w work
		if err := d.caller.Get(ctx, e.address, "/v1/load", &w); err != nil {
			continue
		}
		if w.Running > most {
			best, most = i, w.Running
			d.killed[d.engines[best].address] = w
		}
	}
	for address := range d.killed {
		if address != d.engines[best].address {
			delete(d.killed, address)
		}
	}
	_ = syscall.Kill(d.engines[best].pid, syscall.SIGKILL)
	d.say("killed the engine at %s with %d generations running", d.engines[best].address, most)
	return time.Now()
}

// order places an order at one instance and repeats it at others.
func (d *show) order(ctx context.Context) error {
	key := token.NewID()
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
			d.say("order answered %d: %s", r.Status, strings.TrimSpace(r.Body))
		}
		if r != first {
			d.check(false, "a repeated order gets the first answer", "instance %d answered %d: %s", i+1, r.Status, r.Body)
		}
	}
	count, err := d.executions(ctx, key)
	if err != nil {
		return err
	}
	d.check(count == 1, "a non-idempotent request runs at most once", "sent to %d instances, executed %d time", len(d.entries), count)
	other, err := d.caller.Order(ctx, d.entries[0].address, path, key, `{"player":"Siobhan"}`)
	if err != nil {
		return fmt.Errorf("order with another body: %w", err)
	}
	d.check(other.Status == http.StatusUnprocessableEntity && strings.Contains(other.Body, `"executed":"no"`),
		"a refusal that says not run is true", "the same key with another body got %d", other.Status)
	return nil
}

// executions returns how often a key ran at all services.
func (d *show) executions(ctx context.Context, key string) (int, error) {
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

// plannedStop stops an instance in the middle of a generation.
func (d *show) plannedStop(ctx context.Context) error {
	r := d.request(4)
	var a caller.Answer
	stopped := d.entries[2]
	err := d.caller.Stream(ctx, stopped.address, r, &a, func() {
		if len(a.Tokens) == killAt {
			_ = syscall.Kill(stopped.pid, syscall.SIGTERM)
			d.say("told the instance at %s to stop", stopped.address)
		}
	})
	if err != nil {
		return fmt.Errorf("stream over a planned stop: %w", err)
	}
	return d.compare(ctx, "a planned stop cuts no request", r, &a, "the instance was told to stop on the way")
}

// ready waits for the instances to take calls.
func (d *show) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, e := range d.entries {
		for !d.isReady(ctx, e) {
			select {
			case <-ctx.Done():
				return errors.Errorf("instance at %s is not ready after %s", e.address, readyBound)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	d.say("%d instances are ready", len(d.entries))
	return nil
}

// isReady tells whether an instance is ready and can run a short generation.
func (d *show) isReady(ctx context.Context, e process) bool {
	r := d.request(0)
	r.MaxTokens = 1
	var a caller.Answer
	return d.caller.Stream(ctx, e.address, r, &a, nil) == nil && a.Done
}

// reportDeath writes what the death of an engine cost.
func (d *show) reportDeath(answers []caller.Answer, killedAt time.Time, before, after work) {
	useful, gap := 0, time.Duration(0)
	for i := range answers {
		useful += len(answers[i].Tokens)
		gap = max(gap, answers[i].LongestGap())
	}
	decoded := after.Decoded - before.Decoded
	d.say("engines decoded %d tokens for %d useful ones: %d extra (%.1f%%); prefilled %d",
		decoded, useful, decoded-useful, 100*float64(decoded-useful)/float64(useful), after.Prefilled-before.Prefilled)
	d.check(gap < resumeBound && !killedAt.IsZero(), "output goes on within 3 s of a loss", "longest gap %s", gap.Round(time.Millisecond))
}

// request returns the request of a long generation.
func (d *show) request(seed uint64) caller.Request {
	return caller.Request{
		Model:     d.settings.Model,
		Prompt:    "Home kit for Ballyhaunis Rovers: green crest, gold studs, eleven names and numbers as listed",
		MaxTokens: longAnswer,
		Seed:      seed,
	}
}

// say writes a line.
func (d *show) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// work adds up what all engines did, with the last report of those that were killed.
func (d *show) work(ctx context.Context) (work, error) {
	var sum work
	for _, e := range d.engines {
		w, dead := d.killed[e.address]
		if !dead {
			if err := d.caller.Get(ctx, e.address, "/v1/load", &w); err != nil {
				return sum, fmt.Errorf("read work of %s: %w", e.address, err)
			}
		}
		sum.Decoded += w.Decoded
		sum.Prefilled += w.Prefilled
	}
	return sum, nil
}
