// Command tealhalld is the daemon of an entry VM. See docs/SETTINGS.md and
// docs/OPERATIONS.md.
package main

import (
	"os"
	"runtime"

	"github.com/tealhall/tealhall/internal/daemon"
)

func main() {
	// The daemon offers no heap profile; the table of the runtime's own takes up to 1.4 MB.
	runtime.MemProfileRate = 0
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
