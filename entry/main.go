// Entry runs an entry instance of bramleywharf.
package main

import (
	"os"

	"bramleywharf.example/entry/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
