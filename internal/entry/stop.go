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

// StopSummary is the result of a planned stop.
type StopSummary struct {
	// Cut counts the requests in flight that were cut off.
	Cut int
	// HandedOver counts the keys offered to successors, Successors the entries that accepted at
	// least one whole table of them.
	HandedOver int
	Successors int
	Took       time.Duration
}

// Stop makes a planned stop. Peers are notified and callers are no longer sent to this entry;
// requests are served until the directory answers that name this entry have expired. Then new
// connections are refused, requests in flight are finished and the key table is handed over. If ctx
// ends first, the stop is quick and reports the number of requests that it cuts off.
func (e *Entry) Stop(ctx context.Context) StopSummary {
	began := e.engine.clock()
	plan := planStop(e.answersTTL(), &e.settings.Timeouts)
	until := func(step time.Duration) time.Duration { return step - (e.engine.clock() - began) }
	e.engine.event(func(_ time.Duration, c *core.Core, _ *core.Actions) { c.SetCutOff(began + plan.cutOff) })
	bodiesCtx, stopBodies := context.WithCancel(ctx)
	defer stopBodies()
	go e.refuseLateBodies(bodiesCtx)
	e.leave("a planned stop")
	wait.For(ctx, until(plan.askToClose))
	// From here on, only callers with expired directory answers send requests. Each answer asks its
	// caller to close the connection, so that the entry seldom has to close an idle connection, on
	// which a request may be under way.
	e.front.Leave()
	wait.For(ctx, until(plan.refuseConnections))
	var running int
	e.engine.view(func(now time.Duration, c *core.Core) { running = c.SealKeys(now) })
	// The keys are handed over at once, even in a quick stop: from now on this entry refuses
	// connections, and uploads may delay its end for a long time. The successors see keys that
	// still run as unknown until the second hand-over.
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), until(plan.announceStopped))
	defer cancel()
	firstHandover := make(chan handoverResult, 1)
	go func() { firstHandover <- e.handOver(handoverCtx) }()
	cut := e.finishRequests(ctx, until(plan.cutOff))
	handedOver := <-firstHandover
	if running > 0 {
		handedOver = e.handOver(handoverCtx)
	}
	e.finish(min(stoppedMessageTime, until(plan.end)), func() time.Duration { return until(plan.end) })
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

// answersTTL returns how long callers may still use directory answers that name this entry.
func (e *Entry) answersTTL() time.Duration {
	if e.revision.Load() == 0 {
		return 0
	}
	if ttl := e.settings.Timeouts.AnswersTTL.Duration; ttl > 0 {
		return ttl
	}
	return directory.DefaultMaxTTL
}

// finishRequests refuses new connections, waits up to timeout for the requests in flight and
// returns how many it had to cut off. It reports a long wait in the log and the audit trail.
func (e *Entry) finishRequests(ctx context.Context, timeout time.Duration) int {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	longWait := time.AfterFunc(min(e.settings.Timeouts.StopGrace.Duration, timeout/2), func() {
		e.reportStop("waits", e.front.InFlight(), "the requests are cut off "+timeout.Round(time.Millisecond).String()+" after new connections were refused")
	})
	defer longWait.Stop()
	return e.front.Stop(timeoutCtx, func(inFlight int) {
		why := "a second signal made the stop quick"
		if ctx.Err() == nil {
			why = "raise timeouts.stop_upload, or timeouts.stop_within where that is less, to wait longer"
		}
		e.reportStop("cuts-off", inFlight, why)
	})
}

// reportStop records in the log and the audit trail what a stop does with requests in flight.
func (e *Entry) reportStop(action string, requests int, why string) {
	klog.InfoS("a planned stop has requests in flight", "action", action, "requests", requests, "why", why)
	e.trail.Add(audit.Record{
		Actor:   "entry " + e.settings.Name,
		Subject: "planned stop",
		Action:  action,
		To:      strconv.Itoa(requests) + " requests in flight",
		Why:     why,
	})
}

// finish tells peers that this entry has stopped, waits sendTime for the message to be sent and
// ends all goroutines. Goroutines that do not end by the time when the process must end, for
// example in a call that gets no answer, end with the process: a process that waited for them would
// be killed.
func (e *Entry) finish(sendTime time.Duration, timeLeft func() time.Duration) {
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Stopped(now, out) })
	wait.For(context.Background(), sendTime)
	if !wait.Within(timeLeft(), e.shutDown) {
		klog.InfoS("the process ends before all its goroutines have ended", "entry", e.settings.Name)
	}
}

// Kill ends the entry at once, as a crash would: peers are not notified and requests are not
// finished. It does nothing to an entry that was not started.
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
	e.homeConnections.Close()
	e.relayConnections.Close()
	// Requests that were cut off must not run on at an endpoint after the entry has ended.
	e.engine.cancelAll()
	e.endRunning()
}
