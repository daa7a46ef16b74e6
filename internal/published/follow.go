package published

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tealhall/tealhall/internal/wait"
)

// minUnchangedWait distinguishes a service that delays its answers from one that answers at once: a
// watch that ends without a change after a shorter time was answered at once.
const minUnchangedWait = time.Second

// FollowOptions are the hooks and limits of Follow.
type FollowOptions struct {
	// Backoff spaces the attempts after a failure; fields that are zero have their defaults.
	Backoff Backoff
	// ChangeGap is the shortest time between two watches that a change ends, of this value or another.
	ChangeGap time.Duration
	// Rand is used by the loop only.
	Rand *rand.Rand
	// Now is a monotonic clock; nil means the clock of the process.
	Now func() time.Duration
	// Sleep waits for d or until ctx ends; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration)
	// OnError is called with the error of every failed call before the loop waits; may be nil.
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

// Follow watches name until ctx ends and passes every answer to deliver: later revisions, earlier
// ones (from a lagging replica) and unchanged ones, which show that the service still answers. The
// receiver decides which revision is in force. Follow itself never watches from an earlier revision
// than the latest that it received. The function deliver runs on the goroutine of the loop.
//
// After a failure, and after an immediate answer without a later revision, the loop waits for the
// back-off. The latter prevents a tight loop of calls to a lagging replica or to a service that
// ignores the wait parameter. A watch that another value ended is none of these: the next one follows
// after ChangeGap, since the value may change at any time meanwhile.
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
		took := opts.Now() - started
		switch changed := value.Revision > after || value.OtherChanged; {
		case changed:
			opts.Backoff.Reset()
			if took < opts.ChangeGap {
				opts.Sleep(ctx, opts.ChangeGap-took)
			}
		case took >= minUnchangedWait:
			opts.Backoff.Reset()
		default:
			opts.Sleep(ctx, opts.Backoff.Next(opts.Rand))
		}
		after = max(after, value.Revision)
	}
}
