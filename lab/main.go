// Lab drives bramleywharf as its users do, breaks things on the way and measures what happens.
package main

import (
	"os"

	"bramleywharf.example/lab/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
