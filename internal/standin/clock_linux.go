package standin

import (
	"syscall"
	"time"
)

// sleepUntil blocks the thread until the time due. A signal may end the system call early, so the
// loop sleeps again for the time that is left.
func sleepUntil(due time.Time) {
	for left := time.Until(due); left > 0; left = time.Until(due) {
		pause := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&pause, nil)
	}
}
