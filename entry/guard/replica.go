package guard

import (
	"context"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
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

// Replica is a copy of a stream's prompt memory at another target than the one that runs it.
type Replica struct {
	Holder    site.Target // Holder is the target that keeps the replica.
	Source    send.Source // Source is where another target gets it from.
	orderedAt time.Time   // zero for a replica that the running target keeps up to date from its first event on
	release   func()      // removes the replica from the picker's load of its holder
}

// Replicas keeps the replica of one stream. The stream's owner and its monitors may use it at the same time.
type Replicas struct {
	sender     *send.Sender
	call       chain.Call
	want       func() picker.Want // returns the criteria by which the stream's targets are chosen
	kept       bool               // whether targets keep replicas of the stream
	refreshAge time.Duration      // age at which an ordered replica is ordered again
	current    atomic.Pointer[Replica]
}

// NewReplicas returns a keeper without a replica. want returns the criteria by which the stream's targets are chosen; it
// must be safe for concurrent use. kept tells whether targets keep replicas of the stream, for a lifetime each.
func NewReplicas(sender *send.Sender, call chain.Call, want func() picker.Want, kept bool, lifetime time.Duration) *Replicas {
	return &Replicas{sender: sender, call: call, want: want, kept: kept, refreshAge: time.Duration(replicaRefreshRatio * float64(lifetime))}
}

// Current returns the replica, or nil.
func (r *Replicas) Current() *Replica {
	return r.current.Load()
}

// HolderName returns the name of the target that holds the replica, or an empty name.
func (r *Replicas) HolderName() string {
	if current := r.current.Load(); current != nil {
		return current.Holder.Name
	}
	return ""
}

// ChooseHolder chooses the target that is to keep a replica while runner runs the stream. The target named by refused is
// left out.
func (r *Replicas) ChooseHolder(runner site.Target, refused string) (site.Target, bool) {
	if !r.kept {
		return site.Target{}, false
	}
	want := r.want()
	avoid := map[string]bool{runner.Name: true, refused: true}
	for name := range want.Avoid {
		avoid[name] = true
	}
	want.Avoid = avoid
	return r.sender.Picker.Backup(want, runner.Domain)
}

// Track records the replica at the holder, which the running target keeps up to date from its first event on.
func (r *Replicas) Track(holder site.Target) {
	r.swap(&Replica{
		Holder:  holder,
		Source:  send.Source{Address: holder.Address, Handle: r.call.ID},
		release: r.sender.Picker.Keep(holder),
	})
}

// Discard releases a replica that is no longer used, unless another one has taken its place.
func (r *Replicas) Discard(old *Replica) {
	if old != nil && r.current.CompareAndSwap(old, nil) {
		old.release()
	}
}

// Free releases the replica and, if it was ordered, has the target that made it free it.
func (r *Replicas) Free(ctx context.Context) {
	old := r.swap(nil)
	if old == nil || old.orderedAt.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(quota.Detach(ctx), replicaCallTimeout)
	go func() {
		defer cancel()
		if _, _, err := r.sender.Link.Exchange(ctx, r.sender.Dialect.Drop(old.Source)); err != nil {
			r.sender.Log.WithError(err).WithFields(log.Fields{"request": r.call.ID, "holder": old.Holder.Name}).Info("replica could not be freed; it will expire")
		}
	}()
}

// swap sets the replica, which may be nil, and returns the previous one after its release.
func (r *Replicas) swap(next *Replica) *Replica {
	old := r.current.Swap(next)
	if old != nil {
		old.release()
	}
	return old
}

// maintainReplica orders a replica of a running stream when there is none at a healthy target, when it is in the same
// failure domain as the running target, or when it is about to expire.
func (m *Monitor) maintainReplica(ctx context.Context) {
	if !m.subject.Replicas.kept || m.lastEvent.Load() == 0 || time.Since(m.replicaOrderedAt) < minReplicaInterval || m.replicating.Load() {
		return
	}
	runner := m.subject.Pick.Target
	current := m.subject.Replicas.Current()
	usable := current != nil && m.subject.Sender.Picker.IsSound(current.Holder)
	sameDomain := usable && current.Holder.Domain == runner.Domain
	if usable && !sameDomain && (current.orderedAt.IsZero() || time.Since(current.orderedAt) < m.subject.Replicas.refreshAge) {
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
func (m *Monitor) nextHolder(current *Replica, usable bool) (site.Target, bool) {
	runner := m.subject.Pick.Target
	if usable && current.Holder.Domain != runner.Domain {
		return current.Holder, true
	}
	other, ok := m.subject.Replicas.ChooseHolder(runner, m.refusedHolder)
	if !usable {
		return other, ok
	}
	if ok && other.Domain != runner.Domain {
		return other, true
	}
	return current.Holder, !current.orderedAt.IsZero() && time.Since(current.orderedAt) >= m.subject.Replicas.refreshAge
}

// orderReplica orders the runner to send a replica of its stream to the holder, and puts that in place of the old one.
func (m *Monitor) orderReplica(ctx context.Context, old *Replica, runner, holder site.Target) {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	orderedAt := time.Now()
	m.subject.Sender.Counts.Orders.Inc()
	fields := log.Fields{"request": m.subject.Call.ID, "target": runner.Name, "holder": holder.Name}
	reply, body, err := m.subject.Sender.Exchange(ctx, runner, m.subject.Sender.Dialect.Copy(m.subject.Call, runner, holder))
	if err != nil {
		m.subject.Sender.Log.WithFields(fields).WithError(err).Info("replica could not be ordered")
		return
	}
	handle, ok := m.subject.Sender.Dialect.Copied(reply.Status(), body)
	if !ok {
		m.refusedHolder = holder.Name
		m.subject.Sender.Log.WithFields(fields).WithField("status", reply.Status()).Info("target refused to make a replica")
		return
	}
	next := &Replica{
		Holder:    holder,
		Source:    send.Source{Address: runner.Address, Handle: handle},
		orderedAt: orderedAt,
		release:   m.subject.Sender.Picker.Keep(holder),
	}
	if !m.subject.Replicas.current.CompareAndSwap(old, next) {
		next.release()
		return
	}
	if old != nil {
		old.release()
	}
	m.subject.Sender.Log.WithFields(fields).WithField("took-ms", time.Since(orderedAt).Milliseconds()).Debug("replica was made")
}
