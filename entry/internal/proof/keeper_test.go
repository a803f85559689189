package proof

import (
	"testing"
	"testing/synctest"
)

// TestKeeper checks what a caller gets that comes back with its event id alone, when only the keeper still has its prompt.
func TestKeeper(t *testing.T) {
	cases := map[string]struct {
		fault string
		at    int // at is the number of tokens at which the fault comes; copies begin at 16.
		whole bool
	}{
		"instance-lost":                  {fault: "instance-killed", at: 60, whole: true},
		"instance-lost-early":            {fault: "instance-killed", at: 3, whole: true},
		"instance-paused":                {fault: "instance-paused", at: 60, whole: true},
		"caller-moves":                   {fault: "caller-leaves", at: 3, whole: true},
		"engine-and-instance-lost":       {fault: "engine-and-instance-killed", at: 60, whole: true},
		"engine-and-instance-lost-early": {fault: "engine-and-instance-killed", at: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 5, "latency")
				defer w.close()
				c := newCaller(w, 3, matrixTokens)
				c.forgetful = true
				done := false
				c.each = func(count int) {
					if count == test.at && !done {
						done = true
						generationFaults()[test.fault](w, c)
					}
				}
				o := c.run()
				if wrong := c.check(o); wrong != "" {
					t.Error(wrong)
				}
				if o.done != test.whole {
					t.Errorf("whole answer: %t, want %t (%v)", o.done, test.whole, o.refusal)
				}
			})
		})
	}
}
