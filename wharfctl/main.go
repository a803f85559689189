package main

import (
	"os"

	"bramleywharf.example/wharfctl/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
