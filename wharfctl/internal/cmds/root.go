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
	exitFault    = 1 // exitFault is any fault without a code of its own.
	exitUsage    = 2 // exitUsage is a wrong use of the command line.
	exitRejected = 3 // exitRejected is a sheet or declaration that cannot stand.
	exitConflict = 4 // exitConflict is a change based on a version that no longer stands.
	exitUnknown  = 5 // exitUnknown is a platform that cannot be reached or gives no answer.
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

// app holds what all subcommands share.
type app struct {
	out           io.Writer
	platform      string
	platformToken string
	operatorKey   string
	output        string
	who           string
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot(&app{out: out})
	root.SetOut(out)
	root.SetErr(errOut)
	err := opts.Execute(root, args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "wharfctl:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code that an error stands for.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRejected):
		return exitRejected
	case errors.Is(err, store.ErrConflict):
		return exitConflict
	case errors.Is(err, store.ErrUncertain), errors.Is(err, store.ErrDown):
		return exitUnknown
	case errors.Is(err, errUsage), errors.Is(err, opts.ErrInvalid):
		return exitUsage
	default:
		return exitFault
	}
}

// newRoot returns the root command.
func newRoot(a *app) *cobra.Command {
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
			return a.check()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w; see --help", errUsage, err)
	})
	flags := root.PersistentFlags()
	flags.StringVar(&a.platform, "platform", "", "base URL of the platform's object API")
	flags.StringVar(&a.platformToken, "platform-token", "", "bearer token for the platform")
	flags.StringVar(&a.operatorKey, "operator-key", "", "key that instances know operators by")
	flags.StringVar(&a.output, "output", formatTable, "table for people or json for programs")
	flags.StringVar(&a.who, "as", os.Getenv("USER"), "name that the audit trail records")
	root.AddCommand(newApply(a), newDrain(a), newExplain(a), newHash(a), newSheet(a), newStatus(a))
	return root
}

// check judges the settings that all subcommands share.
func (a *app) check() error {
	var c opts.Checks
	c.Need(a.output == formatTable || a.output == formatJSON, "--output %q must be table or json", a.output)
	return c.Err()
}

// json writes a value for programs.
func (a *app) json(value any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// lines writes lines for people.
func (a *app) lines(lines ...string) {
	_, _ = fmt.Fprintln(a.out, strings.Join(lines, "\n"))
}

// store returns the platform.
func (a *app) store() (store.Store, error) {
	if a.platform == "" {
		return nil, fmt.Errorf("%w: --platform is missing", errUsage)
	}
	return store.NewHTTP(a.platform, a.platformToken, http.DefaultTransport), nil
}

// table writes rows for people under a heading.
func (a *app) table(heading string, rows [][]string) error {
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

// trail returns the audit trail and the platform behind it.
func (a *app) trail() (*audit.Trail, store.Store, error) {
	s, err := a.store()
	if err != nil {
		return nil, nil, err
	}
	if a.who == "" {
		return nil, nil, fmt.Errorf("%w: --as is missing; the audit trail needs a name", errUsage)
	}
	return audit.NewTrail(s), s, nil
}
