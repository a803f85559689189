package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleywharf.example/core/opts"
	"github.com/spf13/cobra"
)

// readHeaderTimeout bounds the time a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 1
	}
	return 0
}

// newRoot returns the root command.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "stand",
		Short:         "Stand-ins for the platform, model engines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			return opts.ReadEnv(c.Flags())
		},
	}
	root.AddCommand(newEngine(), newPlatform(), newService())
	return root
}

// serve answers HTTP on an address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
