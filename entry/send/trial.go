package send

import (
	"context"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
)

// minGivenUp is the wait from which an attempt that was given up says something about its target. Attempts beside another
// one end earlier when that one goes on.
const minGivenUp = 150 * time.Millisecond

// Trial records how one attempt at a target ends, for the roll-out of the target's version. Refusals are not recorded,
// as a target of any version refuses when it is full. One goroutine uses it.
type Trial struct {
	sender    *Sender
	target    site.Target
	route     string
	startedAt time.Time
	isBegun   bool // isBegun tells that the target has answered.
}

// NewTrial returns the trial of an attempt that starts now.
func (s *Sender) NewTrial(target site.Target, routeName string) *Trial {
	return &Trial{sender: s, target: target, route: routeName, startedAt: time.Now()}
}

// Answered records the first event of a stream, or a complete response. Further calls do nothing.
func (t *Trial) Answered() {
	if !t.isBegun {
		t.isBegun = true
		t.record(canary.Answered{Latency: time.Since(t.startedAt)})
	}
}

// Responded records a complete response with a status.
func (t *Trial) Responded(status int) {
	if status >= 500 {
		t.record(canary.Failed{})
		return
	}
	t.Answered()
}

// Broken records that the target broke off its response, if it goes on to accept connections, which is probed beside the
// request: otherwise the end of the target is the cause, and not its version.
func (t *Trial) Broken(ctx context.Context) {
	if !t.sender.Shift.Counts(t.target.Service) || !t.sender.Picker.IsCurrent(t.target) {
		return
	}
	ctx = quota.Detach(ctx)
	go func() {
		if t.sender.goesOn(ctx, t.target) {
			t.record(canary.Failed{Begun: t.isBegun})
		}
	}()
}

// GivenUp records that this instance no longer waits for the answer.
func (t *Trial) GivenUp() {
	if waited := time.Since(t.startedAt); !t.isBegun && waited >= minGivenUp {
		t.record(canary.GivenUp{After: waited})
	}
}

// record records an outcome.
func (t *Trial) record(o canary.Outcome) {
	t.sender.Shift.Record(t.target.Service, t.target.Version, t.route, t.target.Domain, o)
}

// goesOn reports whether a target accepts connections for some time, and has not been restarted.
func (s *Sender) goesOn(ctx context.Context, target site.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbes*crashProbeTimeout)
	defer cancel()
	for range crashProbes {
		if s.Link.Probe(ctx, target.Address) != nil || !wait.Sleep(ctx, crashProbeInterval) {
			return false
		}
	}
	return !s.hasRestarted(ctx, target)
}
