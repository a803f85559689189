package send

import (
	"context"
	"slices"
	"syscall"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// maxBeginLosses is the number of targets that one request may lose as they begin to answer it. A first loss may be a
// coincidence.
const maxBeginLosses = 2

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

// Begins holds the targets that one request has lost as they began to answer it. One goroutine uses it.
type Begins struct {
	sender *Sender
	id     string   // id is that of the request.
	parts  []string // parts are those that other requests may have as well.
	losses []*beginLoss
}

// beginLoss is the early end of a response that a target had begun.
type beginLoss struct {
	target  site.Target
	probed  chan struct{} // probed is closed when crashed is set.
	crashed bool
}

// NewBegins returns the begins of a request that has lost no target.
func NewBegins(s *Sender, c chain.Call, f chain.Forward) *Begins {
	return &Begins{sender: s, id: c.ID, parts: f.Prompt.Shared()}
}

// BrokenOff is called when a target itself has ended a response early that it had begun. It probes the target beside
// the request, and if it has crashed records it as a loss of the parts of the prompt. A target that was to end is none,
// and neither is one that takes connections or does not answer: there the response was cut on its way. Without shared
// parts nothing is recorded, since no other request would be refused for it.
func (b *Begins) BrokenOff(ctx context.Context, target site.Target) {
	if len(b.parts) == 0 || ctx.Err() != nil || !b.sender.Picker.IsCurrent(target) {
		return
	}
	loss := &beginLoss{target: target, probed: make(chan struct{})}
	b.losses = append(b.losses, loss)
	ctx = quota.Detach(ctx)
	go func() {
		defer close(loss.probed)
		if loss.crashed = b.sender.hasCrashed(ctx, target); loss.crashed {
			b.sender.Blocks.Lost(b.parts, target.Name, b.id)
		}
	}()
}

// Exhausted reports whether the request has lost as many targets as it may. It waits for probes only if they decide on
// that, or on whether the request is blocked.
func (b *Begins) Exhausted(ctx context.Context) bool {
	b.losses = slices.DeleteFunc(b.losses, (*beginLoss).isRefuted)
	if len(b.losses) >= maxBeginLosses || slices.ContainsFunc(b.losses, b.wouldBlock) {
		for _, loss := range b.losses {
			select {
			case <-loss.probed:
			case <-ctx.Done():
				return true
			}
		}
		b.losses = slices.DeleteFunc(b.losses, (*beginLoss).isRefuted)
	}
	return len(b.losses) >= maxBeginLosses
}

// Blocked reports whether a part of the prompt is known to crash targets.
func (b *Begins) Blocked() bool {
	_, ok := b.sender.Blocks.Blocked(b.parts)
	return ok
}

// Answered records that a target went on after it had begun to answer the request.
func (b *Begins) Answered() {
	b.sender.Blocks.Answered(b.parts)
}

// Parts returns the ids of the parts of the prompt that other requests may have as well.
func (b *Begins) Parts() []string {
	return b.parts
}

// wouldBlock reports whether the request is blocked once a loss is recorded.
func (b *Begins) wouldBlock(loss *beginLoss) bool {
	return b.sender.Blocks.WouldBlock(b.parts, loss.target.Name, b.id)
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

// hasCrashed reports whether a target refuses connections.
func (s *Sender) hasCrashed(ctx context.Context, target site.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbes*crashProbeTimeout)
	defer cancel()
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
