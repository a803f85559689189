package main

import (
	"os"

	"bramleywharf.example/stand/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
