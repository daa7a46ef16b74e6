// Package wait implements bounded waits.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
