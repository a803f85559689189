package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"bramleywharf.example/lab/internal/caller"
)

// prompt follows the seed in the prompt of each generation, so that no two generations share a cached prefix.
const prompt = "Kit brief for the under twelves of Ballyhaunis: green shirts, gold studs, eleven names and the crest of the town number"

// stream is one generation as a caller receives it. The caller connects to another instance when no event arrives.
type stream struct {
	bench   *bench
	caller  *caller.Caller
	request caller.Request
	answer  caller.Answer
	start   time.Time
	refused bool // refused tells that an error event ended the generation.
}

// newStream returns a stream that has not started.
func newStream(b *bench, key string, seed uint64) *stream {
	return &stream{
		bench:  b,
		caller: caller.New(key),
		request: caller.Request{
			Model:     b.settings.Model,
			Prompt:    fmt.Sprintf("%d %s", seed, prompt),
			MaxTokens: answerTokens,
			Seed:      seed,
		},
	}
}

// run reads the generation to its end, from the first instance and then from the others in turn.
func (s *stream) run(ctx context.Context, onEvent func(count int)) {
	s.start = time.Now()
	for i := 0; ctx.Err() == nil && !s.answer.Done; i++ {
		entry := s.bench.entries[i%len(s.bench.entries)]
		attemptCtx, cancel := context.WithCancel(ctx)
		silenceTimer := time.AfterFunc(callerTimeout, cancel)
		_ = s.caller.Stream(attemptCtx, entry.address, s.request, &s.answer, func() {
			silenceTimer.Reset(callerTimeout)
			onEvent(len(s.answer.Tokens))
		})
		silenceTimer.Stop()
		cancel()
		if s.answer.Problem != "" {
			s.refused = true
			return
		}
	}
}

// addWork adds the work of one engine.
func (r *result) addWork(w engineWork) {
	r.decodedTokens += w.Decoded
	r.prefilledTokens += w.Prefilled
}

// print prints the result as a line of the table.
func (r *result) print(w io.Writer, f Fault, policy string) {
	milliseconds := func(h interface{ ValueAtQuantile(float64) int64 }, q float64) string {
		return fmt.Sprintf("%.0f ms", float64(h.ValueAtQuantile(q))/1000)
	}
	percent := func(extra int) string {
		return fmt.Sprintf("%.1f%%", 100*float64(extra)/float64(max(1, r.usefulTokens)))
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%.0f ms\t%s\t%s\t%s\t%.1f ms\t%d\t%d\n",
		f.Name(), policy, r.longestGaps.TotalCount(),
		milliseconds(r.longestGaps, 50), milliseconds(r.longestGaps, 95), milliseconds(r.longestGaps, 99), float64(r.longestGaps.Max())/1000,
		percent(r.decodedTokens-r.usefulTokens), percent(r.prefilledTokens-r.promptTokens),
		milliseconds(r.timeToFirstToken, 95), float64(r.timeBetweenTokens.ValueAtQuantile(95))/1000, r.refused, r.wrong)
}

// addStream adds one stream. It checks only the length of the answer; the fault matrix checks its text.
func (r *result) addStream(s *stream) {
	if s.refused {
		r.refused++
		return
	}
	if !s.answer.Done || len(s.answer.Tokens) != answerTokens {
		r.wrong++
	}
	r.usefulTokens += len(s.answer.Tokens)
	r.promptTokens += len(strings.Fields(s.request.Prompt))
	_ = r.longestGaps.RecordValue(s.answer.LongestGap().Microseconds())
	if len(s.answer.Times) > 0 {
		_ = r.timeToFirstToken.RecordValue(s.answer.Times[0].Sub(s.start).Microseconds())
	}
	for i := 1; i < len(s.answer.Times); i++ {
		_ = r.timeBetweenTokens.RecordValue(s.answer.Times[i].Sub(s.answer.Times[i-1]).Microseconds())
	}
}
