package flight

import (
	"context"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
)

const (
	copyLife    = 0.9                    // copyLife is the part of the time that engines keep a copy after which it is ordered again.
	copyTimeout = time.Second            // copyTimeout bounds the wait for a copy of some 150 MB on links of 370 Gbit/s, queued behind others.
	copyAgain   = 300 * time.Millisecond // copyAgain is the least time between two orders.
)

// keepCopy orders another copy of a stream under way when the one that there was is lost or grows old.
func (d *guard) keepCopy(ctx context.Context) {
	if !d.flight.copies || d.heard.Load() == 0 || time.Since(d.ordered) < copyAgain || d.copying.Load() {
		return
	}
	runner := d.pick.Target
	c := d.flight.copied.Load()
	sound := c != nil && d.sender.Picker.IsSound(c.holder)
	near := sound && c.holder.Domain == runner.Domain
	if sound && !near && (c.ordered.IsZero() || time.Since(c.ordered) < d.flight.copyLife) {
		return
	}
	holder, found := d.holder(c, sound)
	if !found {
		return
	}
	d.ordered = time.Now()
	d.copying.Store(true)
	go func() {
		defer d.copying.Store(false)
		d.order(ctx, c, runner, holder)
	}()
}

// holder returns the target that is to keep the next copy: another failure domain's, or that of the copy there is when it only grows old.
func (d *guard) holder(c *copied, sound bool) (site.Target, bool) {
	runner := d.pick.Target
	if sound && c.holder.Domain != runner.Domain {
		return c.holder, true
	}
	other, ok := d.flight.backupFor(runner, d.refused)
	if !sound {
		return other, ok
	}
	if ok && other.Domain != runner.Domain {
		return other, true
	}
	return c.holder, !c.ordered.IsZero() && time.Since(c.ordered) >= d.flight.copyLife
}

// order has the runner of a stream copy it to a holder.
func (d *guard) order(ctx context.Context, old *copied, runner, holder site.Target) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	began := time.Now()
	d.sender.Counts.Orders.Inc()
	fields := log.Fields{"request": d.flight.call.ID, "target": runner.Name, "holder": holder.Name}
	reply, body, err := d.sender.Link.Exchange(ctx, d.sender.Dialect.Copy(d.flight.call, runner, holder))
	if err != nil {
		d.sender.Log.WithFields(fields).WithError(err).Info("copy was not made")
		return
	}
	handle, ok := d.sender.Dialect.Copied(reply.Status(), body)
	if !ok {
		d.refused = holder.Name
		d.sender.Log.WithFields(fields).WithField("status", reply.Status()).Info("copy was not made")
		return
	}
	next := &copied{
		holder:  holder,
		source:  send.Source{Address: runner.Address, Handle: handle},
		ordered: began,
		release: d.sender.Picker.Keep(holder),
	}
	if !d.flight.copied.CompareAndSwap(old, next) {
		next.release()
		return
	}
	if old != nil {
		old.release()
	}
	d.sender.Log.WithFields(fields).WithField("took-ms", time.Since(began).Milliseconds()).Debug("copy was made")
}

// dropCopy frees a copy that was ordered and is not needed any more.
func (g *flight) dropCopy(ctx context.Context) {
	c := g.swapCopy(nil)
	if c == nil || c.ordered.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	go func() {
		defer cancel()
		if _, _, err := g.sender.Link.Exchange(ctx, g.sender.Dialect.Drop(c.source)); err != nil {
			g.sender.Log.WithError(err).WithFields(log.Fields{"request": g.call.ID, "holder": c.holder.Name}).Info("copy was not freed; it lapses by itself")
		}
	}()
}
