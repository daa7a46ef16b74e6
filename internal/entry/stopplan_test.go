package entry

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/settings"
	"pgregory.net/rapid"
)

// For all settings, the steps of a stop are in order, the process ends before it is killed, and the
// requests in flight have at least a quarter of the time once new connections are refused.
func TestStopPlanStepsAreInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		timeouts := &settings.Timeouts{
			StopServe:  settings.Duration{Duration: span("serve", 0, time.Hour)},
			StopUpload: settings.Duration{Duration: span("upload", time.Second, 24*time.Hour)},
			StopWithin: settings.Duration{Duration: span("within", time.Second, 48*time.Hour)},
		}
		within := timeouts.StopWithin.Duration
		p := planStop(span("ttl", 0, 10*time.Minute), timeouts)
		steps := []time.Duration{0, p.askToClose, p.refuseConnections, p.cutOff, p.announceStopped, p.end, within}
		for i := 1; i < len(steps); i++ {
			if steps[i] < steps[i-1] {
				t.Fatalf("step %d is earlier than the previous step: %v", i, steps)
			}
		}
		if p.end >= within {
			t.Errorf("the process ends after %v but is killed after %v", p.end, within)
		}
		if left := p.announceStopped - p.refuseConnections; left < within/4 {
			t.Errorf("requests in flight have %v of %v, want a quarter", left, within)
		}
	})
}

// A caller sends a request in the first half of the grace time, and the endpoint answers before its
// last sixth. The answer must reach the caller however long the earlier steps take, for every grace
// time that is long enough for this.
func TestStopPlanCutsNothingBeforeTheLastSixth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(2*time.Second), int64(time.Minute)).Draw(t, "grace"))
		timeouts := settings.Default().Timeouts
		timeouts.StopWithin.Duration = grace
		p := planStop(time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "ttl")), &timeouts)
		if last := grace * 5 / 6; p.cutOff < last {
			t.Errorf("requests are cut off after %v, but an answer may come until %v", p.cutOff, last)
		}
	})
}

// Without StopWithin, a stop lasts as long as its steps take together.
func TestStopPlanWithoutStopWithin(t *testing.T) {
	timeouts := settings.Default().Timeouts
	p := planStop(12*time.Second, &timeouts)
	if p.askToClose != 12*time.Second || p.refuseConnections != 13*time.Second || p.cutOff != 13*time.Second+15*time.Minute || p.end < 48*time.Hour {
		t.Errorf("got plan %+v", p)
	}
}
