package keep

import (
	"testing"

	"bramleywharf.example/core/wire"
	"github.com/frankban/quicktest"
)

func TestMerge(t *testing.T) {
	stub := wire.Log{Request: "r", AttemptID: "r.1", Target: "e"}
	whole := wire.Log{Request: "r", AttemptID: "r.1", Target: "e", Prompt: "p", Tokens: []string{"a", "b"}}
	with := func(l wire.Log, change func(*wire.Log)) wire.Log {
		change(&l)
		return l
	}
	cases := map[string]struct {
		old, news, want wire.Log
		ok              bool
	}{
		"first-stub":         {news: stub, want: stub, ok: true},
		"whole-after-a-stub": {old: stub, news: whole, want: whole, ok: true},
		"tokens-alone": {
			old: whole, news: wire.Log{Request: "r", Offset: 2, Tokens: []string{"c"}},
			want: with(whole, func(l *wire.Log) { l.Tokens = []string{"a", "b", "c"} }), ok: true,
		},
		"told-twice": {
			old: whole, news: wire.Log{Request: "r", Offset: 1, Tokens: []string{"b", "c"}},
			want: with(whole, func(l *wire.Log) { l.Tokens = []string{"a", "b", "c"} }), ok: true,
		},
		"another-attempt": {
			old: whole, news: wire.Log{Request: "r", AttemptID: "r.2", Target: "f", Offset: 2, Tokens: []string{"c"}},
			want: with(whole, func(l *wire.Log) { l.AttemptID, l.Target, l.Tokens = "r.2", "f", []string{"a", "b", "c"} }), ok: true,
		},
		"gap":                    {old: whole, news: wire.Log{Request: "r", Offset: 3, Tokens: []string{"d"}}, want: whole},
		"tokens-without-a-start": {news: wire.Log{Request: "r", Offset: 70, Tokens: []string{"x"}}},
		"tokens-after-a-stub":    {old: stub, news: wire.Log{Request: "r", Offset: 70, Tokens: []string{"x"}}, want: stub},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			got, ok := merge(test.old, test.news)
			c.Assert(ok, quicktest.Equals, test.ok)
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}
