package reload

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// pair is a type of settings of which one is fixed.
type pair struct {
	Fixed string `fixed:"first"`
	Free  string
}

// parsePair reads a pair from two words; the line break marks its end.
func parsePair(content []byte) (pair, error) {
	first, second, ok := strings.Cut(strings.TrimSpace(string(content)), " ")
	if !ok {
		return pair{}, errors.New("second word is missing")
	}
	return pair{first, second}, nil
}

// TestLook guards against settings that are not applied, or applied with a fault, and changes that nobody is told of.
func TestLook(t *testing.T) {
	cases := map[string]struct {
		contents []string // contents are written one after the other, with a look after each; "" removes the file.
		want     pair
		lines    []string
	}{
		"unchanged":                 {[]string{"a b\n"}, pair{"a", "b"}, nil},
		"same-settings":             {[]string{"a b \n"}, pair{"a", "b"}, nil},
		"changed":                   {[]string{"a c\n"}, pair{"a", "c"}, []string{"settings applied"}},
		"changed-back":              {[]string{"a c\n", "a b\n"}, pair{"a", "b"}, []string{"settings applied", "settings applied"}},
		"fixed-one-changed":         {[]string{"x b\n"}, pair{"x", "b"}, []string{"settings applied", "setting applies only after a restart; keeping the one of the start"}},
		"with-a-fault":              {[]string{"c"}, pair{"a", "b"}, []string{"settings cannot be read; keeping the current ones"}},
		"fault-is-told-once":        {[]string{"c", "c"}, pair{"a", "b"}, []string{"settings cannot be read; keeping the current ones"}},
		"whole-after-a-fault":       {[]string{"a", "a c\n"}, pair{"a", "c"}, []string{"settings cannot be read; keeping the current ones", "settings applied"}},
		"removed":                   {[]string{""}, pair{"a", "b"}, []string{"settings cannot be read; keeping the current ones"}},
		"removed-and-written-again": {[]string{"", "a c\n"}, pair{"a", "c"}, []string{"settings cannot be read; keeping the current ones", "settings applied"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			path := filepath.Join(t.TempDir(), "settings")
			handler := memory.New()
			f := newFile(Settings[pair]{Path: path, Parse: parsePair}, pair{"a", "b"}, &log.Logger{Handler: handler, Level: log.InfoLevel})
			for _, content := range test.contents {
				if content == "" {
					c.Assert(os.RemoveAll(path), quicktest.IsNil)
				} else {
					c.Assert(os.WriteFile(path, []byte(content), 0o600), quicktest.IsNil)
				}
				f.Look()
			}
			c.Assert(f.Current().Load(), quicktest.Equals, test.want)
			var lines []string
			for _, entry := range handler.Entries {
				lines = append(lines, entry.Message)
			}
			c.Assert(lines, quicktest.DeepEquals, test.lines)
		})
	}
}

// TestLookWhileWritten guards against settings that are applied from a file of which only a part is written.
func TestLookWhileWritten(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	var parsed []string
	f := newFile(Settings[pair]{Path: path, Parse: func(content []byte) (pair, error) {
		parsed = append(parsed, string(content))
		return parsePair(content)
	}}, pair{"a", "b"}, &log.Logger{Handler: memory.New()})
	c.Assert(os.WriteFile(path, []byte("a c"), 0o600), quicktest.IsNil)
	time.AfterFunc(settleTime/2, func() { c.Check(os.WriteFile(path, []byte("a cd\n"), 0o600), quicktest.IsNil) })
	for !f.Look() {
		time.Sleep(settleTime)
	}
	c.Assert(f.Current().Load(), quicktest.Equals, pair{"a", "cd"})
	c.Assert(parsed, quicktest.DeepEquals, []string{"a cd\n"})
}
