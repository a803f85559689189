package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"bramleywharf.example/lab/internal/caller"
)

// prompt is what every generation is asked with; its last word makes each prefix its own.
const prompt = "Kit brief for the under twelves of Ballyhaunis: green shirts, gold studs, eleven names and the crest of the town number"

// stream is one generation as a caller sees it, who connects elsewhere when it hears nothing.
type stream struct {
	bench   *bench
	caller  *caller.Caller
	request caller.Request
	answer  caller.Answer
	began   time.Time
	refused bool
}

// newStream returns a stream that has not begun.
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

// run reads the generation to its end, from the first instance and then from the others.
func (s *stream) run(ctx context.Context, each func(count int)) {
	s.began = time.Now()
	for i := 0; ctx.Err() == nil && !s.answer.Done; i++ {
		entry := s.bench.entries[i%len(s.bench.entries)]
		attempt, cancel := context.WithCancel(ctx)
		quiet := time.AfterFunc(patience, cancel)
		_ = s.caller.Stream(attempt, entry.address, s.request, &s.answer, func() {
			quiet.Reset(patience)
			each(len(s.answer.Tokens))
		})
		quiet.Stop()
		cancel()
		if s.answer.Problem != "" {
			s.refused = true
			return
		}
	}
}

// add adds the work of one engine.
func (r *result) add(w work) {
	r.decoded += w.Decoded
	r.prefilled += w.Prefilled
}

// print writes one line of the table.
func (r *result) print(w io.Writer, f Fault, policy string) {
	milliseconds := func(h interface{ ValueAtQuantile(float64) int64 }, q float64) string {
		return fmt.Sprintf("%.0f ms", float64(h.ValueAtQuantile(q))/1000)
	}
	share := func(extra int) string {
		return fmt.Sprintf("%.1f%%", 100*float64(extra)/float64(max(1, r.useful)))
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%.0f ms\t%s\t%s\t%s\t%.1f ms\t%d\t%d\n",
		f.Name(), policy, r.gaps.TotalCount(),
		milliseconds(r.gaps, 50), milliseconds(r.gaps, 95), milliseconds(r.gaps, 99), float64(r.gaps.Max())/1000,
		share(r.decoded-r.useful), share(r.prefilled-r.calm),
		milliseconds(r.first, 95), float64(r.between.ValueAtQuantile(95))/1000, r.refused, r.wrong)
}

// take adds one stream; the answer is compared with one that nothing disturbs by its length here and by its text in the matrix.
func (r *result) take(s *stream) {
	if s.refused {
		r.refused++
		return
	}
	if !s.answer.Done || len(s.answer.Tokens) != answerTokens {
		r.wrong++
	}
	r.useful += len(s.answer.Tokens)
	r.calm += len(strings.Fields(s.request.Prompt))
	_ = r.gaps.RecordValue(s.answer.LongestGap().Microseconds())
	if len(s.answer.Times) > 0 {
		_ = r.first.RecordValue(s.answer.Times[0].Sub(s.began).Microseconds())
	}
	for i := 1; i < len(s.answer.Times); i++ {
		_ = r.between.RecordValue(s.answer.Times[i].Sub(s.answer.Times[i-1]).Microseconds())
	}
}
