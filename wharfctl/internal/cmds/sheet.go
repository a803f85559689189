package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/decl"
	"bramleywharf.example/core/sheet"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// pushTimeout bounds one push, including reads that find out whether an unanswered write took effect.
const pushTimeout = 15 * time.Second

// proposal is a checked sheet that may be pushed, and what it would change.
type proposal struct {
	Member  string   `json:"member"`
	Base    uint64   `json:"base"` // Base is the revision that the sheet replaces, or 0.
	Date    string   `json:"date"`
	Changes []string `json:"changes"`
	object  store.Object
}

func newSheetCommand(a *app) *cobra.Command {
	c := &cobra.Command{Use: "sheet", Short: "Push and show the members' sheets"}
	c.AddCommand(newSheetDryRunCommand(a), newSheetHistoryCommand(a), newSheetPushCommand(a), newSheetShowCommand(a))
	return c
}

func newSheetDryRunCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "dry-run MEMBER FILE",
		Short: "Check a sheet and show what pushing it would change",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := a.store()
			if err != nil {
				return err
			}
			p, err := propose(c.Context(), s, args[0], args[1])
			if err != nil {
				return err
			}
			return a.printProposal(p, fmt.Sprintf("would replace revision %d; push with --base %d", p.Base, p.Base))
		},
	}
}

// newSheetHistoryCommand returns the command that shows the audit trail of one member's sheet, or of all sheets.
func newSheetHistoryCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "history [MEMBER]",
		Short: "Show who changed sheets, when, from which version to which",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			trail, _, err := a.trail()
			if err != nil {
				return err
			}
			records, err := trail.History(c.Context(), conf.KindSheet, strings.Join(args, ""))
			if err != nil {
				return err
			}
			if a.format == formatJSON {
				return a.printJSON(records)
			}
			var rows [][]string
			for _, r := range records {
				rows = append(rows, []string{
					r.At.Format(time.RFC3339), r.Who, r.Name, strconv.FormatUint(r.From, 10),
					strconv.FormatUint(r.To, 10), string(r.Outcome), strconv.Itoa(len(r.Changes)),
				})
			}
			return a.printTable("WHEN\tWHO\tMEMBER\tFROM\tTO\tOUTCOME\tCHANGES", rows)
		},
	}
}

func newSheetPushCommand(a *app) *cobra.Command {
	var base int64
	c := &cobra.Command{
		Use:   "push MEMBER FILE",
		Short: "Check a sheet and make it the member's standing configuration",
		Long: `Check a sheet and make it the member's standing configuration.

The sheet replaces the version named by --base, or the one that stands when
the command begins. Of two planners who push at once, one wins; the other is
told what differs now. "Accepted" is said only when the platform holds it.`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), pushTimeout)
			defer cancel()
			trail, s, err := a.trail()
			if err != nil {
				return err
			}
			p, err := propose(ctx, s, args[0], args[1])
			if err != nil {
				return err
			}
			if base >= 0 && uint64(base) != p.Base {
				return fmt.Errorf("the sheet of %s is at revision %d, not %d; look at it with dry-run: %w", p.Member, p.Base, base, store.ErrConflict)
			}
			r, err := trail.Apply(ctx, a.actor, p.object, p.Changes)
			if errors.Is(err, store.ErrConflict) {
				return a.explainConflict(ctx, s, args, err)
			}
			if err != nil {
				return fmt.Errorf("push of %s: %w; see sheet history for its outcome", p.Member, err)
			}
			return a.printProposal(p, fmt.Sprintf("accepted as revision %d", r.To))
		},
	}
	c.Flags().Int64Var(&base, "base", -1, "revision that the sheet is based on, as dry-run shows it")
	return c
}

// newSheetShowCommand returns the command that shows a member's current sheet.
func newSheetShowCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "show MEMBER",
		Short: "Show the sheet that stands",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := a.store()
			if err != nil {
				return err
			}
			o, current, err := currentSheet(c.Context(), s, args[0])
			if err != nil {
				return err
			}
			if a.format == formatJSON {
				return a.printJSON(o)
			}
			a.printLines(fmt.Sprintf("%s, %s, revision %d", args[0], current.Date, o.Revision))
			var rows [][]string
			for _, l := range current.Limits {
				rows = append(rows, []string{
					l.Organisation, strconv.FormatFloat(l.Share, 'g', -1, 64), strconv.Itoa(l.Priority),
					strconv.Itoa(l.Ceiling), strings.Join(l.Models, " "), l.Recovery,
				})
			}
			return a.printTable("ORGANISATION\tSHARE\tPRIORITY\tCEILING\tMODELS\tRECOVERY", rows)
		},
	}
}

