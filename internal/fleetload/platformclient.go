package fleetload

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
)

// platformClient is an entry's client of the configuration service. The benchmark can disconnect
// and reconnect it.
type platformClient struct {
	published.Service
	watches atomic.Int32

	mu           sync.Mutex
	disconnected chan struct{} // closed while the entry is disconnected
}

func newPlatformClient(s published.Service) *platformClient {
	return &platformClient{Service: s, disconnected: make(chan struct{})}
}

// setDisconnected disconnects the entry from the configuration service, which cancels calls in
// flight, or reconnects it.
func (c *platformClient) setDisconnected(disconnect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.disconnected:
		if !disconnect {
			c.disconnected = make(chan struct{})
		}
	default:
		if disconnect {
			close(c.disconnected)
		}
	}
}

// watching reports whether the entry has a watch open.
func (c *platformClient) watching() bool { return c.watches.Load() > 0 }

// Read implements published.Service.
func (c *platformClient) Read(ctx context.Context, name string) (published.Value, error) {
	ctx, cancel := c.withDisconnect(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return published.Value{}, errDisconnected
	}
	return c.Service.Read(ctx, name)
}

// Watch implements published.Service.
func (c *platformClient) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	c.watches.Add(1)
	defer c.watches.Add(-1)
	ctx, cancel := c.withDisconnect(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return published.Value{}, errDisconnected
	}
	return c.Service.Watch(ctx, name, after)
}

var errDisconnected = fault.New(fault.PlatformDown, "wait until the benchmark reconnects the entry", "the benchmark has disconnected the entry from the configuration service")

// withDisconnect returns a context that is cancelled when the entry is disconnected.
func (c *platformClient) withDisconnect(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-disconnected:
		cancel()
		return ctx, cancel
	default:
	}
	go func() {
		select {
		case <-disconnected:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
