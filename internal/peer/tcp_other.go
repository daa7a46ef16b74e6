//go:build !linux

package peer

import (
	"net"
	"time"
)

// setUserTimeout does nothing, because the kernel has no such option here. Heartbeats alone detect
// a dead connection.
func setUserTimeout(*net.TCPConn, time.Duration) {}
