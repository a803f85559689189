package cmds

import (
	"fmt"
	"io"
	"time"

	"bramleywharf.example/lab/internal/soak"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// errViolated is returned when a run violated a guarantee.
var errViolated = errors.New("a promise did not hold")

// newSoak returns the command that runs real processes under random faults.
func newSoak() *cobra.Command {
	s := soak.Settings{}
	var firstSeed, seedCount uint64
	var verbose bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real processes under random faults and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := firstSeed; seed < firstSeed+seedCount; seed++ {
				s.Seed = seed
				if !runSeed(c.OutOrStdout(), s, verbose) {
					failed++
				}
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%d passed, %d failed\n", seedCount-uint64(failed), failed)
			if failed > 0 {
				return errViolated
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&s.Program, "program", "bin/platform", "program that is run")
	flags.Uint64Var(&firstSeed, "seed", 1, "first seed")
	flags.Uint64Var(&seedCount, "seeds", 1, "number of seeds, one after the other")
	flags.DurationVar(&s.Length, "length", 20*time.Second, "length of one run")
	flags.IntVar(&s.Instances, "instances", 4, "processes")
	flags.IntVar(&s.Targets, "targets", 9, "stand-ins for targets")
	flags.IntVar(&s.Callers, "callers", 12, "callers")
	flags.IntVar(&s.Network, "network", 78, "number of the loopback network, so that runs can stand beside each other")
	flags.BoolVar(&s.Drills, "drills", true, "have the store come back from copies too")
	flags.BoolVar(&verbose, "verbose", false, "print the events of each run")
	return c
}

// runSeed runs one seed and reports whether all guarantees held.
func runSeed(out io.Writer, s soak.Settings, verbose bool) bool {
	eventLog := io.Discard
	if verbose {
		eventLog = out
	}
	r, err := soak.Run(s, eventLog)
	if err != nil {
		r.Broken = append(r.Broken, err.Error())
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d events, %d starts, %d broken\n", s.Seed, r.Requests, r.Served, len(r.Plan), r.Starts, len(r.Broken))
	for _, violation := range r.Broken {
		_, _ = fmt.Fprintf(out, "  %s\n", violation)
	}
	return len(r.Broken) == 0
}
