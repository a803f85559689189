package store

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counted wraps a store and counts its calls, a waiting watch as one read.
type Counted struct {
	store  Store
	reads  *metrics.Counter
	writes *metrics.Counter
	failed *metrics.Counter
	open   *metrics.Gauge
}

var _ Store = (*Counted)(nil)

// NewCounted wraps a store with counters in the set.
func NewCounted(s Store, set *metrics.Set) *Counted {
	return &Counted{
		store:  s,
		reads:  set.GetOrCreateCounter("bramleywharf_platform_reads_total"),
		writes: set.GetOrCreateCounter("bramleywharf_platform_writes_total"),
		failed: set.GetOrCreateCounter("bramleywharf_platform_failures_total"),
		open:   set.GetOrCreateGauge("bramleywharf_platform_watches_open", nil),
	}
}

// Changes counts a watch as one read and as open while it waits.
func (c *Counted) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error) {
	c.reads.Inc()
	c.open.Inc()
	defer c.open.Dec()
	page, err := c.store.Changes(ctx, kinds, after, wait)
	c.note(err)
	return page, err
}

// Get counts a read.
func (c *Counted) Get(ctx context.Context, kind, name string) (Object, error) {
	c.reads.Inc()
	o, err := c.store.Get(ctx, kind, name)
	c.note(err)
	return o, err
}

// Instances counts a read.
func (c *Counted) Instances(ctx context.Context) ([]Instance, error) {
	c.reads.Inc()
	list, err := c.store.Instances(ctx)
	c.note(err)
	return list, err
}

// List counts a read.
func (c *Counted) List(ctx context.Context, kinds []string) (Page, error) {
	c.reads.Inc()
	page, err := c.store.List(ctx, kinds)
	c.note(err)
	return page, err
}

// Put counts a write.
func (c *Counted) Put(ctx context.Context, o Object) (uint64, error) {
	c.writes.Inc()
	revision, err := c.store.Put(ctx, o)
	c.note(err)
	return revision, err
}

// note counts a failed call.
func (c *Counted) note(err error) {
	if err != nil {
		c.failed.Inc()
	}
}
