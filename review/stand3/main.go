package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps names to what plays them; each returns how often the rule was broken. trouble is false for a run without the
// disruption.
var cases = map[string]func(w *world, trouble bool) int{
	"lost-machine":  lostMachine,
	"deadly-clump":  deadlyClump,
	"deadly-silent": deadlySilent,
	"planned-stop":  plannedStop,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(run func(*world, bool) int, program, record string) (code int) {
	var w *world
	defer func() {
		if failure, ok := recover().(errRun); ok {
			fmt.Println("the case could not run:", failure.error)
			code = 2
		}
		if w != nil {
			w.close()
		}
	}()
	w = newWorld(program, record)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("trouble: %v", trouble)
	broken := run(w, trouble)
	w.note("the rule was broken %d times", broken)
	fmt.Printf("trouble %v: the rule was broken %d times\n", trouble, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
