package loads

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/wire"
)

const (
	// MinTTL is the minimum age at which a received report expires. Instances send one about every second, less often in a
	// large fleet.
	MinTTL = 3 * time.Second

	// ttlIntervals is the age at which a report expires, in reporting intervals, if that is longer.
	ttlIntervals = 2.5
)

// Book holds the newest report of each other instance.
type Book struct {
	interval atomic.Int64 // interval is the time between two reports of an instance, in nanoseconds.
	mu       sync.Mutex
	reports  map[string]received // reports is by instance.
}

// received is a report, and when it was received here.
type received struct {
	load wire.LoadReport
	at   time.Time
}

// Report is a report and how long ago it was made.
type Report struct {
	wire.LoadReport
	Made time.Duration
}

// New returns a book without reports.
func New() *Book {
	return &Book{reports: make(map[string]received)}
}

// Expect sets the interval at which instances send reports, which determines the age at which reports expire.
func (b *Book) Expect(interval time.Duration) {
	b.interval.Store(int64(interval))
}

// Interval returns how old a report gets before the next one.
func (b *Book) Interval() time.Duration {
	return time.Duration(b.interval.Load())
}

// All returns the reports that are kept, including those that have expired and were not dropped yet.
func (b *Book) All() []Report {
	return b.list(func(received, time.Time) bool { return true })
}

// Current returns the reports that have not expired.
func (b *Book) Current() []Report {
	return b.list(func(r received, now time.Time) bool { return !b.isExpired(r, now) })
}

func (b *Book) list(keeps func(received, time.Time) bool) []Report {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Report, 0, len(b.reports))
	for _, r := range b.reports {
		if keeps(r, now) {
			list = append(list, Report{r.load, r.age(now)})
		}
	}
	return list
}

// Known returns the versions of the reports.
func (b *Book) Known() []wire.ReportVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make([]wire.ReportVersion, 0, len(b.reports))
	for name, r := range b.reports {
		known = append(known, wire.ReportVersion{Instance: name, Sequence: r.load.Sequence})
	}
	return known
}

// Newer returns the reports that a peer lacks by the versions that it has. It drops expired reports.
func (b *Book) Newer(known []wire.ReportVersion) []wire.LoadReport {
	now := time.Now()
	peerSequences := make(map[string]uint64, len(known))
	for _, version := range known {
		peerSequences[version.Instance] = version.Sequence
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var newer []wire.LoadReport
	for name, r := range b.reports {
		switch {
		case b.isExpired(r, now):
			delete(b.reports, name)
		case r.load.Sequence > peerSequences[name]:
			r.load.Age = r.age(now)
			newer = append(newer, r.load)
		}
	}
	return newer
}

// Merge takes reports, except for those of the given instance, and returns the ones that are newer than those in the book.
func (b *Book) Merge(except string, reports []wire.LoadReport) []wire.LoadReport {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var newer []wire.LoadReport
	for _, report := range reports {
		if known, ok := b.reports[report.Instance]; report.Instance != except && (!ok || report.Sequence > known.load.Sequence) {
			b.reports[report.Instance] = received{load: report, at: now}
			newer = append(newer, report)
		}
	}
	return newer
}

// isExpired reports whether a report is too old to count.
func (b *Book) isExpired(r received, now time.Time) bool {
	return now.Sub(r.at) > max(MinTTL, time.Duration(ttlIntervals*float64(b.Interval())))
}

// age returns how long ago a report was made.
func (r received) age(now time.Time) time.Duration {
	return r.load.Age + now.Sub(r.at)
}
