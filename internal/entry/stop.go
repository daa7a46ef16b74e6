package entry

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/directory"
	"github.com/tealhall/tealhall/internal/wait"
)

// StopSummary says how a planned stop went.
type StopSummary struct {
	// Cut counts requests in flight that were cut off.
	Cut int
	// HandedOver counts the keys given to successors, Successors who took them.
	HandedOver int
	Successors int
	Took       time.Duration
}

// Stop is a planned stop. Callers are no longer sent here and peers are told;
// requests are served until the answers that name this entry have run out.
// Then new connections are refused, requests in flight are finished and the
// idempotency table is handed over. If ctx ends first, the stop is quick and
// says what it cuts.
func (e *Entry) Stop(ctx context.Context) StopSummary {
	began := e.engine.clock()
	plan := planStop(e.answersTTL(), &e.settings.Timeouts)
	until := func(step time.Duration) time.Duration { return step - (e.engine.clock() - began) }
	e.leave("a planned stop")
	wait.For(ctx, until(plan.turnAway))
	// From here on only callers with late answers come. Each answer asks its
	// caller to close the connection, so that the close of an idle one, which
	// could meet a request on its way, is the exception.
	e.front.Leave()
	wait.For(ctx, until(plan.refuse))
	var running int
	e.engine.view(func(now time.Duration, c *core.Core) { running = c.SealKeys(now) })
	// The keys are handed over at once: from now on this entry refuses
	// connections, and uploads may keep it for long. Keys that still run are
	// unknown to the successors until the second hand-over.
	// A quick stop hands them over as well.
	left, cancel := context.WithTimeout(context.WithoutCancel(ctx), until(plan.sayGoodbye))
	defer cancel()
	first := make(chan handover, 1)
	go func() { first <- e.handOver(left) }()
	cut := e.finishRequests(ctx, until(plan.cut))
	handedOver := <-first
	if running > 0 {
		handedOver = e.handOver(left)
	}
	e.finish(min(farewell, until(plan.end)), func() time.Duration { return until(plan.end) })
	return StopSummary{
		Cut:        cut,
		HandedOver: handedOver.keys,
		Successors: handedOver.successors,
		Took:       e.engine.clock() - began,
	}
}

func (e *Entry) leave(why string) {
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Leave(now, why, out) })
}

// answersTTL is how long callers may still use answers that name this entry.
func (e *Entry) answersTTL() time.Duration {
	if e.revision.Load() == 0 {
		return 0
	}
	if ttl := e.settings.Timeouts.AnswersTTL.Duration; ttl > 0 {
		return ttl
	}
	return directory.DefaultMaxTTL
}

// finishRequests refuses new connections, waits at most so long for the requests in flight and
// returns how many it had to cut off. A wait that gets long is reported.
func (e *Entry) finishRequests(ctx context.Context, most time.Duration) int {
	limit, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	patience := time.AfterFunc(min(e.settings.Timeouts.StopGrace.Duration, most/2), func() {
		e.report("waits", e.front.InFlight(), "they are cut off "+most.Round(time.Millisecond).String()+" after new connections were refused")
	})
	defer patience.Stop()
	return e.front.Stop(limit, func(inFlight int) {
		why := "a second signal made the stop quick"
		if ctx.Err() == nil {
			why = "raise timeouts.stop_upload, or timeouts.stop_within where that is less, to wait longer"
		}
		e.report("cuts-off", inFlight, why)
	})
}

// report says in log and audit trail what a stop does with requests in flight.
func (e *Entry) report(action string, requests int, why string) {
	klog.InfoS("a planned stop meets requests in flight", "action", action, "requests", requests, "why", why)
	e.trail.Add(audit.Record{
		Actor:   "entry " + e.settings.Name,
		Subject: "planned stop",
		Action:  action,
		To:      strconv.Itoa(requests) + " requests in flight",
		Why:     why,
	})
}

// finish says goodbye, gives that so long on its way and ends all goroutines. Those that are not
// through when the process has to end, in a call that nobody answers for one, end with it: a process
// that waited for them would be killed.
func (e *Entry) finish(onItsWay time.Duration, left func() time.Duration) {
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Stopped(now, out) })
	wait.For(context.Background(), onItsWay)
	if !wait.Within(left(), e.shutDown) {
		klog.InfoS("the process ends before all its calls have", "entry", e.settings.Name)
	}
}

// Kill ends the entry at once, as a crash would: nothing is said or finished.
// It does nothing to an entry that was not started.
func (e *Entry) Kill() {
	if e.cancel == nil {
		return
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.peerListener.Close()
	e.front.Stop(cancelled, nil)
	e.shutDown()
}

func (e *Entry) shutDown() {
	e.cancel()
	e.links.Close()
	e.peerServer.Close()
	e.connections.Close()
	e.homes.Close()
	// Requests that were cut off don't outlive the entry at an endpoint.
	e.engine.cancelAll()
	e.endRunning()
}
