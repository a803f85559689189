package inst

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleywharf.example/core/wait"
	"github.com/apex/log"
)

const (
	// eraCheckInterval is the time between two checks whether the store came back from a copy.
	eraCheckInterval = 200 * time.Millisecond
	// restoreSpread is the time over which the instances of a fleet spread their writes.
	restoreSpread = 500 * time.Millisecond
	// restoreRetryMax bounds the delay after a failed attempt, since failed calls are billed too.
	restoreRetryMax = 2 * time.Second
)

// restorer stores again what this instance relies on whenever the store came back from a copy: the copy lacks what was
// written after it was taken. Each instance does so for itself, so it depends on no election.
type restorer struct {
	*wait.Loop
	instance *Instance
	secret   []byte
}

// newRestorer starts to follow the era of the store, from the one in which the instance's entry was stored.
func newRestorer(i *Instance, era uint64, secret []byte) *restorer {
	r := &restorer{instance: i, secret: secret}
	r.Loop = wait.Start(func(ctx context.Context) {
		for wait.Sleep(ctx, eraCheckInterval) {
			if latest := i.exchange.Era(); latest != era {
				era = latest
				r.restore(ctx, era)
			}
		}
	})
	return r
}

// restore stores the entry and the secret in an era, and tries again until that has succeeded or a later era has begun.
func (r *restorer) restore(ctx context.Context, era uint64) {
	i := r.instance
	delay := rand.N(restoreSpread)
	for failing := false; wait.Sleep(ctx, delay) && i.exchange.Era() == era; failing = true {
		// A write is not cancelled with the loop, as the entry might then be stored after it was withdrawn.
		err := withTimeout(context.WithoutCancel(ctx), func(ctx context.Context) error { return i.deps.Join.Restore(ctx, r.secret) })
		logger := i.log.WithFields(log.Fields{"era": era, "step": "restore"})
		if err == nil {
			logger.Info("entry and secret are in the store's new era")
			return
		}
		if !failing {
			logger.WithError(err).Warn("entry and secret cannot be stored in the store's new era; trying again")
			delay = storeRetryDelay
		}
		delay = min(2*delay, restoreRetryMax)
	}
}
