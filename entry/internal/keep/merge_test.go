package keep

import (
	"testing"

	"bramleywharf.example/core/wire"
	"github.com/frankban/quicktest"
)

func TestMerge(t *testing.T) {
	header := wire.GenerationLog{Request: "r", AttemptID: "r.1", Target: "e"}
	full := wire.GenerationLog{Request: "r", AttemptID: "r.1", Target: "e", Prompt: "p", Tokens: []string{"a", "b"}}
	with := func(l wire.GenerationLog, change func(*wire.GenerationLog)) wire.GenerationLog {
		change(&l)
		return l
	}
	cases := map[string]struct {
		old, update, want wire.GenerationLog
		ok                bool
	}{
		"header-first":            {update: header, want: header, ok: true},
		"full-log-after-a-header": {old: header, update: full, want: full, ok: true},
		"tokens-without-an-attempt": {
			old: full, update: wire.GenerationLog{Request: "r", Offset: 2, Tokens: []string{"c"}},
			want: with(full, func(l *wire.GenerationLog) { l.Tokens = []string{"a", "b", "c"} }), ok: true,
		},
		"overlapping-tokens": {
			old: full, update: wire.GenerationLog{Request: "r", Offset: 1, Tokens: []string{"b", "c"}},
			want: with(full, func(l *wire.GenerationLog) { l.Tokens = []string{"a", "b", "c"} }), ok: true,
		},
		"another-attempt": {
			old: full, update: wire.GenerationLog{Request: "r", AttemptID: "r.2", Target: "f", Offset: 2, Tokens: []string{"c"}},
			want: with(full, func(l *wire.GenerationLog) { l.AttemptID, l.Target, l.Tokens = "r.2", "f", []string{"a", "b", "c"} }), ok: true,
		},
		"gap":                   {old: full, update: wire.GenerationLog{Request: "r", Offset: 3, Tokens: []string{"d"}}, want: full},
		"unknown-generation":    {update: wire.GenerationLog{Request: "r", Offset: 70, Tokens: []string{"x"}}},
		"tokens-after-a-header": {old: header, update: wire.GenerationLog{Request: "r", Offset: 70, Tokens: []string{"x"}}, want: header},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			got, ok := mergeLog(test.old, test.update)
			c.Assert(ok, quicktest.Equals, test.ok)
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}
