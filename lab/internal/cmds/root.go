package cmds

import (
	"bramleywharf.example/core/opts"
	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return opts.Main(newRoot(), args)
}

// newRoot returns the root command.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "lab",
		Short: "Drive, break and measure bramleywharf",
	}
	root.AddCommand(newBench(), newDemo(), newModel(), newSlopes(), newSoak())
	return root
}
