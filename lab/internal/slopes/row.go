package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/lab/internal/caller"
)

// Row is one measurement at one size.
type Row struct {
	Series string             `json:"series"` // Series names what is varied: instances, organisations or tokens.
	Size   float64            `json:"size"`   // Size is the number of instances, organisations or streams.
	Values map[string]float64 `json:"values"`
}

// The names of the metrics that rows are computed from.
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

// Settings configures one measurement.
type Settings struct {
	Series   string
	Size     float64
	Admins   []string      // Admins holds the admin addresses of the instances to measure.
	Callers  []string      // Callers holds the caller addresses of the instances to load.
	For      time.Duration // For is the duration of the measurement.
	Platform store.Store
	Keys     []string // Keys holds a key for each organisation that calls.
	Streams  int      // Streams is the number of long generations at once.
	Starts   float64  // Starts is the number of short generations that each organisation starts a second.
	Model    string
}

// Measure puts load on the instances and measures one row.
func Measure(ctx context.Context, s Settings) (Row, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	var failures atomic.Int64
	startLoad(loadCtx, s, &callers, &failures)
	if s.Streams > 0 || s.Starts > 0 {
		wait.Sleep(ctx, s.For/2)
	}
	before, err := scrapeAll(ctx, s.Admins)
	if err != nil {
		return Row{}, err
	}
	start := time.Now()
	wait.Sleep(ctx, s.For)
	after, err := scrapeAll(ctx, s.Admins)
	if err != nil {
		return Row{}, err
	}
	seconds := time.Since(start).Seconds()
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
		"refused":              float64(failures.Load()),
	}}
	if s.Series == "instances" {
		delay, err := propagationDelay(ctx, s)
		if err != nil {
			return Row{}, err
		}
		row.Values["in-force-s"] = delay.Seconds()
	}
	stopLoad()
	callers.Wait()
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

// startLoad starts the callers of a measurement, which run until the context ends.
func startLoad(ctx context.Context, s Settings, callers *sync.WaitGroup, failures *atomic.Int64) {
	for i := range s.Streams {
		callers.Go(func() {
			c := caller.New(s.Keys[i%len(s.Keys)])
			for ctx.Err() == nil {
				var a caller.Answer
				err := c.Stream(ctx, s.Callers[0], caller.Request{Model: s.Model, Prompt: "kit brief", MaxTokens: 100_000, Seed: uint64(i)}, &a, nil)
				countFailure(ctx, err, failures)
			}
		})
	}
	if s.Starts == 0 {
		return
	}
	for i, key := range s.Keys {
		callers.Go(func() {
			c := caller.New(key)
			ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Starts))
			defer ticker.Stop()
			for count := 0; ctx.Err() == nil; count++ {
				var a caller.Answer
				address := s.Callers[(i+count%2)%len(s.Callers)]
				err := c.Stream(ctx, address, caller.Request{Model: s.Model, Prompt: "kit brief", MaxTokens: 1, Seed: uint64(count)}, &a, nil)
				countFailure(ctx, err, failures)
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
}

// countFailure counts an error that the end of the measurement did not cause, and waits before the next request.
func countFailure(ctx context.Context, err error, failures *atomic.Int64) {
	if err != nil && ctx.Err() == nil {
		failures.Add(1)
		wait.Sleep(ctx, 100*time.Millisecond)
	}
}

// propagationDelay changes the configuration 5 times and returns the longest time from the platform's answer until all
// instances have applied the change.
func propagationDelay(ctx context.Context, s Settings) (time.Duration, error) {
	var longest time.Duration
	for range 5 {
		raw := []byte(`{"key-hash":"` + fmt.Sprintf("%064x", time.Now().UnixNano()) + `"}`)
		object := store.Object{Kind: conf.KindOrganisation, Name: "changed", Value: raw, WriteID: cursor.NewID()}
		if stored, err := s.Platform.Get(ctx, object.Kind, object.Name); err == nil {
			object.Revision = stored.Revision
		}
		revision, err := s.Platform.Put(ctx, object)
		if err != nil {
			return 0, fmt.Errorf("change the configuration: %w", err)
		}
		start := time.Now()
		for {
			samples, err := scrapeAll(ctx, s.Admins)
			if err != nil {
				return 0, err
			}
			if lowest(samples, metricRevision) >= float64(revision) {
				break
			}
			wait.Sleep(ctx, 5*time.Millisecond)
		}
		longest = max(longest, time.Since(start))
	}
	return longest, nil
}

// lowest returns the lowest value of a metric among the instances.
func lowest(samples []sample, name string) float64 {
	least := samples[0][name]
	for _, s := range samples {
		least = min(least, s[name])
	}
	return least
}
