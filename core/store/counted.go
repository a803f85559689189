package store

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counted wraps a Store and counts its calls in metrics; a long-polling Changes call counts as one read.
type Counted struct {
	store       Store
	reads       *metrics.Counter
	writes      *metrics.Counter
	failures    *metrics.Counter
	openWatches *metrics.Gauge
}

var _ Store = (*Counted)(nil)

// NewCounted wraps a store and registers the metrics of its calls in set.
func NewCounted(platform Store, set *metrics.Set) *Counted {
	return &Counted{
		store:       platform,
		reads:       set.GetOrCreateCounter("bramleywharf_platform_reads_total"),
		writes:      set.GetOrCreateCounter("bramleywharf_platform_writes_total"),
		failures:    set.GetOrCreateCounter("bramleywharf_platform_failures_total"),
		openWatches: set.GetOrCreateGauge("bramleywharf_platform_watches_open", nil),
	}
}

// Changes counts one read, and one open watch while the call waits.
func (c *Counted) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error) {
	c.reads.Inc()
	c.openWatches.Inc()
	defer c.openWatches.Dec()
	page, err := c.store.Changes(ctx, kinds, after, wait)
	c.countFailure(err)
	return page, err
}

// Get counts one read.
func (c *Counted) Get(ctx context.Context, kind, name string) (Object, error) {
	c.reads.Inc()
	o, err := c.store.Get(ctx, kind, name)
	c.countFailure(err)
	return o, err
}

// Instances counts one read.
func (c *Counted) Instances(ctx context.Context) ([]Instance, error) {
	c.reads.Inc()
	instances, err := c.store.Instances(ctx)
	c.countFailure(err)
	return instances, err
}

// List counts one read.
func (c *Counted) List(ctx context.Context, kinds []string) (Page, error) {
	c.reads.Inc()
	page, err := c.store.List(ctx, kinds)
	c.countFailure(err)
	return page, err
}

// Put counts one write.
func (c *Counted) Put(ctx context.Context, o Object) (uint64, error) {
	c.writes.Inc()
	revision, err := c.store.Put(ctx, o)
	c.countFailure(err)
	return revision, err
}

// countFailure counts a call that returned an error.
func (c *Counted) countFailure(err error) {
	if err != nil {
		c.failures.Inc()
	}
}
