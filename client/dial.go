package client

import (
	"context"
	"net"
	"time"
)

// A connection can be dead although both ends hold it open: something in between
// has lost track of it. It shows as a request that gets no answer until its
// deadline. These times bound how long that takes; an entry answers within its
// own deadlines, and its kernel acknowledges at once.
const (
	// unackedTimeout is how long sent bytes may stay without an acknowledgement.
	unackedTimeout = 2 * time.Second
	// While an answer is awaited, the kernel asks the entry's kernel now and then.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

// dial opens a connection that the kernel ends when it went silent.
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
