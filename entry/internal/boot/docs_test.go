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

// repositoryRoot is the path from this package's folder to the root of the repository.
const repositoryRoot = "../../../"

// TestSettingsAreDocumented checks that the operators' page lists each flag with its default and usage.
func TestSettingsAreDocumented(t *testing.T) {
	operationsPage, err := os.ReadFile(repositoryRoot + "docs/OPERATIONS.md")
	quicktest.New(t).Assert(err, quicktest.IsNil)
	flags := pflag.NewFlagSet("entry", pflag.ContinueOnError)
	new(Settings).Bind(flags)
	flags.VisitAll(func(f *pflag.Flag) {
		t.Run(f.Name, func(t *testing.T) {
			row := "| `--" + f.Name + "` | "
			if f.DefValue != "" && f.DefValue != "[]" {
				row += "`" + f.DefValue + "`"
			}
			quicktest.New(t).Assert(string(operationsPage), quicktest.Contains, row+" | "+f.Usage+" |")
		})
	})
}

// TestMetricsAreDocumented checks that the operators' page names every metric in the code.
func TestMetricsAreDocumented(t *testing.T) {
	c := quicktest.New(t)
	operationsPage, err := os.ReadFile(repositoryRoot + "docs/OPERATIONS.md")
	c.Assert(err, quicktest.IsNil)
	metricName := regexp.MustCompile("[\"`]bramleywharf_[a-z_]+")
	err = filepath.WalkDir(repositoryRoot, func(path string, d os.DirEntry, err error) error {
		isProduct := strings.HasPrefix(path, repositoryRoot+"entry") || strings.HasPrefix(path, repositoryRoot+"core") ||
			strings.HasPrefix(path, repositoryRoot+"platform")
		if err != nil || d.IsDir() || !isProduct || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, metric := range metricName.FindAllString(string(source), -1) {
			c.Check(string(operationsPage), quicktest.Contains, strings.Trim(metric, "\"`"), quicktest.Commentf("%s", path))
		}
		return err
	})
	c.Assert(err, quicktest.IsNil)
}
