// Package wait holds waits that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
