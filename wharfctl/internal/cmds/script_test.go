package cmds

import (
	"net/http/httptest"
	"os"
	"testing"

	"bramleywharf.example/stand/plat"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wharfctl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			server := httptest.NewServer(plat.New(plat.Settings{Token: "secret"}))
			e.Defer(server.Close)
			e.Setenv("BRAMLEYWHARF_PLATFORM", server.URL)
			e.Setenv("BRAMLEYWHARF_PLATFORM_TOKEN", "secret")
			e.Setenv("BRAMLEYWHARF_AS", "planner")
			e.Setenv("PLATFORM", server.URL)
			return nil
		},
	})
}
