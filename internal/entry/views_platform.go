package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
)

// countedPlatform counts the calls of the configuration service and their results for the admin
// interface. It is safe for concurrent use.
type countedPlatform struct {
	service published.Service
	clock   func() time.Duration

	mu     sync.Mutex
	counts platformCounts
}

// platformCounts are the results of the calls since the start.
type platformCounts struct {
	// unusable counts the failures whose cause was an answer that cannot be used.
	calls, failures, unusable uint64
	// values has the results of the calls for each published value, by its name.
	values map[string]valueCalls
	// lastError is the text of the latest failure, "" if there was none.
	lastError string
}

// valueCalls are the results of the calls for one value.
type valueCalls struct {
	// failing counts the failures since the last answer.
	failing int
	// answeredAt is when the last answer came; it is valid if answered is true.
	answeredAt time.Duration
	answered   bool
	// cause is the innermost error of the last failure.
	cause string
}

func newCountedPlatform(service published.Service, clock func() time.Duration) *countedPlatform {
	return &countedPlatform{service: service, clock: clock, counts: platformCounts{values: make(map[string]valueCalls)}}
}

// Read implements published.Service.
func (p *countedPlatform) Read(ctx context.Context, name string) (published.Value, error) {
	v, err := p.service.Read(ctx, name)
	p.record(ctx, name, err)
	return v, err
}

// Watch implements published.Service.
func (p *countedPlatform) Watch(ctx context.Context, name string, after uint64) (published.Value, error) {
	v, err := p.service.Watch(ctx, name, after)
	p.record(ctx, name, err)
	return v, err
}

// WatchVMs implements published.VMWatcher, with whole lists if the service has no differences.
func (p *countedPlatform) WatchVMs(ctx context.Context, after uint64) (published.Value, error) {
	service, can := p.service.(published.VMWatcher)
	if !can {
		return p.Watch(ctx, published.VMsValue, after)
	}
	v, err := service.WatchVMs(ctx, after)
	p.record(ctx, published.VMsValue, err)
	return v, err
}

// vmsByDifference watches the list of VMs by differences.
type vmsByDifference struct{ *countedPlatform }

// Watch implements published.Service.
func (p vmsByDifference) Watch(ctx context.Context, _ string, after uint64) (published.Value, error) {
	return p.WatchVMs(ctx, after)
}

// record counts a call. A call that the entry's own rate limit stopped does not count. A call that
// the entry cancelled counts, but not as a failure: it is no evidence against the service.
func (p *countedPlatform) record(ctx context.Context, name string, err error) {
	if fault.KindOf(err) == fault.RateLimited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.calls++
	value := p.counts.values[name]
	switch {
	case err == nil:
		value = valueCalls{answered: true, answeredAt: p.clock()}
	case errors.Is(ctx.Err(), context.Canceled):
		return
	default:
		p.counts.failures++
		value.failing++
		cause := rootCause(err)
		if fault.KindOf(err) == fault.PlatformAnswer {
			p.counts.unusable++
			if cause != value.cause {
				klog.ErrorS(err, "the answer of the configuration service cannot be used", "value", name)
			}
		}
		value.cause = cause
		p.counts.lastError = err.Error()
	}
	p.counts.values[name] = value
}

// rootCause returns the text of the innermost error.
func rootCause(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}

// snapshot returns a copy of the counts.
func (p *countedPlatform) snapshot() platformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.values = make(map[string]valueCalls, len(p.counts.values))
	for name, value := range p.counts.values {
		counts.values[name] = value
	}
	return counts
}
