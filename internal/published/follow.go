package published

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/wait"
)

// minUnchangedWait is how long an unchanged watch lasts at least at a service that holds
// it. A shorter one means that the service answers at once without news.
const minUnchangedWait = time.Second

// FollowOptions are the hooks and limits of Follow.
type FollowOptions struct {
	// Backoff spaces the tries after a failure; zero fields stand for defaults.
	Backoff Backoff
	// ChangeGap is the shortest time between two watches that bring news.
	ChangeGap time.Duration
	// Rand is used by the loop alone.
	Rand *rand.Rand
	// Now is a monotonic clock; nil stands for the process's own.
	Now func() time.Duration
	// Sleep waits for d or until ctx ends; nil stands for a timer.
	Sleep func(ctx context.Context, d time.Duration)
	// OnError is told of every failed call before the loop waits; may be nil.
	OnError func(error)
}

func (o FollowOptions) withDefaults() FollowOptions {
	o.Backoff = NewBackoff(o.Backoff.Min, o.Backoff.Max)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Sleep == nil {
		o.Sleep = wait.For
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// Follow watches name until ctx ends and passes every answer to deliver: later
// revisions, lower ones (from a replica that lags) and unchanged ones, which
// show that the service still answers. Which revision is in force is decided by
// the receiver; Follow itself never watches from a lower revision than it has
// seen. deliver runs on the loop's goroutine.
//
// After a failure, and after an answer that brought nothing and was not held,
// the loop waits its back-off. The latter keeps a service that ignores the wait,
// or a replica that lags, from being called in a tight loop.
func Follow(ctx context.Context, service Service, name string, after uint64, opts FollowOptions, deliver func(Value)) {
	opts = opts.withDefaults()
	for ctx.Err() == nil {
		started := opts.Now()
		value, err := service.Watch(ctx, name, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			opts.OnError(err)
			opts.Sleep(ctx, opts.Backoff.Next(opts.Rand))
			continue
		}
		deliver(value)
		waited := opts.Now()-started >= minUnchangedWait
		if value.Revision > after || waited {
			opts.Backoff.Reset()
			if remaining := opts.ChangeGap - (opts.Now() - started); value.Revision > after && remaining > 0 {
				opts.Sleep(ctx, remaining)
			}
		} else {
			opts.Sleep(ctx, opts.Backoff.Next(opts.Rand))
		}
		after = max(after, value.Revision)
	}
}
