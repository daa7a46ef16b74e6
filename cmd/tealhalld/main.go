// Command tealhalld is the daemon of an entry VM. See docs/SETTINGS.md and
// docs/OPERATIONS.md.
package main

import (
	"os"

	"github.com/tealhall/tealhall/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
