package store

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Instrumented wraps a Store and counts its calls in metrics; a long-polling Changes call counts as one read.
type Instrumented struct {
	store       Store
	reads       *metrics.Counter
	writes      *metrics.Counter
	failures    *metrics.Counter
	openWatches *metrics.Gauge
}

var _ Store = (*Instrumented)(nil)

// NewInstrumented wraps a store and registers the metrics of its calls in set.
func NewInstrumented(platform Store, set *metrics.Set) *Instrumented {
	return &Instrumented{
		store:       platform,
		reads:       set.GetOrCreateCounter("bramleywharf_platform_reads_total"),
		writes:      set.GetOrCreateCounter("bramleywharf_platform_writes_total"),
		failures:    set.GetOrCreateCounter("bramleywharf_platform_failures_total"),
		openWatches: set.GetOrCreateGauge("bramleywharf_platform_watches_open", nil),
	}
}

// Changes counts one read, and one open watch while the call waits.
func (i *Instrumented) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error) {
	i.reads.Inc()
	i.openWatches.Inc()
	defer i.openWatches.Dec()
	page, err := i.store.Changes(ctx, kinds, after, wait)
	i.countFailure(err)
	return page, err
}

// Get counts one read.
func (i *Instrumented) Get(ctx context.Context, kind, name string) (Object, error) {
	i.reads.Inc()
	o, err := i.store.Get(ctx, kind, name)
	i.countFailure(err)
	return o, err
}

// Instances counts one read.
func (i *Instrumented) Instances(ctx context.Context) ([]Instance, error) {
	i.reads.Inc()
	instances, err := i.store.Instances(ctx)
	i.countFailure(err)
	return instances, err
}

// List counts one read.
func (i *Instrumented) List(ctx context.Context, kinds []string) (Page, error) {
	i.reads.Inc()
	page, err := i.store.List(ctx, kinds)
	i.countFailure(err)
	return page, err
}

// Put counts one write.
func (i *Instrumented) Put(ctx context.Context, o Object) (uint64, error) {
	i.writes.Inc()
	revision, err := i.store.Put(ctx, o)
	i.countFailure(err)
	return revision, err
}

// countFailure counts a call that returned an error.
func (i *Instrumented) countFailure(err error) {
	if err != nil {
		i.failures.Inc()
	}
}
