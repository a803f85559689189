package main

import (
	"fmt"
	"os"

	"bramleywharf.example/review/world/scene"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // exitHeld means that the rule was kept.
	exitBroken = 1 // exitBroken means that the rule was broken.
	exitFailed = 2 // exitFailed means that the case could not be played.
)

// cases maps the names of cases to the functions that play them.
var cases = map[string]func(*scene.World) (bool, error){
	"unframed": playUnframed,
	"leaving":  playLeaving,
	"hint":     playHint,
	"endless":  playEndless,
	"limits":   playLimits,
	"removed":  playRemoved,
	"grace":    playGrace,
	"deadly":   playDeadly,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER | world server FLAGS")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	os.Exit(playCase(play, os.Args[2]))
}

// playCase plays a case, writes its record into a folder and returns the exit code.
func playCase(play func(*scene.World) (bool, error), folder string) int {
	w, err := scene.New(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.Close()
	held, err := play(w)
	switch {
	case err != nil:
		w.Record("the case could not be played: %v", err)
		return exitFailed
	case !held:
		w.Record("RULE BROKEN")
		return exitBroken
	default:
		w.Record("rule held")
		return exitHeld
	}
}
