package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// Guards against entries that together send an endpoint pool more repeats than the fleet's bound
// allows, because each keeps to it in its own latest window only: endpoints refuse nearly everything
// while callers stop or go to other entries.
func TestRepeatsStayWithinTheBoundWhenTrafficFalls(t *testing.T) {
	const fault = 7 * sec
	bound := budget.RepeatBound{Share: 0.2, Window: 10 * sec, Slack: 64}
	for _, c := range []struct {
		name string
		// before, during and after are how long traffic lasts before the fault, in it, and in it with
		// callers that use the other entries.
		before, during, after time.Duration
	}{
		{"traffic ends after ten seconds", fault, 3 * sec, 0},
		{"traffic ends with the fault", 10 * sec, 200 * ms, 0},
		{"traffic ends after a minute", 60 * sec, 3 * sec, 0},
		{"callers go to other entries", 20 * sec, sec, 9 * sec},
		{"traffic begins in the fault", 0, 20 * sec, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newOverloadFleet(t, overloadLoad{entries: 19, endpoints: 29, slots: 6, queue: 12, work: 140 * ms, repeats: bound})
			const rate = 280
			f.callersUse = f.entries[:12]
			f.arrive(rate, c.before)
			f.run(c.before)
			f.load.shedShare = 0.95
			f.arrive(rate, c.during)
			f.run(c.during)
			f.callersUse = f.entries[12:]
			f.arrive(rate, c.after)
			f.run(c.after + 2*sec)
			w := f.log.Worst(bound)
			if t.Log(w); w.Exceeded() {
				t.Error("too many repeats")
			}
			if f.log.Repeats(0) < 20 {
				t.Error("the endpoints' refusals caused few repeats")
			}
		})
	}
}
