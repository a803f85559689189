package opts

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs a command whose context is cancelled by SIGINT or SIGTERM.
// Flags are read from the environment first, unless the command has a PersistentPreRunE of its own.
func Execute(root *cobra.Command, args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SilenceUsage = true
	root.SilenceErrors = true
	if root.PersistentPreRunE == nil {
		root.PersistentPreRunE = func(command *cobra.Command, _ []string) error { return ReadEnv(command.Flags()) }
	}
	root.SetArgs(args)
	return root.ExecuteContext(ctx)
}

// Main runs a command, prints its error and returns the exit code.
func Main(root *cobra.Command, args []string) int {
	if err := Execute(root, args); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
		return 1
	}
	return 0
}
