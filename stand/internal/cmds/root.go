package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"bramleywharf.example/core/opts"
	"github.com/spf13/cobra"
)

// readHeaderTimeout bounds the time a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return opts.Main(newRootCommand(), args)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "stand",
		Short: "Stand-ins for the platform, model engines and plain services",
	}
	root.AddCommand(newEngineCommand(), newPlatformCommand(), newServiceCommand())
	return root
}

// serve serves HTTP on an address until the context ends, then closes open connections.
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
