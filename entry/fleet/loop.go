package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
)

// listReaders is the number of instances that read the platform's list on behalf of the fleet.
const listReaders = 3

// Elected reports whether this instance is one of the count instances that act for the fleet in a role. They are chosen
// by rendezvous hashing over the members that are alive, so each instance decides for itself.
func (f *Fleet) Elected(role string, count int) bool {
	return f.View().IsAmongFirst(role, f.settings.Self.Name, count)
}

// Quorum reports whether more than half of the expected members are alive in this instance's view.
func (f *Fleet) Quorum() bool {
	view := f.View()
	alive := 0
	for _, m := range view.Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			alive++
		}
	}
	return alive*2 > view.ExpectedCount()
}

// Size returns the number of members that are not dead.
func (f *Fleet) Size() int {
	return f.View().LiveCount()
}

// loop joins the fleet and then probes, reads the list, reconnects and pushes until ctx ends.
func (f *Fleet) loop(ctx context.Context) {
	f.join(ctx)
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	list := time.NewTicker(f.settings.ListPeriod)
	defer list.Stop()
	reconnect := time.NewTicker(reconnectInterval)
	defer reconnect.Stop()
	unheard, syncGap := 0, syncInterval
	nextSync := time.After(syncGap)
	var nextPush <-chan time.Time // nextPush is nil unless a push is due.
	var lastPush time.Time
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-nextSync:
			syncGap = min(2*syncGap, maxSyncInterval)
			if count := f.View().UnheardCount(); count != unheard {
				unheard, syncGap = count, syncInterval
			}
			if unheard > 0 {
				group.Go(func() { f.sync(ctx) })
			}
			nextSync = time.After(syncGap)
		case <-f.pushRequested:
			if nextPush == nil {
				nextPush = time.After(pushInterval - time.Since(lastPush))
			}
		case <-nextPush:
			nextPush, lastPush = nil, time.Now()
			group.Go(func() { f.push(ctx) })
		case <-probe.C:
			f.expireMembers()
			group.Go(func() { f.probeNext(ctx) })
		case <-list.C:
			group.Go(func() { f.readListIfElected(ctx) })
		case <-reconnect.C:
			group.Go(func() { f.reconnect(ctx) })
		}
	}
}

// expireMembers marks suspects dead that did not refute in time, and forgets members that have long been dead and are
// not listed.
func (f *Fleet) expireMembers() {
	now := time.Now()
	view := f.View()
	f.mu.Lock()
	stateSince := make(map[string]time.Time, len(f.stateSince))
	for name, at := range f.stateSince {
		stateSince[name] = at
	}
	listed := f.listed
	f.mu.Unlock()
	for name, at := range stateSince {
		m, ok := view.Get(name)
		switch {
		case !ok:
		case m.State == member.Suspect && now.Sub(at) > suspectTimeout:
			m.State = member.Dead
			f.apply(m)
		case m.State == member.Dead && now.Sub(at) > deadRetention && !listed[name]:
			f.view.Update(func(v member.View) member.View { return v.WithoutMember(name) })
		}
	}
}

// join learns the members from the platform's list and from the first seed or neighbour that answers, and announces
// this instance.
func (f *Fleet) join(ctx context.Context) {
	f.readList(ctx)
	addresses := append([]string(nil), f.settings.Seeds...)
	for _, m := range f.View().Neighbours(f.settings.Self.Name, neighbourCount) {
		addresses = append(addresses, m.PeerAddress)
	}
	for _, address := range addresses {
		if address == f.settings.Self.PeerAddress {
			continue
		}
		if f.fetchMembers(ctx, address) == nil {
			break
		}
	}
	f.push(ctx)
}

// readList adds the members on the platform's list to the view.
func (f *Fleet) readList(ctx context.Context) {
	list, err := f.list.Instances(ctx)
	switch failed := err != nil; {
	case failed && !f.listUnreachable.Swap(true):
		f.log.WithError(err).Warn("list of instances cannot be read; members are learnt from heartbeats only")
	case !failed && f.listUnreachable.Swap(false):
		f.log.WithField("objects", len(list)).Info("list of instances can be read again")
	}
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.Name] = true
		f.addListed(instance)
	}
	f.mu.Lock()
	f.listed = listed
	f.mu.Unlock()
}

