package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestSilence(t *testing.T) {
	slow := PauseEstimate{}.WithPause(time.Second)
	cases := map[string]struct {
		silence                         Silence
		timeout, probeDelay, probeEvery time.Duration
	}{
		"reads-prompt":              {Silence{PromptTokens: 8000}, 10 * time.Second, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"reads-prompt-domain-loss":  {Silence{PromptTokens: 8000, DomainLoss: true}, 10 * time.Second, 125 * time.Millisecond, 300 * time.Millisecond},
		"from-replica":              {Silence{FromReplica: true, PromptTokens: 8000}, 1500 * time.Millisecond, 250 * time.Millisecond, 1200 * time.Millisecond},
		"between-events":            {Silence{Begun: true}, 500 * time.Millisecond, 250 * time.Millisecond, 1200 * time.Millisecond},
		"between-events-of-slow":    {Silence{Begun: true, Pauses: slow}, 660 * time.Millisecond, 360 * time.Millisecond, 1200 * time.Millisecond},
		"slow-and-domain-loss":      {Silence{Begun: true, DomainLoss: true, Pauses: slow}, 660 * time.Millisecond, 180 * time.Millisecond, 300 * time.Millisecond},
		"replica-then-next-of-slow": {Silence{Begun: true, FromReplica: true, Pauses: slow}, 660 * time.Millisecond, 360 * time.Millisecond, 1200 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(test.silence.Timeout().Round(time.Millisecond), quicktest.Equals, test.timeout)
			c.Assert(test.silence.ProbeDelay().Round(time.Millisecond), quicktest.Equals, test.probeDelay)
			c.Assert(test.silence.ProbeInterval(), quicktest.Equals, test.probeEvery)
		})
	}
}
