package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wire"
)

// readers is the number of instances that read the platform's list for all.
const readers = 3

// Elected tells whether this instance is one of the few that act for all in a role.
func (f *Fleet) Elected(role string, count int) bool {
	var names []string
	for _, m := range f.View().Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			names = append(names, m.Name)
		}
	}
	for i, n := range route.Rank(role, names) {
		if i == count {
			return false
		}
		if n == f.settings.Self.Name {
			return true
		}
	}
	return false
}

// Quorum tells whether this instance reaches more than half of the members that should be there.
func (f *Fleet) Quorum() bool {
	view := f.View()
	alive := 0
	for _, m := range view.Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			alive++
		}
	}
	return alive*2 > view.Expected()
}

// Size returns the number of members that are not dead.
func (f *Fleet) Size() int {
	return len(f.View().Live())
}

// loop reconciles the view with what probes find.
func (f *Fleet) loop(ctx context.Context) {
	f.join(ctx)
	probe := time.NewTicker(probePeriod)
	defer probe.Stop()
	list := time.NewTicker(f.settings.ListPeriod)
	defer list.Stop()
	revisit := time.NewTicker(revisitPeriod)
	defer revisit.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-probe.C:
			f.expire()
			group.Go(func() { f.probeNext(ctx) })
		case <-list.C:
			group.Go(func() { f.readList(ctx) })
		case <-revisit.C:
			group.Go(func() { f.revisit(ctx) })
		case <-f.kick:
			group.Go(func() { f.push(ctx) })
		}
	}
}

// expire declares suspects dead that did not refute, and forgets members dead for long.
func (f *Fleet) expire() {
	now := time.Now()
	view := f.View()
	f.mu.Lock()
	since := make(map[string]time.Time, len(f.since))
	for name, at := range f.since {
		since[name] = at
	}
	listed := f.listed
	f.mu.Unlock()
	for name, at := range since {
		m, ok := view.Get(name)
		switch {
		case !ok:
		case m.State == member.Suspect && now.Sub(at) > suspectLife:
			m.State = member.Dead
			f.believe(m)
		case m.State == member.Dead && now.Sub(at) > deadLife && !listed[name]:
			f.view.Update(func(v member.View) member.View { return v.WithoutMember(name) })
		}
	}
}

// join learns the members from the platform's list or, without it, from the seeds.
func (f *Fleet) join(ctx context.Context) {
	f.readAll(ctx)
	addresses := append([]string(nil), f.settings.Seeds...)
	for _, m := range f.View().Neighbours(f.settings.Self.Name, neighbourCount) {
		addresses = append(addresses, m.PeerAddress)
	}
	for _, address := range addresses {
		if address == f.settings.Self.PeerAddress {
			continue
		}
		if _, err := f.ask(ctx, address, wire.Gossip{Full: true}); err == nil {
			break
		}
	}
	f.push(ctx)
}

// readAll lets the platform's list add members.
func (f *Fleet) readAll(ctx context.Context) {
	list, err := f.list.Instances(ctx)
	switch failed := err != nil; {
	case failed && !f.unlisted.Swap(true):
		f.log.WithError(err).Warn("list of instances cannot be read; heartbeats carry the news")
	case !failed && f.unlisted.Swap(false):
		f.log.WithField("objects", len(list)).Info("list of instances is read again")
	}
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.Name] = true
		f.admit(i)
	}
	f.mu.Lock()
	f.listed = listed
	f.mu.Unlock()
}

// admit adds a listed instance that is not known.
func (f *Fleet) admit(i store.Instance) {
	known, ok := f.View().Get(i.Name)
	if ok && i.Leaving && !known.Leaving {
		known.Leaving = true
		f.believe(known)
	}
	if ok {
		return
	}
	f.believe(member.Member{
		Name:          i.Name,
		Domain:        i.Domain,
		CallerAddress: i.CallerAddress,
		PeerAddress:   i.PeerAddress,
		Leaving:       i.Leaving,
	})
}

// probe asks a member for a heartbeat, by way of others if need be, and suspects it when none comes.
func (f *Fleet) probe(ctx context.Context, m member.Member) {
	if _, err := f.ask(ctx, m.PeerAddress, wire.Gossip{}); err == nil || ctx.Err() != nil {
		return
	}
	for _, helper := range f.some(helpers, m.Name) {
		if _, err := f.ask(ctx, helper.PeerAddress, wire.Gossip{Forward: m.PeerAddress}); err == nil {
			return
		}
	}
	now, ok := f.View().Get(m.Name)
	if ctx.Err() != nil || !ok || now.Incarnation != m.Incarnation || now.State != member.Alive {
		return
	}
	now.State = member.Suspect
	f.believe(now)
}

// probeNext probes the next neighbour.
func (f *Fleet) probeNext(ctx context.Context) {
	neighbours := f.View().Neighbours(f.settings.Self.Name, neighbourCount)
	if len(neighbours) == 0 {
		return
	}
	f.mu.Lock()
	f.turn++
	next := neighbours[f.turn%len(neighbours)]
	f.mu.Unlock()
	f.probe(ctx, next)
}

// push sends heartbeats to a few members at once.
func (f *Fleet) push(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range f.some(pushFanout, "") {
		group.Go(func() { _, _ = f.ask(ctx, m.PeerAddress, wire.Gossip{}) }) // Whoever misses it is probed in turn, which decides.
	}
	group.Wait()
}

// readList reads the platform's list if this instance is one of its readers or knows no others.
func (f *Fleet) readList(ctx context.Context) {
	if f.Elected("list", readers) {
		f.readAll(ctx)
	}
}

// revisit tries to reach dead members until one does not answer, so that the sides of a healed partition find each other.
func (f *Fleet) revisit(ctx context.Context) {
	dead := f.dead()
	rand.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	for _, m := range dead {
		if _, err := f.ask(ctx, m.PeerAddress, wire.Gossip{Full: true}); err != nil {
			return // It is most likely still dead; another is next in turn.
		}
	}
}

// dead returns the members that are believed to be dead.
func (f *Fleet) dead() []member.Member {
	return slices.DeleteFunc(f.View().All(), func(m member.Member) bool { return m.State != member.Dead })
}

// some returns a few live members at random, leaving out this instance and one other.
func (f *Fleet) some(count int, except string) []member.Member {
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
