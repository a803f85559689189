package inst

import (
	"context"
	"slices"
	"time"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/conns"
)

const (
	// lameDuckTime is how long a leaving instance still accepts connections, so that callers find others first.
	lameDuckTime = 2500 * time.Millisecond
	// lameDuckShare bounds that time to a part of the grace period, since the last request has to be answered in the rest.
	lameDuckShare = 1.0 / 3
	// graceMargin is the part of the grace period before SIGKILL that is left for the shutdown after the last call.
	graceMargin = 700 * time.Millisecond

	withdrawTimeout   = 300 * time.Millisecond // withdrawTimeout bounds the removal of the entry, within graceMargin.
	lastAnswerTimeout = 200 * time.Millisecond // lastAnswerTimeout bounds the answers to open calls, within graceMargin.
)

// Leave shuts the instance down gracefully: requests that end within the grace period are completed. A start that has not
// opened the server for callers is ended.
func (i *Instance) Leave() {
	i.leaveOnce.Do(func() {
		i.log.Info("instance is leaving")
		i.stopping.Begin(time.Now())
		i.mu.Lock()
		i.leaving = true
		i.ready.Store(false)
		i.mu.Unlock()
		go i.drain(time.Now())
	})
}

// admit hands the server for callers to drain, and reports false if the instance is leaving and must not open it.
func (i *Instance) admit(callerServer *conns.Server) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving {
		return false
	}
	i.callerServer.Store(callerServer)
	return true
}

// becomeReady marks the instance as ready, and reports false if it is leaving.
func (i *Instance) becomeReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ready.Store(!i.leaving)
	return !i.leaving
}

// endStart cancels the start and waits for it, since a call that announces this instance may be on its way.
func (i *Instance) endStart(ctx context.Context) {
	i.cancel()
	select {
	case <-i.startDone:
	case <-ctx.Done():
	}
}

// drain lets callers move to other instances, waits for open calls until the grace period is over, and stops the instance.
// Idle connections are closed at the start, so that their callers' next streams begin where they can end. Calls that are
// open at the end are answered: refused if they have not run, otherwise with an unknown outcome. A grace period that
// changes meanwhile counts from the same begin.
func (i *Instance) drain(begun time.Time) {
	defer close(i.done)
	ctx, cancel := i.graceContext(begun)
	defer cancel()
	callerServer := i.callerServer.Load()
	if callerServer != nil {
		callerServer.Leave()
	} else {
		i.endStart(ctx)
	}
	if members := i.fleet.Load(); members != nil {
		members.Leave()
		left := time.Now()
		i.sleepUntil(ctx, func(grace time.Duration) time.Time {
			return left.Add(min(lameDuckTime, time.Duration(lameDuckShare*float64(grace))))
		})
	}
	if callerServer != nil {
		if err := callerServer.Drain(ctx); err != nil {
			i.log.WithError(err).Warn("grace period is over; ending open calls")
			i.endCalls(callerServer)
		}
	}
	// The deadline may have passed while calls were open.
	ctx, cancel = context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := i.deps.Join.Withdraw(ctx); err != nil {
		i.log.WithError(err).Info("entry of this instance cannot be removed from the store; leaving it there")
	}
	i.stop()
	i.log.Info("instance has stopped")
}

// endCalls has open calls answered, and waits for their connections to close.
func (i *Instance) endCalls(callerServer *conns.Server) {
	callerServer.EndCalls(chain.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerTimeout)
	defer cancel()
	if err := callerServer.Drain(ctx); err != nil {
		i.log.WithError(err).Warn("closing connections with open calls")
	}
}

// stop closes all components in reverse order of their start.
func (i *Instance) stop() {
	i.cancel()
	if callerServer := i.callerServer.Load(); callerServer != nil {
		callerServer.Close()
	}
	<-i.startDone
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, server := range i.auxServers {
		_ = server.Close()
	}
	for _, closer := range slices.Backward(i.closers) {
		closer()
	}
	i.link.Close()
}
