package cmds

import (
	"fmt"
	"os"

	"bramleywharf.example/core/opts"
	"bramleywharf.example/entry/internal/boot"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/spf13/cobra"
)

// Main runs the program with its command-line arguments and returns the exit code.
func Main(args []string) int {
	return opts.Main(newRootCommand(), args)
}

// newRootCommand returns the command that runs an instance; it has no subcommands.
func newRootCommand() *cobra.Command {
	settings := boot.Settings{}
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance of bramleywharf",
		Long: `Run an entry instance of bramleywharf.

Callers connect to --listen, other instances to --peer-listen and operators to
--admin-listen. Each flag can be given as an environment variable instead:
--fleet-secret is BRAMLEYWHARF_FLEET_SECRET. All faults of the settings are
reported at once.

SIGTERM starts a graceful stop: the instance is left out of address answers,
then takes no new calls, and ends when its last call has its answer.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runInstance(c, &settings)
		},
	}
	settings.Bind(c.Flags())
	return c
}

// runInstance starts an instance and, when the command's context ends, stops it gracefully. It returns at once with
// the error of a server that stopped by itself before that.
func runInstance(c *cobra.Command, settings *boot.Settings) error {
	if err := settings.Check(); err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return fmt.Errorf("--log-level %q: %w", settings.LogLevel, err)
	}
	logger := (&log.Logger{Handler: json.New(os.Stderr), Level: level}).WithField("instance", settings.Name)
	instance, err := boot.Start(*settings, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	logger.Info("started")
	select {
	case <-c.Context().Done():
	case err := <-instance.Failed():
		return err
	}
	instance.Leave()
	<-instance.Done()
	return nil
}
