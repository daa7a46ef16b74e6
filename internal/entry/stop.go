package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/directory"
	"github.com/tealhall/tealhall/internal/message"
)

const (
	// handoverRecords is how many keys one message of a hand-over holds. Kept
	// answers may add to it, within the bound of a message.
	handoverRecords = 256
	// handoverTimeout bounds the hand-over to one successor.
	handoverTimeout = 5 * time.Second
	// farewell is how long the last message may take on its way.
	farewell = 500 * time.Millisecond
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
	var summary StopSummary
	e.leave("a planned stop")
	sleep(ctx, e.answersRunOut())
	e.engine.view(func(now time.Duration, c *core.Core) { c.SealKeys(now) })
	e.front.Leave()
	limit, cancel := context.WithTimeout(ctx, e.settings.Timeouts.StopUpload.Duration)
	summary.Cut = e.front.Stop(limit, func(inFlight int) {
		klog.ErrorS(nil, "cutting off requests; raise timeouts.stop_upload to wait longer", "requests", inFlight)
	})
	cancel()
	summary.HandedOver, summary.Successors = e.handOver(context.WithoutCancel(ctx))
	e.finish()
	summary.Took = e.engine.clock() - began
	return summary
}

func (e *Entry) leave(why string) {
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Leave(now, why, out) })
}

// answersRunOut is how long callers may still use answers that name this entry.
func (e *Entry) answersRunOut() time.Duration {
	if e.revision.Load() == 0 {
		return 0
	}
	return directory.MaxTTL
}

// handOver gives the sealed idempotency table to the successors, and with it
// what this entry adopted from others before.
func (e *Entry) handOver(ctx context.Context) (keys, taken int) {
	var parts []message.Handover
	var addresses []string
	e.engine.view(func(_ time.Duration, c *core.Core) {
		parts = c.Handover(handoverRecords)
		addresses = c.SuccessorAddresses()
	})
	for _, part := range parts {
		keys += len(part.Records)
	}
	for _, address := range addresses {
		if e.handOverTo(ctx, address, parts) {
			taken++
		}
	}
	return keys, taken
}

func (e *Entry) handOverTo(ctx context.Context, address string, parts []message.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, part := range parts {
		ack, err := e.links.Handover(ctx, address, part)
		if err != nil || !ack.Accepted {
			klog.ErrorS(err, "a successor did not take the idempotency keys; callers that ask it will be told unknown", "peer", address, "reason", ack.Reason)
			return false
		}
	}
	return true
}

// finish says goodbye and ends all goroutines.
func (e *Entry) finish() {
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Stopped(now, out) })
	sleep(context.Background(), farewell)
	e.shutDown()
}

// Kill ends the entry at once, as a crash would: nothing is said or finished.
func (e *Entry) Kill() {
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
	e.running.Wait()
}
