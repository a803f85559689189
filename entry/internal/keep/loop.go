package keep

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/member"
	"bramleywharf.example/core/wire"
)

// batch is what one keeper is told in one message.
type batch struct {
	logs    []wire.Log
	records []*record
	copied  []int
}

// loop copies logs and stops abandoned generations.
func (k *Keep) loop(ctx context.Context) {
	tick := time.NewTicker(flushPeriod)
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

// flush sends each keeper its news.
func (k *Keep) flush(ctx context.Context) {
	batches := make(map[string]*batch)
	at := func(keeper string) *batch {
		if batches[keeper] == nil {
			batches[keeper] = &batch{}
		}
		return batches[keeper]
	}
	k.mu.Lock()
	for _, f := range k.closed {
		b := at(f.keeper)
		b.logs = append(b.logs, wire.Log{Request: f.request, Done: true})
		b.records = append(b.records, nil)
		b.copied = append(b.copied, 0)
	}
	k.closed = nil
	k.mu.Unlock()
	k.records.Range(func(_, value any) bool {
		r := value.(*record)
		if log, copied, ok := r.news(k.settings.Costly); ok {
			b := at(k.settle(r))
			b.logs = append(b.logs, log)
			b.records = append(b.records, r)
			b.copied = append(b.copied, copied)
		}
		return true
	})
	var group sync.WaitGroup
	for keeper, b := range batches {
		group.Go(func() { k.tell(ctx, keeper, b) })
	}
	group.Wait()
}

// settle returns the keeper of a record, a new one when the former is no longer open.
func (k *Keep) settle(r *record) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := k.fleet.View().Get(r.keeper)
	if !ok || m.State == member.Dead || m.Leaving {
		r.keeper = k.choose(r.request)
		r.told, r.whole, r.copied = false, false, 0
	}
	return r.keeper
}

// tell sends one keeper its batch.
func (k *Keep) tell(ctx context.Context, keeper string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m, ok := k.fleet.View().Get(keeper)
	unknown := make(map[string]bool)
	if ok {
		answer, err := k.net.Ask(ctx, m.PeerAddress, wire.Keep{From: k.fleet.Self().Name, Logs: b.logs})
		kept, isKept := answer.(wire.Kept)
		ok = err == nil && isKept
		for _, request := range kept.Unknown {
			unknown[request] = true
		}
	}
	for i, r := range b.records {
		if r == nil {
			continue
		}
		r.sent(b.logs[i], b.copied[i], ok && !unknown[r.request])
		k.copied.Add(len(b.logs[i].Tokens))
	}
}

// reap stops generations that were abandoned here or whose instance died.
func (k *Keep) reap(group *sync.WaitGroup) {
	now := time.Now()
	k.records.Range(func(_, value any) bool {
		k.reapRecord(value.(*record), now, group)
		return true
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	for request, h := range k.held {
		quiet := now.Sub(h.heard)
		m, known := k.fleet.View().Get(h.from)
		lost := !known || m.State == member.Dead
		if lost && quiet > k.settings.Linger {
			delete(k.held, request)
			k.stop(attempt{target: h.log.Target, id: h.log.AttemptID}, group)
			continue
		}
		if quiet > heldLife {
			delete(k.held, request)
		}
	}
}

// reapRecord ends a record that was taken or abandoned for long enough.
func (k *Keep) reapRecord(r *record, now time.Time, group *sync.WaitGroup) {
	r.mu.Lock()
	left, taken, due := r.left, r.isTaken, now.Sub(r.leftAt) > k.settings.Linger
	r.mu.Unlock()
	if (len(left) == 0 && !taken) || !due {
		return
	}
	r.Close()
	if taken {
		return
	}
	for _, a := range left {
		k.stop(a, group)
	}
}

// stop cancels a run at its engine.
func (k *Keep) stop(a attempt, group *sync.WaitGroup) {
	target, ok := k.targets.Find(a.target)
	if !ok {
		return
	}
	k.orphans.Inc()
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelBound)
		defer cancel()
		_ = k.engines.Cancel(ctx, target.Address, a.id)
	})
}
