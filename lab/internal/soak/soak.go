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
	startTimeout    = 15 * time.Second // startTimeout is for all instances to become ready.
	recoveryTimeout = 12 * time.Second // recoveryTimeout is the longest time that the users allow until recovery.
	// configDelay is the 2 s that the users allow until a configuration is applied, and a margin for a busy machine. It is
	// counted from the end of the faults.
	configDelay = 5 * time.Second
)

// Settings configures a run.
type Settings struct {
	Program   string // Program is the path of the platform's program.
	Seed      uint64
	Length    time.Duration
	Instances int
	Targets   int
	Callers   int
	Drills    bool // Drills adds returns of the store from copies to the plan.
	Network   int  // Network is the third byte of the loopback addresses; runs at the same time need different ones.
}

// Result holds the counts of a run and the guarantees that it violated.
type Result struct {
	Plan     []Event
	Requests int
	Served   int
	Starts   int      // Starts counts the starts of instances, restarts included.
	Broken   []string // Broken describes each violation of a guarantee.
}

// Run runs the plan of a seed under the load of callers, writes each event to a log and checks the guarantees.
func Run(s Settings, eventLog io.Writer) (Result, error) {
	b, err := newTestbed(s)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	result := Result{Plan: Plan(s.Seed, s.Length)}
	if s.Drills {
		result.Plan = append(result.Plan, Drills(s.Seed, s.Length)...)
	}
	if !b.waitReady(startTimeout) {
		return result, fmt.Errorf("instances were not ready after %s; logs are in %s", startTimeout, b.dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Length)
	defer cancel()
	answers := make(chan answer, 64)
	var callers, faults sync.WaitGroup
	for i := range s.Callers {
		callers.Go(func() { b.runCaller(ctx, i, answers) })
	}
	for _, e := range result.Plan {
		faults.Go(func() {
			time.Sleep(e.At)
			_, _ = fmt.Fprintln(eventLog, e)
			b.apply(ctx, e)
		})
	}
	go func() {
		callers.Wait()
		close(answers)
	}()
	var received []answer
	for a := range answers {
		received = append(received, a)
	}
	faults.Wait()
	for _, a := range received {
		result.Requests++
		if a.status == 200 && !a.incomplete {
			result.Served++
		}
		if violation := checkAnswer(a, b.ledger.Runs(a.id)); violation != "" {
			result.Broken = append(result.Broken, fmt.Sprintf("%s %s: %s", a.route, a.id, violation))
		}
	}
	result.Broken = append(result.Broken, b.checkRecovery()...)
	for _, instance := range b.instances {
		instance.mu.Lock()
		result.Starts += instance.startCount
		for _, exit := range instance.unexpectedExits {
			result.Broken = append(result.Broken, fmt.Sprintf("%s ended by itself: %s", instance.name, exit))
		}
		instance.mu.Unlock()
	}
	return result, nil
}

// waitReady waits until every instance is ready and reports whether that was within the timeout.
func (b *testbed) waitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		readyCount := 0
		for _, instance := range b.instances {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/", instance.ip, readyPort))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				readyCount++
			}
		}
		if readyCount == len(b.instances) {
			return true
		}
	}
	return false
}

// checkRecovery returns the violations after the end of all faults: every instance must be ready, serve requests and
// accept a new key in time.
func (b *testbed) checkRecovery() []string {
	var violations []string
	if !b.waitReady(recoveryTimeout) {
		violations = append(violations, fmt.Sprintf("not every instance is ready %s after the last fault", recoveryTimeout))
	}
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, instance := range b.instances {
		served := false
		for deadline := time.Now().Add(recoveryTimeout); !served && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			served = b.sendRequest(client, instance, "stream", fmt.Sprint("after-", time.Now().UnixNano())).status == http.StatusOK
		}
		if !served {
			violations = append(violations, instance.name+" serves nothing after the last fault")
		}
	}
	b.configure()
	time.Sleep(configDelay)
	for _, instance := range b.instances {
		if a := b.sendRequest(client, instance, "again", fmt.Sprint("new-", time.Now().UnixNano())); a.status == http.StatusUnauthorized {
			violations = append(violations, instance.name+" does not know the newest key")
		}
	}
	return violations
}
