package inst

import (
	"context"
	"slices"
	"time"

	"bramleywharf.example/core/grace"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/conns"
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
		go i.drain()
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

// drain lets callers move to other instances, waits for open calls, and stops the instance. Idle connections are closed at
// the start, so that their callers' next streams begin where they can end. Calls that are open near the end of the grace
// period are answered: refused if they have not run, otherwise with an unknown outcome.
func (i *Instance) drain() {
	defer close(i.done)
	ctx, cancel := i.callsContext()
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
		i.sleepUntil(ctx, func(p grace.Period) time.Time { return left.Add(p.LameDuck()) })
	}
	if callerServer != nil {
		if err := callerServer.Drain(ctx); err != nil {
			i.log.WithError(err).Warn("grace period is over; ending open calls")
			i.endCalls(callerServer)
		}
	}
	// The deadline may have passed while calls were open.
	ctx, cancel = context.WithTimeout(context.Background(), i.period().WithdrawTime())
	defer cancel()
	if r := i.restorer.Load(); r != nil {
		r.Close() // It would store the entry again.
	}
	if err := i.deps.Join.Withdraw(ctx); err != nil {
		i.log.WithError(err).Info("entry of this instance cannot be removed from the store; leaving it there")
	}
	i.stop()
	i.log.Info("instance has stopped")
}

// endCalls has open calls answered, and waits for their connections to close.
func (i *Instance) endCalls(callerServer *conns.Server) {
	callerServer.EndCalls(chain.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), i.period().AnswerTime())
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
