package inst

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/entry/board"
	"bramleywharf.example/entry/feed"
	"bramleywharf.example/entry/shift"
	"bramleywharf.example/entry/stored"
)

// rollOutWatchInterval is the least time between two watches of the orders and of the states of roll-outs. A bad version
// is left on the evidence that instances exchange, so the store may be watched at a low rate; each watch is billed.
const rollOutWatchInterval = time.Second

// RollOuts are the platform-specific parts of roll-outs.
type RollOuts struct {
	Orders      Kind
	States      Kind // States has the values of the objects, without what the store adds to them, as Raw.
	DecodeOrder func(mirror.Object) (canary.Order, error)
	// Report stores the status of an order unless the order has changed.
	Report func(context.Context, canary.Order, canary.Status) error
}

// startRollOuts starts the controller of roll-outs and returns the feeds that it follows, or does nothing if roll-outs
// are off.
func (i *Instance) startRollOuts() []*feed.Feed {
	d := i.deps.RollOuts
	if d == nil {
		return nil
	}
	follow := func(k Kind) *feed.Feed {
		settings := feed.Settings{Kind: k.Name, With: i.deps.Config.Name, Pace: rollOutWatchInterval, Urgent: true}
		f := feed.New(settings, k.Source, i.log, i.set)
		i.addCloser(f.Close)
		return f
	}
	orders, states := follow(d.Orders), follow(d.States)
	i.shift = shift.New(shift.Settings{
		Name:        i.settings.Self.Name,
		ExposeShare: func() float64 { return i.settings.Tuning.Load().ExposeShare },
		Orders:      stored.Orders{Copies: board.NewCopies(orders, d.DecodeOrder, i.log)},
		States:      stored.States{Copies: board.NewCopies(states, stored.DecodeState, i.log), Kind: d.States.Name, Records: i.deps.Records, StoreStatus: d.Report},
		Targets:     i.picker,
		Fleet:       i.picker,
		Memory:      i.targetMemory,
	}, i.log, i.set)
	i.addCloser(i.shift.Close)
	i.picker.ReportRollouts(i.shift.Own)
	return []*feed.Feed{orders, states}
}

// targetMemory returns the capacity of one target of a service in tokens, or 0 if it is unknown.
func (i *Instance) targetMemory(service string) int {
	config := i.board.Config()
	if config == nil {
		return 0
	}
	if s, _ := config.Service(service); s.Engine != nil {
		return s.Engine.CapacityTokens
	}
	return 0
}

// waitForRollOuts waits until the copies of orders and states are confirmed, since no target may be used before: its
// version may be one that was rolled back.
func (i *Instance) waitForRollOuts(ctx context.Context, members shift.Elector) error {
	if i.shift == nil {
		return nil
	}
	i.shift.Assign(members)
	select {
	case <-i.shift.Ready():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for roll-outs: %w", ctx.Err())
	}
}
