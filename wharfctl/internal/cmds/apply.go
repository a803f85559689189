package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"bramleywharf.example/core/decl"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func newApplyCommand(a *app) *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Make the platform hold what declaration files say",
		Long: `Make the platform hold what declaration files say.

Files are YAML with models, organisations, services and targets by name. All
files are checked before anything is written. Objects that no file names are
left as they are.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			declared, err := parseFiles(args)
			if err != nil {
				return err
			}
			return a.apply(c.Context(), declared, dryRun)
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "show what would change and write nothing")
	return c
}

// apply writes the objects that differ from those in the platform, each with a record in the audit trail.
func (a *app) apply(ctx context.Context, declared []decl.Object, dryRun bool) error {
	trail, s, err := a.trail()
	if err != nil {
		return err
	}
	differing := 0
	for _, d := range declared {
		o, err := s.Get(ctx, d.Key.Kind, d.Key.Name)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return fmt.Errorf("read %s/%s: %w", d.Key.Kind, d.Key.Name, err)
		}
		if err == nil && sameJSON(o.Value, d.Raw) {
			continue
		}
		differing++
		a.printLines(fmt.Sprintf("%s/%s: %s -> %s", d.Key.Kind, d.Key.Name, orNone(o.Value), d.Raw))
		if dryRun {
			continue
		}
		next := store.Object{Kind: d.Key.Kind, Name: d.Key.Name, Revision: o.Revision, Value: d.Raw}
		if _, err := trail.Apply(ctx, a.actor, next, []string{string(d.Raw)}); err != nil {
			return fmt.Errorf("write %s/%s: %w", d.Key.Kind, d.Key.Name, err)
		}
	}
	a.printLines(fmt.Sprintf("%d of %d objects differ", differing, len(declared)))
	return nil
}

func orNone(value []byte) string {
	if len(value) == 0 {
		return "none"
	}
	return string(value)
}

// parseFiles returns the objects of all files by kind and name, or one error that lists every fault.
func parseFiles(names []string) ([]decl.Object, error) {
	var declared []decl.Object
	var faults []string
	for _, name := range names {
		text, err := readInput(name)
		if err != nil {
			return nil, err
		}
		objects, errs := decl.Parse(text)
		declared = append(declared, objects...)
		for _, e := range errs {
			faults = append(faults, name+": "+e.Error())
		}
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("declarations %w, nothing was changed:\n  %s", errRejected, strings.Join(faults, "\n  "))
	}
	slices.SortFunc(declared, func(a, b decl.Object) int {
		return strings.Compare(a.Key.Kind+"/"+a.Key.Name, b.Key.Kind+"/"+b.Key.Name)
	})
	return declared, nil
}

// sameJSON reports whether two encodings are equal apart from white space; invalid JSON equals nothing.
func sameJSON(a, b json.RawMessage) bool {
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}
