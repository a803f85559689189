package cmds

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// The shape that the users ask for, as far as a machine can check it.
const (
	repository   = "../../../"
	longestFile  = 400  // longestFile bounds the lines of one file that is no test.
	largestPkg   = 1000 // largestPkg bounds the lines of one package without its tests.
	largestRim   = 1500 // largestRim bounds the lines of the adapter without its tests and stand-ins.
	shortestName = 4
	longestName  = 6
)

// folder is what was counted of one package.
type folder struct {
	name    string
	lines   int
	hasDoc  bool
	imports []string
	longest int
}

// folders reads all packages of the repository.
func folders(c *quicktest.C) map[string]*folder {
	found := make(map[string]*folder)
	err := filepath.WalkDir(repository, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		f := found[dir]
		if f == nil {
			f = &folder{}
			found[dir] = f
		}
		f.add(filepath.Base(path), file.Name.Name, strings.Count(string(source), "\n"))
		if !strings.HasSuffix(path, "_test.go") {
			for _, i := range file.Imports {
				name, _ := strconv.Unquote(i.Path.Value)
				f.imports = append(f.imports, name)
			}
		}
		return nil
	})
	c.Assert(err, quicktest.IsNil)
	return found
}

// add counts one file.
func (f *folder) add(base, name string, lines int) {
	f.name = name
	f.hasDoc = f.hasDoc || base == "doc.go"
	if strings.HasSuffix(base, "_test.go") {
		return
	}
	f.lines += lines
	f.longest = max(f.longest, lines)
}

func TestShape(t *testing.T) {
	c := quicktest.New(t)
	all := folders(c)
	for dir, f := range all {
		t.Run(strings.TrimPrefix(dir, "../../../"), func(t *testing.T) {
			c := quicktest.New(t)
			c.Check(f.hasDoc, quicktest.IsTrue, quicktest.Commentf("doc.go is missing"))
			c.Check(f.longest <= longestFile, quicktest.IsTrue, quicktest.Commentf("a file has %d lines", f.longest))
			c.Check(f.lines <= largestPkg, quicktest.IsTrue, quicktest.Commentf("package has %d lines", f.lines))
			named := f.name == "main" || len(f.name) >= shortestName && len(f.name) <= longestName
			c.Check(named, quicktest.IsTrue, quicktest.Commentf("name %s", f.name))
		})
	}
}

// TestAdapterIsSmall checks that the platform's folder only translates.
func TestAdapterIsSmall(t *testing.T) {
	c := quicktest.New(t)
	lines := 0
	for dir, f := range folders(c) {
		if strings.HasPrefix(dir, filepath.Clean(repository+"platform")) && f.name != "stand" {
			lines += f.lines
		}
	}
	c.Assert(lines > 0 && lines <= largestRim, quicktest.IsTrue, quicktest.Commentf("the adapter has %d lines", lines))
}

// TestDecisionsKnowNoEncoding checks that the deciding packages can serve another front end.
func TestDecisionsKnowNoEncoding(t *testing.T) {
	banned := []string{"net/http", "encoding/json", "encoding/csv", "github.com/fxamacker/cbor/v2", "github.com/tmaxmax/go-sse"}
	all := folders(quicktest.New(t))
	for name, dir := range map[string]string{
		"conf": "core/conf", "deny": "core/deny", "fair": "core/fair", "fence": "core/fence", "flow": "core/flow",
		"limit": "core/limit", "member": "core/member", "route": "core/route",
		"site": "core/site", "mirror": "core/mirror", "health": "core/health", "retry": "core/retry",
		"chain": "entry/chain", "filter": "entry/filter", "picker": "entry/picker", "pass": "entry/pass", "flight": "entry/flight", "relay": "entry/internal/relay",
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := all[filepath.Clean(repository+dir)]
			c.Assert(f, quicktest.IsNotNil)
			for _, i := range f.imports {
				c.Check(slices.Contains(banned, i), quicktest.IsFalse, quicktest.Commentf("imports %s", i))
			}
		})
	}
}
