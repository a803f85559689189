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
		"latency-mute-races":          {policy: Latency{}, signal: Unanswered{}, want: Race{}},
		"latency-stalled-races":       {policy: Latency{}, signal: Stalled{}, want: Race{}},
		"thrift-mute-races":           {policy: Thrift{}, signal: Unanswered{}, want: Race{}},
		"thrift-stalled-races":        {policy: Thrift{}, signal: Stalled{}, want: Race{}},
		"restart-mute-regenerates":    {policy: Restart{}, signal: Unanswered{}, want: Regenerate{}},
		"last-doubt-is-kept":          {policy: Thrift{}, signal: Unanswered{}, lostEngines: MaxLostEngines, want: Wait{}},
		"restart-keeps-no-doubt":      {policy: Restart{}, signal: Unanswered{}, lostEngines: MaxLostEngines, want: Abandon{}},
		"last-loss-is-recovered":      {policy: Thrift{}, signal: Dead{}, lostEngines: MaxLostEngines - 1, want: Continue{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(Decide(test.policy, test.signal, test.lostEngines), quicktest.Equals, test.want)
		})
	}
}
