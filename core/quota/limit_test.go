package quota

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestSetLimit guards against accounts that go by an earlier limit, or lose what they hold under a lower one.
func TestSetLimit(t *testing.T) {
	cases := map[string]struct {
		before, after int64
		err           error // err is that of a second hundred bytes under the limit after the change.
	}{
		"raised":  {100, 300, nil},
		"lowered": {300, 100, ErrExhausted},
		"below":   {300, 50, ErrExhausted},
		"removed": {100, 0, nil},
		"set":     {0, 100, ErrExhausted},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			b := New(test.before)
			account := b.Open()
			c.Assert(account.Take(100), quicktest.IsNil)
			b.SetLimit(test.after)
			c.Assert(errors.Is(account.Take(100), test.err), quicktest.IsTrue)
			c.Assert(b.Used() >= 100, quicktest.IsTrue)
			account.Close()
			c.Assert(b.Used(), quicktest.Equals, int64(0))
		})
	}
}
