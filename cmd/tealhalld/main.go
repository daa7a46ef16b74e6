// Command tealhalld is the daemon that runs one entry on a VM. See docs/SETTINGS.md and
// docs/OPERATIONS.md.
package main

import (
	"os"
	"runtime"

	"github.com/tealhall/tealhall/internal/daemon"
)

func main() {
	// The daemon serves no heap profile, and the runtime's table for it takes up to 1.4 MB.
	runtime.MemProfileRate = 0
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
