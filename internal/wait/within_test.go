package wait

import (
	"testing"
	"time"
)

// An entry was told to stop and waited for a call to a peer that nobody answered, until its process
// was killed. What does not end in time is not waited for.
func TestWithinReturnsBeforeUnfinishedWork(t *testing.T) {
	unanswered := make(chan struct{})
	defer close(unanswered)
	if Within(time.Millisecond, func() { <-unanswered }) {
		t.Error("it ended")
	}
	if !Within(time.Hour, func() {}) {
		t.Error("it did not end")
	}
}
