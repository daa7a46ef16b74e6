package wait

import "time"

// Within runs work and reports whether it ended within limit. If work did not end, it continues
// in its own goroutine.
func Within(limit time.Duration, work func()) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		work()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}
