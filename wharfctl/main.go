// Wharfctl is the operators' command line of bramleywharf.
package main

import (
	"os"

	"bramleywharf.example/wharfctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
