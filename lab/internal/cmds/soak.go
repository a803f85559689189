package cmds

import (
	"fmt"
	"io"
	"time"

	"bramleywharf.example/lab/internal/soak"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// errBroken is returned when a promise did not hold.
var errBroken = errors.New("a promise did not hold")

// newSoak returns the command that runs real processes under random faults.
func newSoak() *cobra.Command {
	s := soak.Settings{}
	var first, count uint64
	var verbose bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real processes under random faults and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+count; seed++ {
				s.Seed = seed
				if !soakOnce(c.OutOrStdout(), s, verbose) {
					failed++
				}
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%d passed, %d failed\n", count-uint64(failed), failed)
			if failed > 0 {
				return errBroken
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&s.Program, "program", "bin/platform", "program that is run")
	flags.Uint64Var(&first, "seed", 1, "first seed")
	flags.Uint64Var(&count, "seeds", 1, "number of seeds, one after the other")
	flags.DurationVar(&s.Length, "length", 20*time.Second, "length of one run")
	flags.IntVar(&s.Instances, "instances", 4, "processes")
	flags.IntVar(&s.Targets, "targets", 9, "stand-ins for targets")
	flags.IntVar(&s.Callers, "callers", 12, "callers")
	flags.IntVar(&s.Network, "network", 78, "number of the loopback network, so that runs can stand beside each other")
	flags.BoolVar(&verbose, "verbose", false, "print the events of each run")
	return c
}

// soakOnce runs one seed and tells whether all promises held.
func soakOnce(out io.Writer, s soak.Settings, verbose bool) bool {
	events := io.Discard
	if verbose {
		events = out
	}
	r, err := soak.Run(s, events)
	if err != nil {
		r.Broken = append(r.Broken, err.Error())
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d events, %d starts, %d broken\n", s.Seed, r.Requests, r.Served, len(r.Plan), r.Starts, len(r.Broken))
	for _, b := range r.Broken {
		_, _ = fmt.Fprintf(out, "  %s\n", b)
	}
	return len(r.Broken) == 0
}
