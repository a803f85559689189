package send

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// maxBeginLosses is the number of targets that one request may lose at the begin of their answers. A first loss may be a
// coincidence.
const maxBeginLosses = 2

// An answer is at its begin before its first byte, and until both beginEvents events and beginTime have passed. A target
// that crashes as it begins to write may have sent some events, or have lost its first bytes in its own buffers.
const (
	beginEvents = 8
	beginTime   = 500 * time.Millisecond
)

// outageDelay is how long a request that has lost as many targets as it may waits for other instances' crashes, which
// may show that a failure domain has failed. Instances tell each other every 400 ms.
const outageDelay = 800 * time.Millisecond

// outageCheckInterval is the pause between two checks for such crashes.
const outageCheckInterval = 50 * time.Millisecond

// Reasons why a request is not sent to one more target.
const (
	BlockedReason = "a part of its prompt crashes targets"
	CrashReason   = "targets crashed when they had begun to answer it"
)

const (
	// crashProbes is the number of times that a target is probed to find out whether it has crashed.
	crashProbes = 2
	// crashProbeInterval is the pause between two of these probes; a process that ends closes its sockets one by one.
	crashProbeInterval = 50 * time.Millisecond
	crashProbeTimeout  = 200 * time.Millisecond // crashProbeTimeout bounds one probe.
)

// IsPastBegin reports whether an answer is past its begin, by its events and the time of the first.
func IsPastBegin(events int, first time.Time) bool {
	return events >= beginEvents && time.Since(first) >= beginTime
}

// Begins holds the targets that one request has lost at the begin of their answers. One goroutine uses it.
type Begins struct {
	sender *Sender
	id     string   // id is that of the request.
	parts  []string // parts are those that other requests may have as well.
	losses []*beginLoss
	passed bool // passed tells that a target has gone past the begin of its answer.
}

// beginLoss is the end of a response at its begin.
type beginLoss struct {
	crash   block.Crash
	probed  chan struct{} // probed is closed when crashed is set.
	crashed bool
}

// NewBegins returns the begins of a request that has lost no target.
func NewBegins(s *Sender, c chain.Call, f chain.Forward) *Begins {
	return &Begins{sender: s, id: c.ID, parts: f.Prompt.Shared()}
}

// BrokenOff is called when a target itself has ended a response at its begin, also before its first byte. It probes the
// target beside the request, and if it has crashed records it as a loss of the parts of the prompt. A target that was to
// end is none, and neither is one that takes connections or does not answer: there the response was cut on its way.
// Without shared parts nothing is recorded, since no other request would be refused for it.
func (b *Begins) BrokenOff(ctx context.Context, target site.Target) {
	if len(b.parts) == 0 || ctx.Err() != nil || !b.sender.Picker.IsCurrent(target) {
		return
	}
	loss := &beginLoss{
		crash:  block.Crash{Parts: b.parts, Target: target.Name, Domain: target.Domain, Request: b.id, At: time.Now()},
		probed: make(chan struct{}),
	}
	b.losses = append(b.losses, loss)
	ctx = quota.Detach(ctx)
	go func() {
		defer close(loss.probed)
		if loss.crashed = b.sender.hasCrashed(ctx, target); loss.crashed {
			b.sender.Blocks.Lost(loss.crash)
		}
	}()
}

// Exhausted reports whether the request has lost as many targets as it may. It waits for probes only if they decide on
// that, or on whether the request is blocked, and for other instances' crashes only if it has lost as many.
func (b *Begins) Exhausted(ctx context.Context) bool {
	b.dropRefuted()
	if len(b.losses) >= maxBeginLosses || slices.ContainsFunc(b.losses, b.wouldBlock) {
		for _, loss := range b.losses {
			select {
			case <-loss.probed:
			case <-ctx.Done():
				return true
			}
		}
		b.dropRefuted()
	}
	for start := time.Now(); len(b.losses) >= maxBeginLosses && time.Since(start) < outageDelay && !b.Blocked(); b.dropRefuted() {
		if !wait.Sleep(ctx, outageCheckInterval) {
			return true
		}
	}
	return len(b.losses) >= maxBeginLosses
}

