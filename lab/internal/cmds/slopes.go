package cmds

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"bramleywharf.example/core/store"
	"bramleywharf.example/lab/internal/slopes"
	"github.com/spf13/cobra"
)

// newSlopes returns the command that measures resource use at several sizes and fits how it grows.
func newSlopes() *cobra.Command {
	c := &cobra.Command{Use: "slopes", Short: "Measure what roles cost at several sizes, and extrapolate"}
	c.AddCommand(newSlopesFit(), newSlopesMeasure(), newSlopesFleet())
	return c
}

// newSlopesFit returns the command that fits measured rows and prints the report.
func newSlopesFit() *cobra.Command {
	return &cobra.Command{
		Use:   "fit FILE",
		Short: "Fit measured rows and print the report",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("open rows: %w", err)
			}
			defer func() { _ = file.Close() }()
			return slopes.Report(file, c.OutOrStdout())
		},
	}
}

// newSlopesFleet returns the command that declares the models, organisations and targets of a fleet.
func newSlopesFleet() *cobra.Command {
	var platform, token, engine string
	f := slopes.Fleet{}
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Declare models, organisations and targets of a size in a platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f.Engine = engine
			return f.Declare(c.Context(), store.NewHTTP(platform, token, http.DefaultTransport))
		},
	}
	flags := c.Flags()
	flags.StringVar(&platform, "platform", "", "base URL of the platform")
	flags.StringVar(&token, "platform-token", "", "bearer token for the platform")
	flags.StringVar(&engine, "engine", "", "address that all targets share")
	flags.IntVar(&f.Models, "models", 6, "number of models")
	flags.IntVar(&f.Targets, "targets", 850, "number of targets")
	flags.IntVar(&f.Organisations, "organisations", 1400, "number of organisations")
	return c
}

// newSlopesMeasure returns the command that measures one row.
func newSlopesMeasure() *cobra.Command {
	var platform, token string
	var organisations int
	s := slopes.Settings{}
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure one row against running processes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Platform = store.NewHTTP(platform, token, http.DefaultTransport)
			for i := range organisations {
				s.Keys = append(s.Keys, slopes.Key(i))
			}
			row, err := slopes.Measure(c.Context(), s)
			if err != nil {
				return err
			}
			return row.Write(c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringVar(&platform, "platform", "", "base URL of the platform")
	flags.StringVar(&token, "platform-token", "", "bearer token for the platform")
	flags.StringVar(&s.Series, "series", "instances", "what is varied: instances, organisations or tokens")
	flags.Float64Var(&s.Size, "size", 0, "size of this row")
	flags.StringSliceVar(&s.Admins, "admins", nil, "operators' addresses of the instances to measure")
	flags.StringSliceVar(&s.Callers, "callers", nil, "callers' addresses of the instances to load")
	flags.DurationVar(&s.For, "for", 10*time.Second, "time to measure")
	flags.IntVar(&organisations, "organisations", 1, "organisations that call")
	flags.IntVar(&s.Streams, "streams", 0, "long generations at once")
	flags.Float64Var(&s.Starts, "starts", 0, "short generations that each organisation starts a second")
	flags.StringVar(&s.Model, "model", slopes.ModelName(0), "model to use")
	return c
}
