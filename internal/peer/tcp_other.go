//go:build !linux

package peer

import (
	"net"
	"time"
)

// setUserTimeout does nothing, because the option TCP_USER_TIMEOUT exists only on Linux. Heartbeats
// alone detect a dead connection.
func setUserTimeout(*net.TCPConn, time.Duration) {}
