//go:build !linux

package standin

import "time"

// sleepUntil waits until the time due with the accuracy of the runtime's timer.
func sleepUntil(due time.Time) {
	time.Sleep(time.Until(due))
}
