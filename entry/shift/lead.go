package shift

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/wait"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// storeTimeout bounds one call of the store, and storeRetryDelay is the delay after one that failed.
	storeTimeout    = 600 * time.Millisecond
	storeRetryDelay = 150 * time.Millisecond
	// reportInterval is the time after which a status that the copy of the order does not show is written again. The copy
	// shows a write within 2 s.
	reportInterval = 2 * time.Second
)

// duty is what the leader knows of one service's roll-out.
type duty struct {
	isLoaded   bool      // isLoaded tells that the state was read since this instance was elected, or since the last failed write.
	isMissing  bool      // isMissing tells that the store had no state when it was read.
	isFailing  bool      // isFailing tells that the last call failed, so that a series of failures logs one line.
	retryAt    time.Time // retryAt is when the store is called again after a failure.
	reported   canary.Status
	reportedAt time.Time // reportedAt is when that status was written.
}

// leader decides the steps of the roll-outs for which this instance is elected.
type leader struct {
	shift  *Shift
	duties map[string]*duty
}

// newLeader returns a leader without duties.
func newLeader(h *Shift) *leader {
	return &leader{shift: h, duties: make(map[string]*duty)}
}

// loop decides periodically.
func (l *leader) loop(ctx context.Context) {
	for wait.Sleep(ctx, leadInterval) {
		elector := l.shift.elector.Load()
		if elector == nil {
			continue
		}
		for _, v := range *l.shift.views.Load() {
			if !(*elector).Elected("rollout/"+v.service, 1) {
				delete(l.duties, v.service)
				continue
			}
			d := l.duties[v.service]
			if d == nil {
				d = &duty{}
				l.duties[v.service] = d
			}
			if time.Now().Before(d.retryAt) {
				continue
			}
			l.settle(d, v, l.act(ctx, d, v))
		}
	}
}

// settle records whether the calls of the store succeeded. After one that failed the state is read again, since a write
// may have succeeded although its response was lost.
func (l *leader) settle(d *duty, v view, err error) {
	logger := l.shift.log.WithField("service", v.service)
	switch {
	case err == nil:
		if d.isFailing {
			logger.Info("state of the roll-out can be stored again")
		}
		d.isFailing = false
		return
	case errors.Is(err, ErrConflict) && d.isLoaded:
		logger.WithError(err).Info("another instance stored the state of the roll-out; reading it again")
	case !d.isFailing:
		d.isFailing = true
		logger.WithError(err).Warn("state of the roll-out cannot be read or stored; no step is taken")
	}
	d.isLoaded = false
	d.retryAt = time.Now().Add(storeRetryDelay)
}

// act takes the next step of a roll-out.
func (l *leader) act(ctx context.Context, d *duty, v view) error {
	if !d.isLoaded {
		return l.load(ctx, d, v.service)
	}
	if !l.isNewest(v) {
		return nil // The next view has the newer state.
	}
	s := v.situation
	s.Elapsed = v.elapsed(time.Now())
	switch step := canary.Decide(s).(type) {
	case canary.Hold:
		if s.State != nil && s.State.IsOpen() && s.Elapsed-s.State.Elapsed >= s.State.SaveInterval() {
			return l.save(ctx, d, s.State.WithElapsed(s.Elapsed))
		}
		return l.report(ctx, d, s)
	default:
		return l.take(ctx, d, v.service, s, step)
	}
}

// isNewest reports whether a view has the newest state that this instance has stored or read.
func (l *leader) isNewest(v view) bool {
	known, ok := l.shift.saved.Load(v.service)
	return !ok || v.situation.State != nil && v.situation.State.Revision >= known.(canary.State).Revision
}

// load reads the state from the store.
func (l *leader) load(ctx context.Context, d *duty, service string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	state, ok, err := l.shift.settings.States.Load(ctx, service)
	if err != nil {
		return fmt.Errorf("load state: %w", err)
	}
	d.isLoaded, d.isMissing = true, !ok
	if ok {
		l.shift.adopt(state)
	}
	return nil
}

// save stores a state. One that the store has lost is stored anew.
func (l *leader) save(ctx context.Context, d *duty, next canary.State) error {
	if d.isMissing {
		next = next.WithRevision(0)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := l.shift.settings.States.Save(ctx, next)
	if err != nil {
		return fmt.Errorf("save state: %w", err)
	}
	d.isMissing = false
	l.shift.adopt(next.WithRevision(revision))
	return nil
}

// take stores the state after a step.
func (l *leader) take(ctx context.Context, d *duty, service string, s canary.Situation, step canary.Step) error {
	state := canary.State{Service: service}
	if s.State != nil {
		state = *s.State
	}
	next := state.WithStep(step, s.Elapsed)
	if err := l.save(ctx, d, next); err != nil {
		return err
	}
	name, reason := describe(step)
	l.shift.set.GetOrCreateCounter(fmt.Sprintf("bramleywharf_rollout_steps_total{step=%q}", name)).Inc()
	l.shift.log.WithFields(figures(s.Evidence, next.To)).WithFields(log.Fields{
		"service": service, "to": next.To, "step": name, "cause": reason, "share": next.Share, "stage": next.Stage, "elapsed-ms": s.Elapsed.Milliseconds(),
		"new-targets": s.Capacity.NewTargets, "old-targets": s.Capacity.OldTargets, "running": s.Capacity.Running,
	}).Info("rollout step")
	return nil
}

// describe returns the name of a step and the reason for it.
func describe(step canary.Step) (name, reason string) {
	switch t := step.(type) {
	case canary.Accept:
		return "accept", t.Reason
	case canary.SetShare:
		return "share", t.Reason
	case canary.Move:
		return "move", t.Reason
	case canary.Finish:
		return "done", t.Reason
	case canary.RollBack:
		return "roll-back", t.Reason
	case canary.Hold:
		return "hold", t.Reason
	default:
		return "unknown", ""
	}
}

// report writes the status of an order if it differs from the state, which is read before: another instance may have
// taken a step that this one has not heard of.
func (l *leader) report(ctx context.Context, d *duty, s canary.Situation) error {
	if s.Order == nil || s.State == nil || s.Order.Status == s.State.Status() {
		return nil
	}
	status := s.State.Status()
	if d.reported == status && time.Since(d.reportedAt) < reportInterval {
		return nil
	}
	if err := l.load(ctx, d, s.State.Service); err != nil {
		return err
	}
	if known, ok := l.shift.saved.Load(s.State.Service); ok && known.(canary.State).Revision != s.State.Revision {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := l.shift.settings.States.Report(ctx, *s.Order, status); err != nil {
		return fmt.Errorf("report status: %w", err)
	}
	d.reported, d.reportedAt = status, time.Now()
	return nil
}
