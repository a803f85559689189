package block

import (
	"maps"
	"slices"
	"time"

	"bramleywharf.example/core/taint"
	"bramleywharf.example/core/wire"
)

// expiryMargin is the rest of its life in which a loss is no longer sent. It is longer than a message takes, so that a
// loss does not come back to an instance that has dropped it.
const expiryMargin = 5 * time.Second

// Digest identifies the losses that Losses returns; it is 0 if there are none.
func (b *Block) Digest() uint64 {
	return b.current().Digest()
}

// Losses returns the losses that are known and do not expire soon, for another instance.
func (b *Block) Losses() []wire.PartLosses {
	all := b.current().All()
	list := make([]wire.PartLosses, 0, len(all))
	for _, part := range slices.Sorted(maps.Keys(all)) {
		record := wire.PartLosses{Part: part}
		for _, l := range all[part] {
			record.Losses = append(record.Losses, wire.PartLoss{Target: l.ID.Target, Request: l.ID.Request, Age: time.Since(l.At), Excused: l.Excused, Domain: l.Domain})
		}
		list = append(list, record)
	}
	return list
}

// Crashes returns the crashes that are known and do not expire soon, for another instance.
func (b *Block) Crashes() []wire.TargetCrash {
	all := b.current().Crashes()
	list := make([]wire.TargetCrash, 0, len(all))
	for _, c := range all {
		list = append(list, wire.TargetCrash{Target: c.ID.Target, Request: c.ID.Request, Domain: c.Domain, Age: time.Since(c.At)})
	}
	return list
}

// current returns the losses and crashes that do not expire within the margin.
func (b *Block) current() taint.Book {
	return b.Book().Without(time.Now().Add(expiryMargin))
}

// MergeLosses takes losses and crashes from another instance.
func (b *Block) MergeLosses(losses []wire.PartLosses, crashes []wire.TargetCrash) {
	if len(losses) == 0 && len(crashes) == 0 {
		return
	}
	now := time.Now()
	receivedCrashes := make([]taint.Crash, 0, len(crashes))
	for _, c := range crashes {
		receivedCrashes = append(receivedCrashes, taint.Crash{ID: taint.LossID{Target: c.Target, Request: c.Request}, Domain: c.Domain, At: now.Add(-c.Age)})
	}
	parts := make(map[string][]taint.Loss, len(losses))
	for _, record := range losses {
		b.names.add([]string{record.Part})
		key := keyOf(record.Part)
		for _, l := range record.Losses {
			parts[key] = append(parts[key], taint.Loss{ID: taint.LossID{Target: l.Target, Request: l.Request}, Domain: l.Domain, At: now.Add(-l.Age), Excused: l.Excused})
		}
	}
	b.Merge(taint.NewBook(parts, receivedCrashes))
}
