package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"bramleywharf.example/lab/internal/caller"
	"github.com/pkg/errors"
)

const (
	callerTimeout = 2 * time.Second // callerTimeout is the silence after which a caller connects to another instance.
	pauseDuration = 5 * time.Second // pauseDuration is longer than a failover takes.
)

// pauseEngine stops the engine of a generation with SIGSTOP; it continues after another engine has taken over.
func (d *demo) pauseEngine(ctx context.Context) error {
	r := d.request(5)
	var a caller.Answer
	err := d.caller.Stream(ctx, d.entries[0].address, r, &a, func() {
		if len(a.Tokens) == faultAtToken {
			d.pauseProcess(d.busiest(ctx), "engine")
		}
	})
	if err != nil {
		return fmt.Errorf("stream from a paused engine: %w", err)
	}
	longestGap := a.LongestGap()
	d.check(longestGap < maxResumeGap, "output goes on within 3 s of a loss", "engine paused, longest gap %s", longestGap.Round(time.Millisecond))
	return d.checkIdentical(ctx, "no token is missing or repeated", r, &a, "an engine was paused on the way")
}

// pauseInstance stops the instance of a generation with SIGSTOP; its caller resumes at another instance before it
// continues.
func (d *demo) pauseInstance(ctx context.Context) error {
	r := d.request(6)
	var a caller.Answer
	firstCtx, cancel := context.WithCancel(ctx)
	silenceTimer := time.AfterFunc(callerTimeout, cancel)
	err := d.caller.Stream(firstCtx, d.entries[0].address, r, &a, func() {
		silenceTimer.Reset(callerTimeout)
		if len(a.Tokens) == faultAtToken {
			d.pauseProcess(d.entries[0], "instance")
		}
	})
	cancel()
	if err == nil {
		return errors.New("the stream of a paused instance reached its end")
	}
	if err := d.caller.Stream(ctx, d.entries[1].address, r, &a, nil); err != nil {
		return fmt.Errorf("resume at another instance: %w", err)
	}
	longestGap := a.LongestGap()
	d.check(longestGap < maxResumeGap, "output goes on within 3 s of a loss", "instance paused, longest gap %s", longestGap.Round(time.Millisecond))
	return d.checkIdentical(ctx, "two generations are never mixed", r, &a, "an instance was paused on the way and woke up")
}

// takePlatformDown makes the platform fail and places two orders: one whose key must be claimed in the platform, and
// one with a key that an instance issued.
func (d *demo) takePlatformDown(ctx context.Context) error {
	if err := d.setFault(ctx, "down"); err != nil {
		return err
	}
	d.printLine("took the platform down")
	var issued struct {
		Key string `json:"key"`
	}
	if err := d.caller.Get(ctx, d.entries[0].address, "/v1/keys", &issued); err != nil {
		return fmt.Errorf("get an issued key: %w", err)
	}
	path := "/v1/services/" + d.settings.Service + "/orders"
	start := time.Now()
	claimedOrder, err := d.caller.Order(ctx, d.entries[0].address, path, "claimed-in-outage", "{}")
	if err != nil {
		return fmt.Errorf("order with a claimed key: %w", err)
	}
	waited := time.Since(start)
	refused := claimedOrder.Status == http.StatusBadGateway && strings.Contains(claimedOrder.Body, `"executed":"unknown"`)
	d.check(refused && waited < maxResumeGap+time.Second/2, "callers of orders wait a few seconds at most", "a claimed order got %d after %s", claimedOrder.Status, waited.Round(time.Millisecond))
	issuedOrder, err := d.caller.Order(ctx, d.entries[1].address, path, issued.Key, "{}")
	if err != nil {
		return fmt.Errorf("order with an issued key: %w", err)
	}
	if err := d.setFault(ctx, "none"); err != nil {
		return err
	}
	claimedExecutions, err := d.executions(ctx, "claimed-in-outage")
	if err != nil {
		return err
	}
	issuedExecutions, err := d.executions(ctx, issued.Key)
	if err != nil {
		return err
	}
	d.check(claimedExecutions == 0, "a non-idempotent request runs at most once", "the order refused in the outage was executed %d times", claimedExecutions)
	d.check(issuedOrder.Status == http.StatusOK && issuedExecutions == 1, "orders with issued keys go on through an outage", "answered %d, executed %d time", issuedOrder.Status, issuedExecutions)
	return nil
}

// busiest returns the engine with the most running generations.
func (d *demo) busiest(ctx context.Context) process {
	busiestEngine, mostRunning := d.engines[0], -1
	for _, e := range d.engines {
		var w engineWork
		if err := d.caller.Get(ctx, e.address, "/v1/load", &w); err == nil && w.Running > mostRunning {
			busiestEngine, mostRunning = e, w.Running
		}
	}
	return busiestEngine
}

// setFault sets a fault of the platform stand-in; none removes it.
func (d *demo) setFault(ctx context.Context, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, d.settings.Platform+"/v1/fault/"+name, nil)
	if err != nil {
		return fmt.Errorf("build fault request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+d.settings.PlatformToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("platform answered %s to fault %s", response.Status, name)
	}
	return nil
}

// pauseProcess stops a process with SIGSTOP and continues it after pauseDuration.
func (d *demo) pauseProcess(p process, role string) {
	_ = syscall.Kill(p.pid, syscall.SIGSTOP)
	d.printLine("paused the %s at %s", role, p.address)
	time.AfterFunc(pauseDuration, func() { _ = syscall.Kill(p.pid, syscall.SIGCONT) })
}
