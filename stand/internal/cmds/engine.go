package cmds

import (
	"time"

	"bramleywharf.example/stand/engine"
	"github.com/spf13/cobra"
)

func newEngineCommand() *cobra.Command {
	var address string
	settings := engine.Settings{}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine stand-in",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), address, engine.New(settings))
		},
	}
	flags := c.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&settings.Name, "name", "engine", "name of the engine")
	flags.DurationVar(&settings.Gap, "token-gap", 20*time.Millisecond, "time between tokens")
	flags.DurationVar(&settings.Prefill, "prefill-gap", 50*time.Microsecond, "time to read one token of prompt or prefix")
	flags.IntVar(&settings.Slots, "slots", 32, "generations batched at once")
	flags.BoolVar(&settings.IgnoreFencing, "ignore-fencing", false, "take orders with an old fencing number")
	return c
}
