package flight

import (
	"context"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
)

const (
	// replicaRefreshRatio is the part of an engine's retention time after which a replica is ordered again.
	replicaRefreshRatio = 0.9
	// replicaCallTimeout bounds a call that orders or frees a replica of some 150 MB, which is sent over a link of
	// 370 Gbit/s and queued behind others.
	replicaCallTimeout = time.Second
	minReplicaInterval = 300 * time.Millisecond // minReplicaInterval is the least time between two orders.
)

// maintainReplica orders a replica of a running stream when there is none at a healthy target, when it is in the same
// failure domain as the running target, or when it is about to expire.
func (m *monitor) maintainReplica(ctx context.Context) {
	if !m.stream.canReplicate || m.lastEvent.Load() == 0 || time.Since(m.replicaOrderedAt) < minReplicaInterval || m.replicating.Load() {
		return
	}
	runner := m.pick.Target
	current := m.stream.replica.Load()
	usable := current != nil && m.sender.Picker.IsSound(current.holder)
	sameDomain := usable && current.holder.Domain == runner.Domain
	if usable && !sameDomain && (current.orderedAt.IsZero() || time.Since(current.orderedAt) < m.stream.replicaRefreshAge) {
		return
	}
	holder, found := m.nextHolder(current, usable)
	if !found {
		return
	}
	m.replicaOrderedAt = time.Now()
	m.replicating.Store(true)
	go func() {
		defer m.replicating.Store(false)
		m.orderReplica(ctx, current, runner, holder)
	}()
}

// nextHolder returns the target that is to keep the next replica. A usable one in another failure domain stays where
// it is. One in the running target's domain moves to another domain if possible, otherwise it stays and is ordered
// again only when it is about to expire.
func (m *monitor) nextHolder(current *replica, usable bool) (site.Target, bool) {
	runner := m.pick.Target
	if usable && current.holder.Domain != runner.Domain {
		return current.holder, true
	}
	other, ok := m.stream.chooseHolder(runner, m.refusedHolder)
	if !usable {
		return other, ok
	}
	if ok && other.Domain != runner.Domain {
		return other, true
	}
	return current.holder, !current.orderedAt.IsZero() && time.Since(current.orderedAt) >= m.stream.replicaRefreshAge
}

// orderReplica orders the runner to send a replica of its stream to the holder, and puts that in place of the old one.
func (m *monitor) orderReplica(ctx context.Context, old *replica, runner, holder site.Target) {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	orderedAt := time.Now()
	m.sender.Counts.Orders.Inc()
	fields := log.Fields{"request": m.stream.call.ID, "target": runner.Name, "holder": holder.Name}
	reply, body, err := m.sender.Link.Exchange(ctx, m.sender.Dialect.Copy(m.stream.call, runner, holder))
	if err != nil {
		m.sender.Log.WithFields(fields).WithError(err).Info("replica could not be ordered")
		return
	}
	handle, ok := m.sender.Dialect.Copied(reply.Status(), body)
	if !ok {
		m.refusedHolder = holder.Name
		m.sender.Log.WithFields(fields).WithField("status", reply.Status()).Info("target refused to make a replica")
		return
	}
	next := &replica{
		holder:    holder,
		source:    send.Source{Address: runner.Address, Handle: handle},
		orderedAt: orderedAt,
		release:   m.sender.Picker.Keep(holder),
	}
	if !m.stream.replica.CompareAndSwap(old, next) {
		next.release()
		return
	}
	if old != nil {
		old.release()
	}
	m.sender.Log.WithFields(fields).WithField("took-ms", time.Since(orderedAt).Milliseconds()).Debug("replica was made")
}

// freeReplica releases the replica and, if it was ordered, has the target that made it free it.
func (s *stream) freeReplica(ctx context.Context) {
	r := s.swapReplica(nil)
	if r == nil || r.orderedAt.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(quota.Detach(ctx), replicaCallTimeout)
	go func() {
		defer cancel()
		if _, _, err := s.sender.Link.Exchange(ctx, s.sender.Dialect.Drop(r.source)); err != nil {
			s.sender.Log.WithError(err).WithFields(log.Fields{"request": s.call.ID, "holder": r.holder.Name}).Info("replica could not be freed; it will expire")
		}
	}()
}
