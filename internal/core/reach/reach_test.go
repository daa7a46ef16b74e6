package reach

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// play applies events like "f1@10" (endpoint 1 fails at 10 ms) and "a@20" (any endpoint answers).
func play(t *testing.T, live int, events string) *Tracker {
	t.Helper()
	var tracker Tracker
	for event := range strings.FieldsSeq(events) {
		what, at, _ := strings.Cut(event, "@")
		var millis int
		if _, err := fmt.Sscan(at, &millis); err != nil {
			t.Fatal(err)
		}
		now := time.Duration(millis) * ms
		tracker.Expire(now)
		if what == "a" {
			tracker.Answered(now)
			continue
		}
		tracker.Failed(now, now, what, live)
	}
	return &tracker
}

// Guards against a cut that is not recognized, and against single endpoints, a short silence or
// late reports that are taken for one.
func TestLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		live   int
		events string
		want   bool
	}{
		{"three endpoints fail", 9, "f1@10 f2@140 f3@310", true},
		{"within a short silence", 9, "f1@10 f2@11 f3@12 f4@300", false},
		{"one endpoint fails again and again", 9, "f1@10 f1@160 f1@310 f1@460", false},
		{"two of nine fail", 9, "f1@10 f2@160 f1@310 f2@460", false},
		{"both of two fail", 2, "f1@10 f2@160 f1@310", true},
		{"the only one fails", 1, "f1@10 f1@160 f1@310", true},
		{"the only one fails twice", 1, "f1@10 f1@310", false},
		{"an endpoint answers in between", 9, "f1@10 f2@140 a@150 f3@310 f4@320", false},
		{"answers end it", 9, "f1@10 f2@140 f3@310 a@320 a@330 a@340", false},
		{"two answers do not", 9, "f1@10 f2@140 f3@310 a@320 a@330", true},
		{"answers that are not in a row do not", 9, "f1@10 f2@140 f3@310 a@320 a@330 f1@340 a@350 a@360", true},
		{"links that come and go need more answers", 9, "f1@10 f2@140 f3@310 a@320 a@330 a@340 f1@400 f2@540 f3@710 a@720 a@730 a@740", true},
		{"a loss that nothing confirms ends", 9, "f1@10 f2@140 f3@310 a@1250", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := play(t, c.live, c.events).Lost(); got != c.want {
				t.Errorf("lost %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a failure that is reported after an endpoint has answered, although what was not
// answered had been sent before.
func TestOldFailuresDoNotCount(t *testing.T) {
	var tracker Tracker
	tracker.Answered(100 * ms)
	for i, endpoint := range []string{"f1", "f2", "f3", "f4"} {
		tracker.Failed(time.Duration(150+100*i)*ms, 90*ms, endpoint, 9)
	}
	if tracker.Lost() || tracker.Unanswered() != 0 {
		t.Errorf("lost %v, %d endpoints unanswered", tracker.Lost(), tracker.Unanswered())
	}
}
