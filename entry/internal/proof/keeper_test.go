package proof

import (
	"testing"
	"testing/synctest"
)

// TestKeeper checks the answer to a caller that resumes with its event id alone, without the prompt. When its instance
// is lost, the generation goes on from the replica at a peer, its keeper, or at the engine if that still runs it.
func TestKeeper(t *testing.T) {
	cases := map[string]struct {
		fault       string
		afterTokens int // Number of tokens after which the fault is injected; replication starts at 16.
		wantDone    bool
	}{
		"instance-lost":                  {fault: "instance-killed", afterTokens: 60, wantDone: true},
		"instance-lost-early":            {fault: "instance-killed", afterTokens: 3, wantDone: true},
		"instance-paused":                {fault: "instance-paused", afterTokens: 60, wantDone: true},
		"caller-disconnects":             {fault: "caller-disconnects", afterTokens: 3, wantDone: true},
		"engine-and-instance-lost":       {fault: "engine-and-instance-killed", afterTokens: 60, wantDone: true},
		"engine-and-instance-lost-early": {fault: "engine-and-instance-killed", afterTokens: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 5, "latency")
				defer w.close()
				c := newCaller(w, 3, matrixTokens)
				c.omitsPrompt = true
				done := false
				c.onToken = func(count int) {
					if count == test.afterTokens && !done {
						done = true
						generationFaults()[test.fault](w, c)
					}
				}
				o := c.run()
				if failure := c.check(o); failure != "" {
					t.Error(failure)
				}
				if o.done != test.wantDone {
					t.Errorf("generation completed: %t, want %t (%v)", o.done, test.wantDone, o.refusal)
				}
			})
		})
	}
}
