package picker

import (
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/health"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"github.com/apex/log"
)

// Pick is a chosen target with one request counted on it until Release is called.
type Pick struct {
	Target       site.Target
	targetState  *targetState
	picker       *Picker
	promptTokens int
	isStream     bool
	session      string    // session is set for streams only.
	pickedAt     time.Time // pickedAt is when the target was chosen.
	isCached     bool      // isCached tells that the target had read the session's prompt before.
}

// DomainLostSince reports whether any target in the pick's failure domain was lost after a time, as observed here or
// reported by a peer.
func (k *Pick) DomainLostSince(since time.Time) bool {
	return k.picker.domains.LostSince(k.Target.Domain, since)
}

// Failed records that the target failed the request although it was reachable.
func (k *Pick) Failed() {
	k.targetState.updateHealth(func(e health.Estimate) health.Estimate { return e.WithFailure(time.Now()) })
}

// Gone records that another target answered at the address, so that this one has ended. It returns whether that was
// not known before.
func (k *Pick) Gone() bool {
	wasReplaced := k.targetState.healthStatus.Load().IsReplaced()
	if !wasReplaced {
		k.picker.log.WithFields(log.Fields{"target": k.Target.Name, "address": k.Target.Address, "revision": k.Target.Revision}).Warn("another target answers at the address; this one gets no more requests")
	}
	k.targetState.updateHealth(health.Estimate.WithReplacement)
	return !wasReplaced
}

// Heard records that the target sent something, so that it is no longer suspect.
func (k *Pick) Heard() {
	if k.targetState.healthStatus.Load().IsSuspect(time.Now()) {
		k.targetState.updateHealth(health.Estimate.WithSignOfLife)
	}
}

// AliveAt holds the last time at which the target had certainly not ended, in ns since the boot of the machine, or 0.
func (k *Pick) AliveAt() *atomic.Uint64 { return &k.targetState.aliveAt }

// Latency returns the average latency of the target's complete answers, or 0 when there is none.
func (k *Pick) Latency() time.Duration {
	return k.targetState.healthStatus.Load().Latency()
}

// Lost records that the target was unreachable or stopped sending.
func (k *Pick) Lost(cause string) {
	k.picker.targetsLost.Inc()
	k.picker.domains.Lost(k.Target.Domain, time.Now())
	wasSuspect := k.targetState.healthStatus.Load().IsSuspect(time.Now())
	k.targetState.updateHealth(func(e health.Estimate) health.Estimate { return e.WithLoss(time.Now()) })
	if !wasSuspect {
		k.picker.log.WithFields(log.Fields{"target": k.Target.Name, "domain": k.Target.Domain, "cause": cause}).Warn("target is suspect")
	}
}

// Read records that the target has read the prompt, and learns from the time that it took.
func (k *Pick) Read() {
	if k.promptTokens > 0 && !k.isCached {
		took := time.Since(k.pickedAt)
		cell.TryUpdate(k.picker.prompts.At(k.Target.Service), func(r route.Prompts) (route.Prompts, bool) { return r.WithRead(k.promptTokens, took), true })
	}
	k.removeUnread()
}

// removeUnread removes the prompt from the count of unread tokens.
func (k *Pick) removeUnread() {
	k.targetState.unreadTokens.Add(-int64(k.promptTokens))
	k.promptTokens = 0
}

// Release removes the request from the counts of the target.
func (k *Pick) Release() {
	k.removeUnread()
	k.targetState.inFlight.Add(-1)
	if k.isStream {
		k.targetState.streams.Add(-1)
		k.picker.places.Remove(k.session, k.Target.Name)
	}
}

// Stays records that the target still runs its stream after another pick for the same stream was released.
func (k *Pick) Stays() {
	if k.isStream {
		k.picker.places.Return(k.session, k.Target.Name)
	}
}

// Succeeded records a complete answer.
func (k *Pick) Succeeded(took time.Duration) {
	k.targetState.updateHealth(func(e health.Estimate) health.Estimate { return e.WithSuccess(time.Now(), took) })
}
