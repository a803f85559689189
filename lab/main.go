package main

import (
	"os"

	"bramleywharf.example/lab/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
