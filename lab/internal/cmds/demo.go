package cmds

import (
	"bramleywharf.example/lab/internal/demo"
	"github.com/spf13/cobra"
)

// newDemo returns the command that runs the demo against running processes.
func newDemo() *cobra.Command {
	settings := demo.Settings{}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Stream, order, kill and stop against running processes, and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), settings, c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringSliceVar(&settings.Entries, "entries", nil, "entry instances as caller-address=admin-address=pid")
	flags.StringSliceVar(&settings.Engines, "engines", nil, "engines as address=pid")
	flags.StringSliceVar(&settings.Services, "services", nil, "addresses of the plain services")
	flags.StringVar(&settings.Key, "key", "", "key of the organisation that calls")
	flags.StringVar(&settings.Model, "model", "boot-design", "model to use")
	flags.StringVar(&settings.Service, "service", "engraving", "plain service to use")
	flags.BoolVar(&settings.Drill, "drill", false, "add pauses of processes and an outage of the platform")
	flags.StringVar(&settings.Platform, "platform", "", "base URL of the platform stand-in, for its faults")
	flags.StringVar(&settings.PlatformToken, "platform-token", "", "bearer token for the platform")
	return c
}
