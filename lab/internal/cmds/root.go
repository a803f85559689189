package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bramleywharf.example/core/opts"
	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 1
	}
	return 0
}

// newRoot returns the root command.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "lab",
		Short:         "Drive, break and measure bramleywharf",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			return opts.ReadEnv(c.Flags())
		},
	}
	root.AddCommand(newBench(), newDemo(), newModel(), newSlopes())
	return root
}
