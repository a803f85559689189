package cmds

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// logging lists the packages whose lines an engineer reads on the users' platform.
var logging = []string{
	"entry/board", "entry/chain", "entry/feed", "entry/filter", "entry/fleet", "entry/flight", "entry/inst", "entry/link",
	"entry/pass", "entry/picker", "entry/send", "platform/internal/cloud", "platform/internal/cmds", "platform/internal/edge", "platform/internal/local",
}

// TestLogFields checks that the operators' page lists the fields of all log lines, and no other.
func TestLogFields(t *testing.T) {
	c := quicktest.New(t)
	used := make(map[string]bool)
	for _, dir := range logging {
		files, err := filepath.Glob(repository + dir + "/*.go")
		c.Assert(err, quicktest.IsNil)
		c.Assert(len(files) > 0, quicktest.IsTrue, quicktest.Commentf("%s", dir))
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			c.Assert(err, quicktest.IsNil)
			ast.Inspect(file, func(n ast.Node) bool {
				for _, name := range fieldsOf(n) {
					used[name] = true
				}
				return true
			})
		}
	}
	page, err := os.ReadFile(repository + "docs/OPERATIONS.md")
	c.Assert(err, quicktest.IsNil)
	_, rest, found := strings.Cut(string(page), "| field | what it holds |")
	c.Assert(found, quicktest.IsTrue)
	table, _, _ := strings.Cut(rest, "\n\n")
	listed := make(map[string]bool)
	for _, row := range strings.Split(table, "\n") {
		first, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " |")
		for _, name := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(first, -1) {
			listed[name[1]] = true
		}
	}
	c.Assert(slices.Sorted(maps.Keys(listed)), quicktest.DeepEquals, slices.Sorted(maps.Keys(used)))
}

// fieldsOf returns the names of log fields that a node gives.
func fieldsOf(n ast.Node) []string {
	switch n := n.(type) {
	case *ast.CallExpr:
		method, ok := n.Fun.(*ast.SelectorExpr)
		switch {
		case !ok:
		case method.Sel.Name == "WithError":
			return []string{"error"}
		case method.Sel.Name == "WithField":
			return []string{literal(n.Args[0])}
		}
	case *ast.CompositeLit:
		kind, ok := n.Type.(*ast.SelectorExpr)
		if !ok || kind.Sel.Name != "Fields" {
			return nil
		}
		var names []string
		for _, e := range n.Elts {
			names = append(names, literal(e.(*ast.KeyValueExpr).Key))
		}
		return names
	case *ast.IndexExpr:
		if variable, ok := n.X.(*ast.Ident); ok && variable.Name == "fields" {
			return []string{literal(n.Index)}
		}
	}
	return nil
}

// literal returns the value of a string in the code.
func literal(e ast.Expr) string {
	text, ok := e.(*ast.BasicLit)
	if !ok {
		return "a name that is computed"
	}
	value, err := strconv.Unquote(text.Value)
	if err != nil {
		return text.Value
	}
	return value
}
