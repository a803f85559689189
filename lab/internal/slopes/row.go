package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/token"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/lab/internal/caller"
)

// Row is one measurement at one size.
type Row struct {
	Series string             `json:"series"` // Series names what is varied: instances, organisations or tokens.
	Size   float64            `json:"size"`
	Values map[string]float64 `json:"values"`
}

// The metrics that rows are computed from.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricMemory   = "process_resident_memory_bytes"
	metricPeer     = "bramleywharf_peer_wire_bytes"
	metricReports  = "bramleywharf_target_report_bytes_total"
	metricPlatform = "bramleywharf_platform_bytes_total"
	metricReads    = "bramleywharf_platform_reads_total"
	metricWrites   = "bramleywharf_platform_writes_total"
	metricTokens   = "bramleywharf_tokens_relayed_total"
	metricConns    = "bramleywharf_peer_connections"
	metricRevision = "bramleywharf_config_revision"
	metricRunning  = "bramleywharf_generations_running"
)

// Settings says what to measure.
type Settings struct {
	Series   string
	Size     float64
	Admins   []string
	Callers  []string
	For      time.Duration
	Platform store.Store
	Keys     []string // Keys holds a key for each organisation that calls.
	Streams  int      // Streams is the number of long generations at once.
	Starts   float64  // Starts is the number of short generations that each organisation starts a second.
	Model    string
}

// Measure measures one row.
func Measure(ctx context.Context, s Settings) (Row, error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	var refused atomic.Int64
	load(loading, s, &group, &refused)
	if s.Streams > 0 || s.Starts > 0 {
		wait.For(ctx, s.For/2)
	}
	before, err := scrapeAll(ctx, s.Admins)
	if err != nil {
		return Row{}, err
	}
	began := time.Now()
	wait.For(ctx, s.For)
	after, err := scrapeAll(ctx, s.Admins)
	if err != nil {
		return Row{}, err
	}
	seconds := time.Since(began).Seconds()
	rate := func(name string) float64 { return (mean(after, name) - mean(before, name)) / seconds }
	row := Row{Series: s.Series, Size: s.Size, Values: map[string]float64{
		"cpu-share":            rate(metricCPU),
		"memory-bytes":         mean(after, metricMemory),
		"peer-bytes-per-s":     rate(metricPeer),
		"report-bytes-per-s":   rate(metricReports),
		"platform-bytes-per-s": rate(metricPlatform),
		"fleet-reads-per-s":    rate(metricReads) * float64(len(s.Admins)),
		"fleet-writes-per-s":   rate(metricWrites) * float64(len(s.Admins)),
		"tokens-per-s":         rate(metricTokens),
		"peer-connections":     mean(after, metricConns),
		"running":              mean(after, metricRunning),
		"refused":              float64(refused.Load()),
	}}
	if s.Series == "instances" {
		spread, err := propagation(ctx, s)
		if err != nil {
			return Row{}, err
		}
		row.Values["in-force-s"] = spread.Seconds()
	}
	stop()
	group.Wait()
	return row, nil
}

// Write writes the row as a line of JSON.
func (r Row) Write(out interface{ Write([]byte) (int, error) }) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	_, err = out.Write(append(line, '\n'))
	return err
}

// load runs the callers of a measurement until the context ends.
func load(ctx context.Context, s Settings, group *sync.WaitGroup, refused *atomic.Int64) {
	for i := range s.Streams {
		group.Go(func() {
			c := caller.New(s.Keys[i%len(s.Keys)])
			for ctx.Err() == nil {
				var a caller.Answer
				err := c.Stream(ctx, s.Callers[0], caller.Request{Model: s.Model, Prompt: "kit brief", MaxTokens: 100_000, Seed: uint64(i)}, &a, nil)
				note(ctx, err, refused)
			}
		})
	}
	if s.Starts == 0 {
		return
	}
	for i, key := range s.Keys {
		group.Go(func() {
			c := caller.New(key)
			tick := time.NewTicker(time.Duration(float64(time.Second) / s.Starts))
			defer tick.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				var a caller.Answer
				at := s.Callers[(i+n%2)%len(s.Callers)]
				err := c.Stream(ctx, at, caller.Request{Model: s.Model, Prompt: "kit brief", MaxTokens: 1, Seed: uint64(n)}, &a, nil)
				note(ctx, err, refused)
				select {
				case <-ctx.Done():
				case <-tick.C:
				}
			}
		})
	}
}

// note counts a failure that the end of the measurement did not cause, and waits a little after it.
func note(ctx context.Context, err error, refused *atomic.Int64) {
	if err != nil && ctx.Err() == nil {
		refused.Add(1)
		wait.For(ctx, 100*time.Millisecond)
	}
}

// propagation returns the time from the platform's answer to a change until the last instance has it in force.
func propagation(ctx context.Context, s Settings) (time.Duration, error) {
	var worst time.Duration
	for range 5 {
		raw := []byte(`{"key-hash":"` + fmt.Sprintf("%064x", time.Now().UnixNano()) + `"}`)
		o := store.Object{Kind: conf.KindOrganisation, Name: "changed", Value: raw, WriteID: token.NewID()}
		if old, err := s.Platform.Get(ctx, o.Kind, o.Name); err == nil {
			o.Revision = old.Revision
		}
		revision, err := s.Platform.Put(ctx, o)
		if err != nil {
			return 0, fmt.Errorf("change the configuration: %w", err)
		}
		began := time.Now()
		for {
			samples, err := scrapeAll(ctx, s.Admins)
			if err != nil {
				return 0, err
			}
			if lowest(samples, metricRevision) >= float64(revision) {
				break
			}
			wait.For(ctx, 5*time.Millisecond)
		}
		worst = max(worst, time.Since(began))
	}
	return worst, nil
}

// lowest returns the lowest value of a metric.
func lowest(samples []sample, name string) float64 {
	least := samples[0][name]
	for _, s := range samples {
		least = min(least, s[name])
	}
	return least
}
