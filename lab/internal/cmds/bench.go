package cmds

import (
	"bramleywharf.example/lab/internal/bench"
	"github.com/spf13/cobra"
)

// newBench returns the command that measures resume latency and extra engine work after faults.
func newBench() *cobra.Command {
	s := bench.Settings{}
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure resume latency and extra engine work for each recovery policy",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Run(c.Context(), s, c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringSliceVar(&s.Entries, "entries", nil, "instances as caller-address=pid-file")
	flags.StringSliceVar(&s.Engines, "engines", nil, "engines as address=pid-file")
	flags.StringSliceVar(&s.Policies, "policies", nil, "policy=key of an organisation that has it")
	flags.StringVar(&s.Model, "model", "m", "model to use")
	flags.IntVar(&s.Rounds, "rounds", 5, "rounds for each policy and fault")
	flags.IntVar(&s.Streams, "streams", 8, "generations at once")
	return c
}
