package fleetload

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
)

// gate is an entry's way to the configuration service, which can be cut.
type gate struct {
	published.Service
	waiting atomic.Int32

	mu  sync.Mutex
	cut chan struct{} // closed while the way is cut
}

func newGate(s published.Service) *gate { return &gate{Service: s, cut: make(chan struct{})} }

// set cuts the way, or opens it again. Calls under way end with the cut.
func (g *gate) set(isCut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.cut:
		if !isCut {
			g.cut = make(chan struct{})
		}
	default:
		if isCut {
			close(g.cut)
		}
	}
}

// reads reports whether the entry watches the service now.
func (g *gate) reads() bool { return g.waiting.Load() > 0 }

// Read implements published.Service.
func (g *gate) Read(ctx context.Context, name string) (published.Value, error) {
	ctx, end := g.pass(ctx)
	defer end()
	if ctx.Err() != nil {
		return published.Value{}, errCut
	}
	return g.Service.Read(ctx, name)
}

// Watch implements published.Service.
func (g *gate) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	ctx, end := g.pass(ctx)
	defer end()
	if ctx.Err() != nil {
		return published.Value{}, errCut
	}
	return g.Service.Watch(ctx, name, after)
}

var errCut = fault.New(fault.PlatformDown, "nothing: the bench opens the way again", "the way to the configuration service is cut")

// pass returns a context that ends with the cut.
func (g *gate) pass(ctx context.Context) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-cut:
		cancel()
		return ctx, cancel
	default:
	}
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
