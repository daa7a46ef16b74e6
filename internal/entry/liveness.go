package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/wait"
)

// livenessTimeout is how long the platform may take to answer a glance before this entry
// tells the others not to rely on it. A glance that is answered later than that shows
// that the platform is slow, so this entry reads on.
const livenessTimeout = 300 * time.Millisecond

// livenessChecks is what an entry that reads the platform learns from cheap calls beside its
// watches. Guards against a platform that stops answering some entries, the readers
// among them: their watches wait in silence, and published changes come into force
// only when the watches time out. Guards as well against a platform that has forgotten a watch,
// as one that drops its history does: it answers, and the watch waits in silence.
type livenessChecks struct {
	platform published.LivenessChecker
	every    time.Duration
	// done and late count them, late those that were not answered in time.
	done, late atomic.Uint64
	// renewed counts the watches that were made anew.
	renewed atomic.Uint64
	// failed says that the latest glance had no answer at all. While it stays so,
	// nothing is read: the next glance tells sooner, and for less.
	failed atomic.Bool
	// answered says that a glance was answered since this entry reads.
	answered atomic.Bool
	// latest is how far the platform was at the glance before, renewedAt when a watch was last
	// made anew.
	latest    uint64
	renewedAt time.Duration
	// nextSpread is when an entry glances next that is one of those who try last, 0 for none.
	nextSpread time.Duration
}

// livenessLoop glances for as long as this entry reads the platform.
func (e *Entry) livenessLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !e.isReader() {
			e.liveness.failed.Store(false)
			e.liveness.answered.Store(false)
			e.liveness.nextSpread = 0
			wait.For(ctx, readerCheckInterval)
			continue
		}
		pause, spread := e.livenessPause()
		if !e.liveness.due(e.engine.clock(), pause, spread) {
			wait.For(ctx, readerCheckInterval)
			continue
		}
		e.checkLiveness(ctx)
		if !spread {
			wait.For(ctx, pause)
		}
	}
}

// due reports whether to glance now. One that is spread glances at a random moment, on average a
// pause after it began to read or after the glance before. It is asked again and again meanwhile:
// an entry whose duty it becomes to read glances at once, rather than up to two pauses later.
func (l *livenessChecks) due(now, pause time.Duration, spread bool) bool {
	if !spread {
		l.nextSpread = 0
		return true
	}
	if l.nextSpread == 0 {
		l.nextSpread = now + time.Duration(2*rand.Float64()*float64(pause))
	}
	if now < l.nextSpread {
		return false
	}
	l.nextSpread = 0
	return true
}

func (e *Entry) livenessPause() (pause time.Duration, spread bool) {
	e.engine.view(func(now time.Duration, c *core.Core) { pause, spread = c.LivenessPause(now, e.liveness.every) })
	return pause, spread
}

// checkLiveness makes one call and notes whether it was answered, and whether in time.
func (e *Entry) checkLiveness(life context.Context) {
	ctx, cancel := context.WithTimeout(life, e.settings.Platform.Timeout.Duration)
	defer cancel()
	late := time.AfterFunc(livenessTimeout, func() { e.noteLiveness(false) })
	result, err := e.liveness.platform.Liveness(ctx)
	inTime := late.Stop() && err == nil
	if life.Err() != nil {
		return // this entry stops
	}
	e.noteLiveness(inTime)
	if err == nil {
		e.liveness.answered.Store(true)
		e.renewWatch(result)
	}
	e.liveness.done.Add(1)
	if !inTime {
		e.liveness.late.Add(1)
	}
	if failed := err != nil; e.liveness.failed.Swap(failed) != failed {
		klog.InfoS("the platform answers glances", "answers", !failed, "err", err)
	}
}

// renewWatch has a watch made anew that has not brought, a whole glance later, what the platform
// held by then. Without it a profile that was published while the platform dropped its history
// came into force when the watches ran out, 3 s later, and the list had to be read besides.
func (e *Entry) renewWatch(result published.Liveness) {
	previous := e.liveness.latest
	e.liveness.latest = result.Latest
	now, timeout := e.engine.clock(), e.settings.Platform.Timeout.Duration
	if result.Delivered == 0 || result.Delivered >= previous || e.liveness.renewedAt != 0 && now-e.liveness.renewedAt < timeout {
		return // nothing is missing, or the new call has had no time yet
	}
	e.liveness.renewedAt = now
	klog.InfoS("a watch has not brought what the platform holds; it is made anew", "brought", result.Delivered, "held", previous)
	e.liveness.renewed.Add(1)
	e.liveness.platform.RenewWatch()
}

func (e *Entry) noteLiveness(inTime bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAlive(inTime) })
}

// shouldRead reports whether this entry should read the platform now.
func (e *Entry) shouldRead() bool { return e.isReader() && e.liveness.allowsRead(e.assigned()) }

// allowsRead reports whether an entry that reads may do so by what its glances tell. One that is not
// assigned to read does when those that are have no answer, so most likely it gets none
// either: it waits until a glance was answered. Guards against a platform that is down, to
// which each entry of the fleet in turn would send reads, ten times as dear.
func (l *livenessChecks) allowsRead(assigned bool) bool {
	return !l.failed.Load() && (assigned || !l.enabled() || l.answered.Load())
}

// enabled reports whether this entry glances at all.
func (l *livenessChecks) enabled() bool { return l.every > 0 && l.platform != nil }
