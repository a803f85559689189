package send

import (
	"context"
	"syscall"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// MaxBeginLosses is the number of targets that one request may lose as they begin to answer it. A first loss may be a
// coincidence.
const MaxBeginLosses = 2

const (
	// crashProbes is the number of times that a target is probed to find out whether it has crashed.
	crashProbes = 2
	// crashProbeInterval is the pause between two of these probes; a process that ends closes its sockets one by one.
	crashProbeInterval = 50 * time.Millisecond
	crashProbeTimeout  = 200 * time.Millisecond // crashProbeTimeout bounds one probe.
)

// LostAtBegin is called when a response has ended early that a target had begun. It reports whether the target has
// crashed, and if so records it as a loss of the parts of the prompt. A target that was to end is none, and neither is
// one that takes connections or does not answer: there the response was cut on its way. Without shared parts nothing is
// recorded, since no other request would be refused for it.
func (s *Sender) LostAtBegin(ctx context.Context, c chain.Call, f chain.Forward, target site.Target) bool {
	parts := f.Prompt.Shared()
	if len(parts) == 0 || !s.Picker.IsCurrent(target) || !s.hasCrashed(ctx, target) {
		return false
	}
	s.Blocks.Lost(parts, target.Name, c.ID)
	return true
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
