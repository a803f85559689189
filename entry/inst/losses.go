package inst

import (
	"context"
	"fmt"

	"bramleywharf.example/entry/fleet"
	"bramleywharf.example/entry/recall"
)

// startRecall starts to read the stored losses of parts that crash targets, and then to store new ones.
func (i *Instance) startRecall(members *fleet.Fleet) *recall.Recall {
	r := recall.New(recall.Settings{
		Records: i.deps.Records, Kind: i.deps.SharedKind, Elected: members.Elected, Era: i.exchange.Era, Blocks: i.blocks,
		Size: func() int { return members.View().Len() },
	}, i.log, i.set)
	i.addCloser(r.Close)
	return r
}

// waitForLosses waits until the stored losses are known, since requests with the same parts would crash more targets.
func waitForLosses(ctx context.Context, r *recall.Recall) error {
	select {
	case <-r.Loaded():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for stored losses: %w", ctx.Err())
	}
}
