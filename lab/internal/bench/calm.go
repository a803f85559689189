package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tmaxmax/go-sse"
)

// undisturbedStreams is the number of generations on each path.
const undisturbedStreams = 8

// measureUndisturbed measures generations without a fault, directly from an engine and through an instance. The
// difference is what the instance adds.
func (b *bench) measureUndisturbed(ctx context.Context, key string) error {
	w := tabwriter.NewWriter(b.out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WAY\tSTREAMS\tFIRST TOKEN p50\tp95\tBETWEEN p50\tp95\tp99")
	for _, path := range []string{"engine itself", "through an instance"} {
		timeToFirstToken := hdrhistogram.New(1, histogramMax, histogramDigits)
		timeBetweenTokens := hdrhistogram.New(1, histogramMax, histogramDigits)
		for range undisturbedStreams {
			b.seed++
			s := newStream(b, key, b.seed)
			s.start = time.Now()
			if path == "engine itself" {
				if err := s.readDirect(ctx); err != nil {
					return err
				}
			} else {
				s.run(ctx, func(int) {})
			}
			times := s.answer.Times
			for i := range times {
				if i == 0 {
					_ = timeToFirstToken.RecordValue(times[0].Sub(s.start).Microseconds())
					continue
				}
				_ = timeBetweenTokens.RecordValue(times[i].Sub(times[i-1]).Microseconds())
			}
		}
		ms := func(h *hdrhistogram.Histogram, q float64) string {
			return fmt.Sprintf("%.2f ms", float64(h.ValueAtQuantile(q))/1000)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", path, timeToFirstToken.TotalCount(), ms(timeToFirstToken, 50), ms(timeToFirstToken, 95), ms(timeBetweenTokens, 50), ms(timeBetweenTokens, 95), ms(timeBetweenTokens, 99))
	}
	return w.Flush()
}

// readDirect reads the generation directly from the first engine.
func (s *stream) readDirect(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{
		"id": fmt.Sprint("direct-", s.request.Seed), "model": s.request.Model, "version": "1",
		"prompt": s.request.Prompt, "seed": s.request.Seed, "max-tokens": s.request.MaxTokens,
	})
	if err != nil {
		return fmt.Errorf("encode generation request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.bench.engines[0].address+"/v1/generations", strings.NewReader(string(body)))
	if err != nil {
		return fmt.Errorf("build generation request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("start generation: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	for e, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return fmt.Errorf("read generation: %w", err)
		}
		if e.Type != "end" {
			s.answer.Times = append(s.answer.Times, time.Now())
		}
	}
	return nil
}
