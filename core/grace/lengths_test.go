package grace

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestFits guards against requests that are begun although they cannot end, and against those that are rejected although
// they can.
func TestFits(t *testing.T) {
	const s = time.Second
	cases := map[string]struct {
		recent      []time.Duration
		times       int // times is how often recent is repeated.
		taken, left time.Duration
		want        bool
	}{
		"nothing-known":               {nil, 0, 0, s, true},
		"too-few-known":               {[]time.Duration{9 * s}, minCount - 1, 0, s, true},
		"all-longer":                  {[]time.Duration{9 * s}, minCount, 0, s, false},
		"all-shorter":                 {[]time.Duration{9 * s}, minCount, 0, 10 * s, true},
		"most-longer":                 {[]time.Duration{s, 9 * s, 9 * s}, 5, 0, 5 * s, false},
		"most-shorter":                {[]time.Duration{s, s, 9 * s}, 5, 0, 5 * s, true},
		"half-longer":                 {[]time.Duration{s, 9 * s}, 5, 0, 5 * s, true},
		"nothing-left":                {[]time.Duration{s}, minCount, 0, 0, false},
		"past-its-end":                {[]time.Duration{s}, minCount, 0, -s, false},
		"in-progress-ends":            {[]time.Duration{9 * s}, minCount, 6 * s, 5 * s, true},
		"in-progress-does-not-end":    {[]time.Duration{s, s, s, 9 * s}, 5, 2 * s, 5 * s, false},
		"in-progress-longer-than-all": {[]time.Duration{s}, minCount, 2 * s, s, true},
		"old-ones-are-forgotten":      {append([]time.Duration{9 * s}, repeated(s, recentCount)...), 1, 0, 5 * s, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var l Lengths
			for range test.times {
				for _, length := range test.recent {
					l = l.With(length)
				}
			}
			quicktest.Assert(t, l.Fits(test.taken, test.left), quicktest.Equals, test.want)
		})
	}
}

// TestWithKeepsOldLengths guards against a value that changes while another goroutine reads it.
func TestWithKeepsOldLengths(t *testing.T) {
	var old Lengths
	for range minCount {
		old = old.With(time.Second)
	}
	next := old
	for range recentCount {
		next = next.With(time.Minute)
	}
	quicktest.Assert(t, old.Fits(0, 2*time.Second), quicktest.IsTrue)
	quicktest.Assert(t, next.Fits(0, 2*time.Second), quicktest.IsFalse)
}

func repeated(length time.Duration, count int) []time.Duration {
	lengths := make([]time.Duration, count)
	for i := range lengths {
		lengths[i] = length
	}
	return lengths
}
