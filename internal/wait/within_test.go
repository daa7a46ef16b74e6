package wait

import (
	"testing"
	"time"
)

// Guards against an entry that waits during its stop for a call that a peer never answers, until
// its process is killed.
func TestWithinReturnsBeforeUnfinishedWork(t *testing.T) {
	unanswered := make(chan struct{})
	defer close(unanswered)
	if Within(time.Millisecond, func() { <-unanswered }) {
		t.Error("work that never ends was reported as ended")
	}
	if !Within(time.Hour, func() {}) {
		t.Error("work that ended was reported as not ended")
	}
}
