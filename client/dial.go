package client

import (
	"context"
	"net"
	"time"
)

// A connection can be dead although it is open at both ends, because a device on the path has lost
// its state. A request on it gets no response until its deadline. These times limit how long it
// takes to detect such a connection. The kernel of a live entry acknowledges bytes at once.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// While a response is awaited, the kernel sends keep-alive probes.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

// dial opens a connection that the kernel closes when the other end falls silent.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
	}
	return dialer.DialContext(ctx, network, address)
}
