package cmds

import (
	"fmt"
	"text/tabwriter"
	"time"

	"bramleywharf.example/lab/internal/model"
	"github.com/spf13/cobra"
)

// newModel returns the command that compares routing decisions on a simulated fleet.
func newModel() *cobra.Command {
	s := model.Settings{Models: 6, Slots: 16, Prefixes: 20000, Cached: 128, Lag: 1500 * time.Millisecond, Affinity: 6}
	c := &cobra.Command{
		Use:   "model",
		Short: "Try subset sizes and choices of engines on a modelled fleet",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			_, _ = fmt.Fprintln(w, "SUBSET\tCHOICE\tREQUESTS\tPREFIX HITS\tLOAD p99\tBUSIEST/MEAN\tFOUND FULL")
			for _, subset := range []int{2, 4, 8, 16} {
				for _, strategy := range []string{"balanced", "scanned", "least-loaded", "random"} {
					s.Subset, s.Strategy = subset, strategy
					r := model.Run(s)
					_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%.1f%%\t%.2f\t%.2f\t%.2f%%\n", subset, strategy, r.Requests,
						100*float64(r.Hits)/float64(r.Requests), r.Peak, r.Spread, 100*float64(r.Over)/float64(r.Requests))
				}
			}
			return w.Flush()
		},
	}
	flags := c.Flags()
	flags.IntVar(&s.Instances, "instances", 410, "entry instances")
	flags.IntVar(&s.Targets, "targets", 850, "engines")
	flags.Float64Var(&s.Rate, "rate", 4700, "requests a second")
	flags.DurationVar(&s.Service, "service", 2*time.Second, "mean time of a generation")
	flags.DurationVar(&s.Length, "length", 10*time.Second, "modelled time")
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the random numbers")
	return c
}
