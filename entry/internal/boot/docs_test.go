package boot

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/spf13/pflag"
)

// root is the way from this package to the root of the repository.
const root = "../../../"

// TestSettingsAreDocumented checks the table of settings against the flags.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(root + "docs/OPERATIONS.md")
	quicktest.New(t).Assert(err, quicktest.IsNil)
	flags := pflag.NewFlagSet("entry", pflag.ContinueOnError)
	new(Settings).Bind(flags)
	flags.VisitAll(func(f *pflag.Flag) {
		t.Run(f.Name, func(t *testing.T) {
			row := "| `--" + f.Name + "` | "
			if f.DefValue != "" && f.DefValue != "[]" {
				row += "`" + f.DefValue + "`"
			}
			quicktest.New(t).Assert(string(page), quicktest.Contains, row+" | "+f.Usage+" |")
		})
	})
}

// TestMetricsAreDocumented checks that every metric in the code stands on the operators' page.
func TestMetricsAreDocumented(t *testing.T) {
	c := quicktest.New(t)
	page, err := os.ReadFile(root + "docs/OPERATIONS.md")
	c.Assert(err, quicktest.IsNil)
	name := regexp.MustCompile("[\"`]bramleywharf_[a-z_]+")
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		inProduct := strings.HasPrefix(path, root+"entry") || strings.HasPrefix(path, root+"core") || strings.HasPrefix(path, root+"platform")
		if err != nil || d.IsDir() || !inProduct || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, metric := range name.FindAllString(string(source), -1) {
			c.Check(string(page), quicktest.Contains, strings.Trim(metric, "\"`"), quicktest.Commentf("%s", path))
		}
		return err
	})
	c.Assert(err, quicktest.IsNil)
}
