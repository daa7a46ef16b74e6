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

// livenessTimeout is how long the configuration service may take to answer a liveness check before
// this entry tells its peers not to rely on this entry as a reader. A later answer shows that the
// configuration service is slow but alive, so this entry continues to read.
const livenessTimeout = 300 * time.Millisecond

// livenessChecks is the state of a reader's liveness checks: cheap calls to the configuration
// service in addition to the watches. They guard against a configuration service that stops
// answering some entries, readers included: the watches of these entries wait without an error, and
// published changes would come into force only when the watches time out. They also guard against a
// configuration service that forgets a watch, for example because it dropped its history: the
// configuration service answers new calls, but the watch waits without an error.
type livenessChecks struct {
	platform published.LivenessChecker
	every    time.Duration
	// done counts the checks, late those that were not answered in time.
	done, late atomic.Uint64
	// renewed counts the watches that were renewed.
	renewed atomic.Uint64
	// failed is set if the latest check had no answer. Nothing is read while it is set: the next
	// check detects the configuration service's return sooner and at a lower cost than a read.
	failed atomic.Bool
	// answered is set if a check was answered since this entry began to read.
	answered atomic.Bool
	// latest is the newest revision that the configuration service had at the previous check,
	// renewedAt when a watch was last renewed.
	latest    uint64
	renewedAt time.Duration
	// nextSpread is the time of the next check if checks are spread, as for entries of the last
	// standby group; 0 for none.
	nextSpread time.Duration
}

// livenessLoop makes liveness checks while this entry is a reader.
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

// due reports whether to make a check now. A check with spread set is due at a random time, on
// average one pause after the entry began to read or after the previous check. due is called
// repeatedly meanwhile, so that an entry that becomes assigned to read checks at once rather than
// up to two pauses later.
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

// checkLiveness makes one liveness check and records whether it was answered, and whether in time.
// While another answer is arriving the configuration service is alive, however late this one is.
func (e *Entry) checkLiveness(life context.Context) {
	ctx, cancel := context.WithTimeout(life, e.settings.Platform.Timeout.Duration)
	defer cancel()
	receiving := e.liveness.platform.Receiving
	late := time.AfterFunc(livenessTimeout, func() { e.noteLiveness(receiving()) })
	result, err := e.liveness.platform.Liveness(ctx)
	inTime := late.Stop() && err == nil
	if life.Err() != nil {
		return // this entry is stopping
	}
	e.noteLiveness(inTime || receiving())
	if err == nil {
		e.liveness.answered.Store(true)
		e.renewWatch(result)
	}
	e.liveness.done.Add(1)
	if !inTime {
		e.liveness.late.Add(1)
	}
	if failed := err != nil && !receiving(); e.liveness.failed.Swap(failed) != failed {
		klog.InfoS("the platform's answers to liveness checks changed", "answers", !failed, "err", err)
	}
}

// renewWatch renews the watch if it still has not delivered the revision that the configuration
// service had at the previous check. Without this, a profile that was published while the
// configuration service dropped its history came into force only when the watches timed out, 3 s
// later, and the list of VMs had to be read as well.
func (e *Entry) renewWatch(result published.Liveness) {
	previous := e.liveness.latest
	e.liveness.latest = result.Latest
	now, timeout := e.engine.clock(), e.settings.Platform.Timeout.Duration
	if result.Delivered == 0 || result.Delivered >= previous || e.liveness.renewedAt != 0 && now-e.liveness.renewedAt < timeout {
		return // nothing is missing, or the renewed watch has not had time yet
	}
	e.liveness.renewedAt = now
	klog.InfoS("a watch did not deliver the newest revision of the platform; renewing it", "brought", result.Delivered, "held", previous)
	e.liveness.renewed.Add(1)
	e.liveness.platform.RenewWatch()
}

func (e *Entry) noteLiveness(inTime bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAlive(inTime) })
}

// shouldRead reports whether this entry should read the configuration service now.
func (e *Entry) shouldRead() bool { return e.isReader() && e.liveness.allowsRead(e.assigned()) }

// allowsRead reports whether the results of the liveness checks allow a reader to read. An entry
// that is not assigned to read becomes a reader when the assigned readers get no answer. It would
// most likely get none either, so it waits until one of its checks is answered. Otherwise, while
// the configuration service is down, each entry of the fleet in turn would send it reads, which
// cost ten times as much as checks.
func (l *livenessChecks) allowsRead(assigned bool) bool {
	return !l.failed.Load() && (assigned || !l.enabled() || l.answered.Load())
}

// enabled reports whether this entry makes liveness checks at all.
func (l *livenessChecks) enabled() bool { return l.every > 0 && l.platform != nil }
