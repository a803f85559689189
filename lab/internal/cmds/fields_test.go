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

// loggingPackages lists the packages that log on the users' platform; docs/OPERATIONS.md documents their log fields.
var loggingPackages = []string{
	"entry/block", "entry/board", "entry/chain", "entry/event", "entry/feed", "entry/filter", "entry/fleet", "entry/flight", "entry/guard", "entry/inst", "entry/internal/conns", "entry/link", "entry/outbox",
	"entry/pass", "entry/picker", "entry/queue", "entry/recall", "entry/reload", "entry/send", "entry/shift", "platform/internal/cloud", "platform/internal/cmds", "platform/internal/edge", "platform/internal/local",
}

// TestLogFields checks that docs/OPERATIONS.md lists every log field of these packages and no other.
func TestLogFields(t *testing.T) {
	c := quicktest.New(t)
	usedFields := make(map[string]bool)
	for _, dir := range loggingPackages {
		files, err := filepath.Glob(repositoryRoot + dir + "/*.go")
		c.Assert(err, quicktest.IsNil)
		c.Assert(len(files) > 0, quicktest.IsTrue, quicktest.Commentf("%s", dir))
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			c.Assert(err, quicktest.IsNil)
			ast.Inspect(file, func(n ast.Node) bool {
				for _, name := range logFields(n) {
					usedFields[name] = true
				}
				return true
			})
		}
	}
	operatorsPage, err := os.ReadFile(repositoryRoot + "docs/OPERATIONS.md")
	c.Assert(err, quicktest.IsNil)
	_, afterHeader, hasTable := strings.Cut(string(operatorsPage), "| field | what it holds |")
	c.Assert(hasTable, quicktest.IsTrue)
	table, _, _ := strings.Cut(afterHeader, "\n\n")
	documentedFields := make(map[string]bool)
	for _, row := range strings.Split(table, "\n") {
		firstColumn, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " |")
		for _, name := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(firstColumn, -1) {
			documentedFields[name[1]] = true
		}
	}
	c.Assert(slices.Sorted(maps.Keys(documentedFields)), quicktest.DeepEquals, slices.Sorted(maps.Keys(usedFields)))
}

// logFields returns the names of the log fields that a syntax node sets.
func logFields(n ast.Node) []string {
	switch n := n.(type) {
	case *ast.CallExpr:
		method, ok := n.Fun.(*ast.SelectorExpr)
		switch {
		case !ok:
		case method.Sel.Name == "WithError":
			return []string{"error"}
		case method.Sel.Name == "WithField":
			return []string{stringLiteral(n.Args[0])}
		}
	case *ast.CompositeLit:
		typeName, ok := n.Type.(*ast.SelectorExpr)
		if !ok || typeName.Sel.Name != "Fields" {
			return nil
		}
		var names []string
		for _, e := range n.Elts {
			names = append(names, stringLiteral(e.(*ast.KeyValueExpr).Key))
		}
		return names
	case *ast.IndexExpr:
		if indexed, ok := n.X.(*ast.Ident); ok && indexed.Name == "fields" {
			return []string{stringLiteral(n.Index)}
		}
	}
	return nil
}

// stringLiteral returns the value of a string literal. For any other expression it returns a placeholder that no
// documented field matches, so that the test fails.
func stringLiteral(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok {
		return "(not a string literal)"
	}
	value, err := strconv.Unquote(lit.Value)
	if err != nil {
		return lit.Value
	}
	return value
}
