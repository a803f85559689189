package cmds

import (
	"time"

	"bramleywharf.example/stand/plain"
	"github.com/spf13/cobra"
)

func newServiceCommand() *cobra.Command {
	var address, name string
	var delay time.Duration
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service stand-in that counts every call it executes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), address, plain.New(name, delay))
		},
	}
	flags := c.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&name, "name", "service", "name of the service instance")
	flags.DurationVar(&delay, "delay", 5*time.Millisecond, "time that a call takes")
	return c
}
