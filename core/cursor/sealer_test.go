package cursor

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func mustNewSealer(c *quicktest.C, secret string) *Sealer {
	s, err := NewSealer([]byte(secret))
	c.Assert(err, quicktest.IsNil)
	return s
}

func TestSealer(t *testing.T) {
	cursor := Cursor{RequestID: "r", Model: "m", Version: "1", Target: "t", Attempt: 2, Offset: 7, Hash: 9, Origin: "o", Backup: "k", MaxTokens: 10}
	cases := map[string]struct {
		organisation string
		secret       string
		tamper       func(string) string
		wantInvalid  bool
	}{
		"same-organisation":  {organisation: "north", secret: "fleet"},
		"other-organisation": {organisation: "south", secret: "fleet", wantInvalid: true},
		"other-fleet":        {organisation: "north", secret: "other", wantInvalid: true},
		"bit-changed":        {organisation: "north", secret: "fleet", tamper: func(s string) string { return s[:9] + differentLetter(s[9]) + s[10:] }, wantInvalid: true},
		"truncated":          {organisation: "north", secret: "fleet", tamper: func(s string) string { return s[:len(s)-4] }, wantInvalid: true},
		"empty":              {organisation: "north", secret: "fleet", tamper: func(string) string { return "" }, wantInvalid: true},
		"not-in-alphabet":    {organisation: "north", secret: "fleet", tamper: func(s string) string { return "!" + s[1:] }, wantInvalid: true},
		"too-long":           {organisation: "north", secret: "fleet", tamper: func(s string) string { return s + string(make([]byte, MaxIDBytes)) }, wantInvalid: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			id, err := mustNewSealer(c, "fleet").Seal("north", cursor)
			c.Assert(err, quicktest.IsNil)
			if test.tamper != nil {
				id = test.tamper(id)
			}
			got, err := mustNewSealer(c, test.secret).Open(test.organisation, id)
			if test.wantInvalid {
				c.Assert(errors.Is(err, ErrInvalidID), quicktest.IsTrue)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Assert(got, quicktest.Equals, cursor)
		})
	}
}

// differentLetter returns a letter of the base64 alphabet other than b.
func differentLetter(b byte) string {
	if b == 'A' {
		return "B"
	}
	return "A"
}

func FuzzOpen(f *testing.F) {
	s, err := NewSealer([]byte("fleet"))
	if err != nil {
		f.Fatal(err)
	}
	id, err := s.Seal("north", Cursor{RequestID: "r"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(id[:10])
	f.Fuzz(func(t *testing.T, candidate string) {
		if _, err := s.Open("north", candidate); err == nil && candidate != id {
			t.Errorf("opened %q, which was not sealed", candidate)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	s, err := NewSealer([]byte("fleet"))
	if err != nil {
		b.Fatal(err)
	}
	cursor := Cursor{RequestID: NewID(), Model: "boot-design", Version: "2026-11", Target: "engine-b", Attempt: 1, Offset: 70000, Hash: 1 << 60, Origin: "entry-1", Backup: "entry-2", MaxTokens: 100000, RunID: "ABCDEFGHIJKL"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Seal("north", cursor); err != nil {
			b.Fatal(err)
		}
	}
}
