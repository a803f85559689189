package keep

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/wire"
)

// batch holds the updates that one keeper gets in one message; the elements with the same index belong together.
type batch struct {
	logs        []wire.GenerationLog
	generations []*generation
	replicated  []int
}

// loop replicates logs and cancels abandoned generations until the controller is closed.
func (k *Keep) loop(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.flush(ctx)
			k.reap(&group)
		}
	}
}

// flush sends each keeper what it lacks.
func (k *Keep) flush(ctx context.Context) {
	batches := make(map[string]*batch)
	batchOf := func(keeper string) *batch {
		if batches[keeper] == nil {
			batches[keeper] = &batch{}
		}
		return batches[keeper]
	}
	k.mu.Lock()
	for _, f := range k.finished {
		b := batchOf(f.keeper)
		b.logs = append(b.logs, wire.GenerationLog{Request: f.request, Done: true})
		b.generations = append(b.generations, nil)
		b.replicated = append(b.replicated, 0)
	}
	k.finished = nil
	k.mu.Unlock()
	k.generations.Range(func(_, value any) bool {
		g := value.(*generation)
		if update, replicated, ok := g.nextUpdate(k.settings.Costly); ok {
			b := batchOf(k.ensureKeeper(g))
			b.logs = append(b.logs, update)
			b.generations = append(b.generations, g)
			b.replicated = append(b.replicated, replicated)
		}
		return true
	})
	var group sync.WaitGroup
	for keeper, b := range batches {
		group.Go(func() { k.sendBatch(ctx, keeper, b) })
	}
	group.Wait()
}

// ensureKeeper returns the keeper of a generation, after replacing one that is unknown, dead or leaving.
func (k *Keep) ensureKeeper(g *generation) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := k.fleet.View().Get(g.keeper)
	if !ok || m.State == member.Dead || m.Leaving {
		g.keeper = k.chooseKeeper(g.request)
		g.keeperKnows, g.keeperHasPrompt, g.replicated = false, false, 0
	}
	return g.keeper
}

// sendBatch sends a batch to its keeper and notes which updates the keeper has applied.
func (k *Keep) sendBatch(ctx context.Context, keeper string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m, ok := k.fleet.View().Get(keeper)
	unknown := make(map[string]bool)
	if ok {
		reply, err := k.peers.Call(ctx, m.PeerAddress, wire.SaveLogs{From: k.fleet.Self().Name, Logs: b.logs})
		saved, isSaved := reply.(wire.SaveLogsReply)
		ok = err == nil && isSaved
		for _, request := range saved.MissingRequests {
			unknown[request] = true
		}
	}
	for i, g := range b.generations {
		if g == nil {
			continue
		}
		g.confirmUpdate(b.logs[i], b.replicated[i], ok && !unknown[g.request])
		k.replicatedTokens.Add(len(b.logs[i].Tokens))
	}
}

// reap cancels generations that were abandoned here, and those of dead members of which a replica is held here, once
// they have lingered; it deletes replicas that are no longer updated.
func (k *Keep) reap(group *sync.WaitGroup) {
	now := time.Now()
	k.generations.Range(func(_, value any) bool {
		k.reapGeneration(value.(*generation), now, group)
		return true
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	for request, held := range k.replicas {
		silence := now.Sub(held.updatedAt)
		m, known := k.fleet.View().Get(held.origin)
		isOriginLost := !known || m.State == member.Dead
		if isOriginLost && silence > k.settings.Linger {
			delete(k.replicas, request)
			k.cancelAttempt(attempt{target: held.log.Target, id: held.log.AttemptID}, group)
			continue
		}
		if silence > replicaLife {
			delete(k.replicas, request)
		}
	}
}

// reapGeneration closes a generation that was adopted or abandoned longer than Linger ago, and cancels its attempts
// unless it was adopted.
func (k *Keep) reapGeneration(g *generation, now time.Time, group *sync.WaitGroup) {
	g.mu.Lock()
	abandoned, wasAdopted, isDue := g.abandoned, g.isAdopted, now.Sub(g.releasedAt) > k.settings.Linger
	g.mu.Unlock()
	if (len(abandoned) == 0 && !wasAdopted) || !isDue {
		return
	}
	g.Close()
	if wasAdopted {
		return
	}
	for _, a := range abandoned {
		k.cancelAttempt(a, group)
	}
}

// cancelAttempt cancels an attempt at its engine in the background.
func (k *Keep) cancelAttempt(a attempt, group *sync.WaitGroup) {
	target, ok := k.targets.Find(a.target)
	if !ok {
		return
	}
	k.stoppedGenerations.Inc()
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = k.engines.Cancel(ctx, target.Address, a.id)
	})
}
