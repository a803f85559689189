// Stand runs stand-ins for the systems that bramleywharf meets: the platform, model engines and plain services.
package main

import (
	"os"

	"bramleywharf.example/stand/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
