package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"bramleywharf.example/core/audit"
	"bramleywharf.example/core/opts"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK       = 0
	exitFault    = 1 // exitFault is any error without a code of its own.
	exitUsage    = 2 // exitUsage is a wrong flag, setting or argument.
	exitRejected = 3 // exitRejected is a sheet or declaration that was rejected.
	exitConflict = 4 // exitConflict is a change based on a revision that is no longer current.
	exitNoAnswer = 5 // exitNoAnswer is a platform that is unreachable or does not answer.
)

// Errors that decide the exit code.
var (
	errRejected = errors.New("rejected")
	errUsage    = errors.New("wrong use")
)

// Formats of the output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// app holds the output and the flags that all subcommands share.
type app struct {
	out           io.Writer
	platformURL   string
	platformToken string
	operatorKey   string
	format        string
	actor         string // actor is the name that the audit trail records.
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errorOut io.Writer) int {
	root := newRootCommand(&app{out: out})
	root.SetOut(out)
	root.SetErr(errorOut)
	err := opts.Execute(root, args)
	if err != nil {
		_, _ = fmt.Fprintln(errorOut, "wharfctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRejected):
		return exitRejected
	case errors.Is(err, store.ErrConflict):
		return exitConflict
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrUnreachable):
		return exitNoAnswer
	case errors.Is(err, errUsage), errors.Is(err, opts.ErrInvalid):
		return exitUsage
	default:
		return exitFault
	}
}

func newRootCommand(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "wharfctl",
		Short: "Operate bramleywharf",
		Long: `Operate bramleywharf: push sheets, apply declarations, look at instances.

Each flag can be given as an environment variable: --platform-token is
BRAMLEYWHARF_PLATFORM_TOKEN. Exit codes: 0 done, 1 fault, 2 wrong use,
3 rejected, 4 conflict with a newer version, 5 platform without an answer.`,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			if err := opts.ReadEnv(c.Flags()); err != nil {
				return err
			}
			return a.checkFlags()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w; see --help", errUsage, err)
	})
	flags := root.PersistentFlags()
	flags.StringVar(&a.platformURL, "platform", "", "base URL of the platform's object API")
	flags.StringVar(&a.platformToken, "platform-token", "", "bearer token for the platform")
	flags.StringVar(&a.operatorKey, "operator-key", "", "key that instances know operators by")
	flags.StringVar(&a.format, "output", formatTable, "table for people or json for programs")
	flags.StringVar(&a.actor, "as", os.Getenv("USER"), "name that the audit trail records")
	root.AddCommand(newApplyCommand(a), newDrainCommand(a), newExplainCommand(a), newHashCommand(a),
		newSheetCommand(a), newStatusCommand(a))
	return root
}

// checkFlags checks the flags that all subcommands share.
func (a *app) checkFlags() error {
	var c opts.Checks
	c.Require(a.format == formatTable || a.format == formatJSON, "--output %q must be table or json", a.format)
	return c.Err()
}

func (a *app) printJSON(value any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func (a *app) printLines(lines ...string) {
	_, _ = fmt.Fprintln(a.out, strings.Join(lines, "\n"))
}

// store returns a client of the platform's object API.
func (a *app) store() (store.Store, error) {
	if a.platformURL == "" {
		return nil, fmt.Errorf("%w: --platform is missing", errUsage)
	}
	return store.NewHTTP(a.platformURL, a.platformToken, http.DefaultTransport), nil
}

// printTable prints rows in aligned columns under a heading of tab-separated titles.
func (a *app) printTable(heading string, rows [][]string) error {
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// trail returns the audit trail and the store that holds it.
func (a *app) trail() (*audit.Trail, store.Store, error) {
	s, err := a.store()
	if err != nil {
		return nil, nil, err
	}
	if a.actor == "" {
		return nil, nil, fmt.Errorf("%w: --as is missing; the audit trail needs a name", errUsage)
	}
	return audit.NewTrail(s), s, nil
}