// addListed adds a listed instance to the view if it is not known, and marks a known one as draining if the list does.
func (f *Fleet) addListed(instance store.Instance) {
	known, ok := f.View().Get(instance.Name)
	if ok && instance.Leaving && !known.Leaving {
		known.Leaving = true
		f.apply(known)
	}
	if ok {
		return
	}
	f.apply(member.Member{
		Name:          instance.Name,
		Domain:        instance.Domain,
		CallerAddress: instance.CallerAddress,
		PeerAddress:   instance.PeerAddress,
		Leaving:       instance.Leaving,
	})
}

// probe exchanges heartbeats with a member. If it does not answer, a few others are asked to probe it, and if none of
// them reaches it, it becomes suspect.
func (f *Fleet) probe(ctx context.Context, m member.Member) {
	if _, err := f.exchange(ctx, m.PeerAddress, wire.Gossip{}); err == nil || ctx.Err() != nil {
		return
	}
	for _, helper := range f.randomLive(indirectProbes, m.Name) {
		if _, err := f.exchange(ctx, helper.PeerAddress, wire.Gossip{ProbeAddress: m.PeerAddress}); err == nil {
			return
		}
	}
	current, ok := f.View().Get(m.Name)
	if ctx.Err() != nil || !ok || current.Incarnation != m.Incarnation || current.State != member.Alive {
		return
	}
	current.State = member.Suspect
	f.apply(current)
}

// probeNext probes the next neighbour.
func (f *Fleet) probeNext(ctx context.Context) {
	neighbours := f.View().Neighbours(f.settings.Self.Name, neighbourCount)
	if len(neighbours) == 0 {
		return
	}
	f.mu.Lock()
	f.probeIndex++
	next := neighbours[f.probeIndex%len(neighbours)]
	f.mu.Unlock()
	f.probe(ctx, next)
}

// push sends heartbeats to a few random members at once.
func (f *Fleet) push(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range f.pushTargets() {
		// A failure is ignored here, since only probes decide on a member's state.
		group.Go(func() { _, _ = f.exchange(ctx, m.PeerAddress, wire.Gossip{}) })
	}
	group.Wait()
}

// sync fetches all members from one of the members to which a push would go. Instances that start together sync until
// they have heard of all that are listed: each sync about doubles what they know, while heartbeats carry few updates.
func (f *Fleet) sync(ctx context.Context) {
	if targets := f.pushTargets(); len(targets) > 0 {
		// A failure is ignored here; the next sync asks another member.
		_ = f.fetchMembers(ctx, targets[rand.IntN(len(targets))].PeerAddress)
	}
}

// pushTargets returns the members that a push goes to: random ones of the own failure domain and one of another, since
// traffic between domains is billed, or whichever there are.
func (f *Fleet) pushTargets() []member.Member {
	var near, far []member.Member
	for _, m := range f.randomLive(f.View().Len(), "") {
		if m.Domain == f.settings.Self.Domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	near = near[:min(len(near), pushFanout-min(1, len(far)))]
	return append(near, far[:min(len(far), pushFanout-len(near))]...)
}

// readListIfElected reads the platform's list if this instance is one of its readers, as it is if it knows no other.
func (f *Fleet) readListIfElected(ctx context.Context) {
	if f.Elected("list", listReaders) {
		f.readList(ctx)
	}
}

// reconnect asks dead members in random order for their whole view until one does not answer, so that the sides of a
// healed partition find each other.
func (f *Fleet) reconnect(ctx context.Context) {
	deadMembers := f.deadMembers()
	rand.Shuffle(len(deadMembers), func(i, j int) { deadMembers[i], deadMembers[j] = deadMembers[j], deadMembers[i] })
	for _, m := range deadMembers {
		if _, err := f.exchange(ctx, m.PeerAddress, wire.Gossip{WantAllMembers: true}); err != nil {
			return // It is probably still dead; the next run tries in another order.
		}
	}
}

// deadMembers returns the members that are dead in the view.
func (f *Fleet) deadMembers() []member.Member {
	return slices.DeleteFunc(f.View().All(), func(m member.Member) bool { return m.State != member.Dead })
}

// randomLive returns up to count random live members other than this instance and the one named by except.
func (f *Fleet) randomLive(count int, except string) []member.Member {
	live := f.View().Live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var chosen []member.Member
	for _, m := range live {
		if len(chosen) == count {
			break
		}
		if m.Name != f.settings.Self.Name && m.Name != except {
			chosen = append(chosen, m)
		}
	}
	return chosen
}
