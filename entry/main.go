package main

import (
	"os"

	"bramleywharf.example/entry/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
