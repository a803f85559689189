package flow

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		policy      Policy
		signal      Signal
		lostEngines int
		want        Step
	}{
		"latency-silent-races":        {policy: Latency{}, signal: Silent{}, want: Race{}},
		"latency-alive-attaches":      {policy: Latency{}, signal: Alive{}, want: Attach{}},
		"latency-dead-continues":      {policy: Latency{}, signal: Dead{}, want: Continue{}},
		"thrift-severed-probes":       {policy: Thrift{}, signal: Severed{}, want: Probe{}},
		"thrift-alive-attaches":       {policy: Thrift{}, signal: Alive{}, want: Attach{}},
		"thrift-forgotten-continues":  {policy: Thrift{}, signal: Forgotten{}, want: Continue{}},
		"restart-severed-regenerates": {policy: Restart{}, signal: Severed{}, want: Regenerate{}},
		"too-many-lost-engines":       {policy: Latency{}, signal: Dead{}, lostEngines: MaxLostEngines, want: Abandon{}},
		"silence-is-no-loss":          {policy: Latency{}, signal: Silent{}, lostEngines: MaxLostEngines, want: Race{}},
		"last-loss-is-recovered":      {policy: Thrift{}, signal: Dead{}, lostEngines: MaxLostEngines - 1, want: Continue{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.policy, test.signal, test.lostEngines), quicktest.Equals, test.want)
		})
	}
}
