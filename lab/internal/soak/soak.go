package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	startBound   = 15 * time.Second // startBound bounds the wait for instances to become ready.
	recoverBound = 12 * time.Second // recoverBound is the users' time after which requests have to be served again.
	revokeBound  = 5 * time.Second  // revokeBound is the users' 2 s for a configuration and a margin for a busy machine, counted from the end of the faults.
)

// Settings configures a run.
type Settings struct {
	Program   string // Program is the path of the platform's program.
	Seed      uint64
	Length    time.Duration
	Instances int
	Targets   int
	Callers   int
	Network   int // Network numbers the loopback addresses, so that runs can stand beside each other.
}

// Result is what came of a run.
type Result struct {
	Plan     []Event
	Requests int
	Served   int
	Starts   int
	Broken   []string // Broken lists the promises that did not hold.
}

// Run runs the plan of a seed.
func Run(s Settings, log io.Writer) (Result, error) {
	w, err := newWorld(s)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	result := Result{Plan: Plan(s.Seed, s.Length)}
	if !w.ready(startBound) {
		return result, fmt.Errorf("instances were not ready after %s; logs are in %s", startBound, w.dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Length)
	defer cancel()
	answers := make(chan answer, 64)
	var callers, faults sync.WaitGroup
	for i := range s.Callers {
		callers.Go(func() { w.call(ctx, i, answers) })
	}
	for _, e := range result.Plan {
		faults.Go(func() {
			time.Sleep(e.At)
			_, _ = fmt.Fprintln(log, e)
			w.apply(ctx, e)
		})
	}
	go func() {
		callers.Wait()
		close(answers)
	}()
	var taken []answer
	for a := range answers {
		taken = append(taken, a)
	}
	faults.Wait()
	for _, a := range taken {
		result.Requests++
		if a.status == 200 && !a.broken {
			result.Served++
		}
		if wrong := check(a, w.ledger.Runs(a.id)); wrong != "" {
			result.Broken = append(result.Broken, fmt.Sprintf("%s %s: %s", a.route, a.id, wrong))
		}
	}
	result.Broken = append(result.Broken, w.settle()...)
	for _, h := range w.hosts {
		h.mu.Lock()
		result.Starts += h.starts
		for _, end := range h.strange {
			result.Broken = append(result.Broken, fmt.Sprintf("%s ended by itself: %s", h.name, end))
		}
		h.mu.Unlock()
	}
	return result, nil
}

// ready waits until every instance says that it is ready.
func (w *world) ready(bound time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			answer, err := client.Get(fmt.Sprintf("http://%s:%d/", h.ip, readyPort))
			if err != nil {
				continue
			}
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.hosts) {
			return true
		}
	}
	return false
}

// settle checks what has to hold once all faults are over: every instance serves, and a key that is taken away is refused by all in time.
func (w *world) settle() []string {
	var wrong []string
	if !w.ready(recoverBound) {
		wrong = append(wrong, fmt.Sprintf("not every instance is ready %s after the last fault", recoverBound))
	}
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range w.hosts {
		served := false
		for end := time.Now().Add(recoverBound); !served && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			served = w.request(client, h, "stream", fmt.Sprint("after-", time.Now().UnixNano())).status == http.StatusOK
		}
		if !served {
			wrong = append(wrong, h.name+" serves nothing after the last fault")
		}
	}
	w.configure()
	time.Sleep(revokeBound)
	for _, h := range w.hosts {
		if a := w.request(client, h, "again", fmt.Sprint("new-", time.Now().UnixNano())); a.status == http.StatusUnauthorized {
			wrong = append(wrong, h.name+" does not know the newest key")
		}
	}
	return wrong
}