// dropRefuted drops the losses that are known to have another cause than the request.
func (b *Begins) dropRefuted() {
	b.losses = slices.DeleteFunc(b.losses, func(l *beginLoss) bool { return l.isRefuted() || b.sender.Blocks.InOutage(l.crash) })
}

// Blocked reports whether a part of the prompt is known to crash targets.
func (b *Begins) Blocked() bool {
	_, ok := b.sender.Blocks.Blocked(b.parts)
	return ok
}

// IsSuspect reports whether the request may crash targets: it has lost one, or a part of its prompt is suspected.
func (b *Begins) IsSuspect() bool {
	return !b.passed && (len(b.losses) > 0 || b.sender.Blocks.Suspected(b.parts))
}

// Progressed records how far a target has come with its answer, by its events and the time of the first. An answer past
// its begin counts like a whole one: a part that crashes targets lets none come that far.
func (b *Begins) Progressed(events int, first time.Time) {
	if !b.passed && IsPastBegin(events, first) {
		b.passed = true
		b.Answered()
	}
}

// IsPassed reports whether a target has gone past the begin of its answer.
func (b *Begins) IsPassed() bool {
	return b.passed
}

// Answered records that a target has answered the request as a whole.
func (b *Begins) Answered() {
	b.sender.Blocks.Answered(b.parts)
}

// Parts returns the ids of the parts of the prompt that other requests may have as well.
func (b *Begins) Parts() []string {
	return b.parts
}

// wouldBlock reports whether the request is blocked once a loss is recorded.
func (b *Begins) wouldBlock(loss *beginLoss) bool {
	return b.sender.Blocks.WouldBlock(loss.crash)
}

// isRefuted reports whether the target is known not to have crashed.
func (l *beginLoss) isRefuted() bool {
	select {
	case <-l.probed:
		return !l.crashed
	default:
		return false
	}
}

// EndedByCrash reports whether the end of a response that does not tell where it ends may stand for a crash of its target: a
// process that is killed closes its connections like one that has sent all. A target that is leaving may refuse
// connections as its last responses end.
func (s *Sender) EndedByCrash(ctx context.Context, target site.Target) bool {
	return s.Picker.IsCurrent(target) && s.hasCrashed(ctx, target)
}

// NoteCrash is called when a target has ended a response past its begin. It probes the target beside the request, once for all its
// responses, and records whether it has crashed: the crashes of targets tell the outage of a failure domain from parts of
// prompts that crash targets.
func (s *Sender) NoteCrash(ctx context.Context, target site.Target) {
	if ctx.Err() != nil || !s.Picker.IsCurrent(target) {
		return
	}
	ctx, at := quota.Detach(ctx), time.Now()
	s.crashes.DoChan(target.Name, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, crashProbes*crashProbeTimeout)
		defer cancel()
		if s.refusesConnections(ctx, target) {
			s.Blocks.Crashed(target.Name, target.Domain, at)
		}
		return nil, nil
	})
}

// hasCrashed reports whether a target refuses connections, or reports that it has started since it was chosen.
func (s *Sender) hasCrashed(ctx context.Context, target site.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbes*crashProbeTimeout)
	defer cancel()
	return s.refusesConnections(ctx, target) || ctx.Err() == nil && s.hasRestarted(ctx, target)
}

// refusesConnections reports whether a target refuses connections now or a moment later.
func (s *Sender) refusesConnections(ctx context.Context, target site.Target) bool {
	for range crashProbes {
		if errors.Is(s.Link.Probe(ctx, target.Address), syscall.ECONNREFUSED) {
			return true
		}
		if !wait.Sleep(ctx, crashProbeInterval) {
			return false
		}
	}
	return false
}

// hasRestarted reports whether the process that reports at a target's address started after the target that was chosen.
func (s *Sender) hasRestarted(ctx context.Context, target site.Target) bool {
	return target.StartID != 0 && s.reportedStart(ctx, target) > target.StartID
}

// reportedStart returns when the process that reports at a target's address started, or 0 if it does not tell.
func (s *Sender) reportedStart(ctx context.Context, target site.Target) int64 {
	reply, body, err := s.Exchange(ctx, target, s.Dialect.Ask(target))
	if err != nil || reply.Status() != http.StatusOK {
		return 0
	}
	return s.Dialect.StartID(body)
}
