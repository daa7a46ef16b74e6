//go:build !linux

package peer

import (
	"net"
	"time"
)

// setUserTimeout does nothing where the kernel has no such option; heartbeats
// alone then find a dead connection.
func setUserTimeout(*net.TCPConn, time.Duration) {}
