// Lab drives bramleywharf as its users do, breaks things on the way and measures what happens.
package main

import (
	"os"

	"bramleywharf.example/lab/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
