// Stand runs stand-ins for the systems that bramleywharf meets: the platform, model engines and plain services.
package main

import (
	"os"

	"bramleywharf.example/stand/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
