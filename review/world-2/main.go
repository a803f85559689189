package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleywharf.example/review/world-2/origin"
	"bramleywharf.example/review/world-2/scene"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 110 * time.Second
)

// cases maps the names of the cases to their plays, which return the exit code.
var cases = map[string]func(*scene.World) (int, error){}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		if err := origin.Main(os.Args[2:]); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(notRun)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: world-2 CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	fmt.Printf("case %s: %s\n", os.Args[1], map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", notRun: "could not run"}[code])
	os.Exit(code)
}

func play(name, root, folder string) (int, error) {
	w, err := scene.New(root, folder)
	if err != nil {
		return notRun, err
	}
	defer w.End()
	w.Record.Logf("case %s, with the disruption: %v", name, w.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
			w.Record.Logf("the case took too long")
		}
		w.End()
		os.Exit(notRun)
	}()
	code, err := cases[name](w)
	w.Record.Logf("exit code %d", code)
	return code, err
}