// explainConflict returns the error of a push that lost to a concurrent one, with the differences from the sheet that
// is now current.
func (a *app) explainConflict(ctx context.Context, s store.Store, args []string, cause error) error {
	p, err := propose(ctx, s, args[0], args[1])
	if err != nil {
		return fmt.Errorf("another sheet was accepted meanwhile: %w: %w", cause, err)
	}
	return fmt.Errorf("revision %d was accepted meanwhile; this sheet would now change:\n  %s\nlook at it, then push with --base %d: %w",
		p.Base, strings.Join(p.Changes, "\n  "), p.Base, cause)
}

// printProposal prints the changes that a sheet makes and whether they were accepted.
func (a *app) printProposal(p proposal, outcome string) error {
	if a.format == formatJSON {
		return a.printJSON(map[string]any{"proposal": p, "outcome": outcome})
	}
	for _, change := range p.Changes {
		a.printLines(change)
	}
	a.printLines(fmt.Sprintf("sheet of %s for %s, %d changes: %s", p.Member, p.Date, len(p.Changes), outcome))
	return nil
}

// otherMembersByOrganisation maps each organisation on another member's sheet to that member.
func otherMembersByOrganisation(entries []conf.Entry, member string) map[string]string {
	memberByOrganisation := make(map[string]string)
	for _, e := range entries {
		if s, ok := e.Value.(conf.Sheet); ok && e.Key.Name != member {
			for _, l := range s.Limits {
				memberByOrganisation[l.Organisation] = e.Key.Name
			}
		}
	}
	return memberByOrganisation
}

// propose reads and checks a sheet and compares it with the member's current one.
func propose(ctx context.Context, s store.Store, member, file string) (proposal, error) {
	if !decl.IsValidName(member) {
		return proposal{}, fmt.Errorf("%w: member %q is not a valid name", errUsage, member)
	}
	text, err := readInput(file)
	if err != nil {
		return proposal{}, err
	}
	page, err := s.List(ctx, []string{conf.KindOrganisation, conf.KindSheet})
	if err != nil {
		return proposal{}, fmt.Errorf("read organisations: %w", err)
	}
	knownOrganisations := make(map[string]bool)
	for _, o := range page.Objects {
		knownOrganisations[o.Name] = knownOrganisations[o.Name] || o.Kind == conf.KindOrganisation && !o.Deleted
	}
	next, faults := sheet.Parse(text, func(name string) bool { return knownOrganisations[name] })
	entries, _ := decl.DecodeEntries(page.Objects)
	memberByOrganisation := otherMembersByOrganisation(entries, member)
	// Limits begin in row 3, below the date and the header.
	for i, l := range next.Limits {
		if other, ok := memberByOrganisation[l.Organisation]; ok {
			faults = append(faults, sheet.Fault{Row: i + 3, Column: sheet.ColumnOrganisation, Reason: l.Organisation + " is on the sheet of " + other})
		}
	}
	if len(faults) > 0 {
		return proposal{}, rejectionError(faults)
	}
	o, current, err := currentSheet(ctx, s, member)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return proposal{}, err
	}
	if err := sheet.CheckNotOlder(current, next); err != nil {
		return proposal{}, fmt.Errorf("%w: %w", errRejected, err)
	}
	return newProposal(member, o, current, next)
}

// newProposal returns the proposal to replace the current sheet, which is stored in o, by the next.
func newProposal(member string, o store.Object, current, next conf.Sheet) (proposal, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return proposal{}, fmt.Errorf("encode sheet: %w", err)
	}
	p := proposal{Member: member, Base: o.Revision, Date: next.Date, Changes: []string{}}
	p.object = store.Object{Kind: conf.KindSheet, Name: member, Revision: o.Revision, Value: raw}
	for _, change := range sheet.Diff(current, next) {
		p.Changes = append(p.Changes, change.String())
	}
	return p, nil
}

// readInput reads a file, or standard input for a dash.
func readInput(name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, sheet.MaxBytes+1))
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return text, nil
}

// rejectionError returns one error that lists every fault of a sheet.
func rejectionError(faults []sheet.Fault) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.Error()
	}
	return fmt.Errorf("sheet %w, nothing was changed:\n  %s", errRejected, strings.Join(lines, "\n  "))
}

// currentSheet reads a member's current sheet and the object that stores it.
func currentSheet(ctx context.Context, s store.Store, member string) (store.Object, conf.Sheet, error) {
	o, err := s.Get(ctx, conf.KindSheet, member)
	if err != nil {
		return o, conf.Sheet{}, fmt.Errorf("read the sheet of %s: %w", member, err)
	}
	value, err := decl.DecodeValue(conf.KindSheet, member, o.Value)
	if err != nil {
		return o, conf.Sheet{}, err
	}
	current, _ := value.(conf.Sheet)
	return o, current, nil
}
