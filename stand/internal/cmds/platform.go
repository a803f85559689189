package cmds

import (
	"time"

	"bramleywharf.example/stand/plat"
	"github.com/spf13/cobra"
)

func newPlatformCommand() *cobra.Command {
	var address string
	settings := plat.Settings{}
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform: object API, instance list and weight store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), address, plat.New(settings))
		},
	}
	flags := c.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&settings.Token, "token", "", "bearer token that callers must show; empty lets everybody in")
	flags.DurationVar(&settings.ListLag, "list-lag", 2*time.Second, "lag of the instance list")
	flags.Float64Var(&settings.Reads, "reads", 2000, "reads a second before calls are refused")
	flags.Float64Var(&settings.Writes, "writes", 300, "writes a second before calls are refused")
	flags.Float64Var(&settings.Weights, "weights", 2, "weight loads a second before calls are refused")
	return c
}
