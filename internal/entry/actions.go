package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/message"
)

// The limits of probes and fetches, which serve no caller's request.
const (
	probeTimeout = 2 * time.Second
	// fetchTimeout bounds a call for one part of a peer's document.
	fetchTimeout = 3 * time.Second
	// readTimeout bounds a read of the platform. A large value takes seconds on a slow link; other
	// sources are asked meanwhile.
	readTimeout = 20 * time.Second
	// maxProbeBody is how many bytes of the answer to a probe are read.
	maxProbeBody = 16 << 10
)

// executeActions carries out the core's actions that do not belong to a single request.
func (e *Entry) executeActions(a *core.Actions) {
	for i := range a.Notes {
		e.trail.Add(e.auditRecord(&a.Notes[i]))
	}
	for i := range a.Traces {
		logTrace(&a.Traces[i])
	}
	for i := range a.Updates {
		e.deliver(a.Updates[i])
	}
	for _, address := range a.DropAddresses {
		e.connections.Drop(address)
		e.homeConnections.Drop(address)
		e.relayConnections.Drop(address)
	}
	for _, address := range a.SuspectAddresses {
		e.connections.Suspect(address)
	}
	for _, p := range a.Probes {
		e.run(func() { e.probe(p) })
	}
	for _, f := range a.Fetches {
		e.run(func() { e.fetch(f) })
	}
}

func (e *Entry) auditRecord(n *core.Note) audit.Record {
	return audit.Record{
		Actor:    orElse(n.Actor, "entry "+e.settings.Name),
		Subject:  n.Subject,
		Action:   n.Action,
		From:     n.From,
		To:       n.To,
		Revision: n.Revision,
		Why:      n.Why,
	}
}

// deliver sends an update to a peer and reports to the core whether the peer accepted it. A lost
// update stays pending.
func (e *Entry) deliver(u core.Outgoing) {
	e.links.Deliver(u.Address, u.Update, func(r message.Receipt) { e.updateDone(u.To, u.Update.Sequence, r) })
}

func (e *Entry) updateDone(to, sequence uint64, r message.Receipt) {
	e.engine.event(func(now time.Duration, c *core.Core, _ *core.Actions) {
		c.UpdateDone(now, to, sequence, r)
	})
}

// probe sends a health, load or crash probe to an endpoint and reports the result to the core.
func (e *Entry) probe(p core.Probe) {
	timeout := probeTimeout
	if p.Wait > 0 {
		timeout = p.Wait
	}
	ctx, cancel := context.WithTimeout(e.life, timeout)
	defer cancel()
	end := core.ProbeEnd{Probe: p}
	began := e.engine.clock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, orElse(p.Path, contract.ProbePath), nil)
	if err == nil {
		e.sendProbe(ctx, request, &end)
	}
	end.Latency = e.engine.clock() - began
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.ProbeEnd(now, end, out) })
}

func (e *Entry) sendProbe(ctx context.Context, request *http.Request, end *core.ProbeEnd) {
	request.Host = end.Probe.Address
	response, delivery, err := e.connections.Send(ctx, forward.Outgoing{
		Address:  end.Probe.Address,
		Request:  request,
		OpenOnly: end.Probe.OpenOnly,
		NewConn:  end.Probe.NewConn,
		IsStray:  func(answer http.Header) bool { return e.dialect.BelongsTo("", request.Header, answer) == StrayAnswer },
	})
	e.instruments.countDelivery(delivery)
	if err != nil {
		failure := forward.FailureOf(err)
		end.Refused = failure == forward.DialRefused
		end.NoOpenConn = end.Probe.OpenOnly && failure == forward.NoConnection
		broken := failure == forward.ConnectionLost
		end.Connected = delivery.NewConn && delivery.Wrote && !broken
		end.DialFailed = delivery.NewConn && (!delivery.Wrote || broken)
		return
	}
	end.Connected = delivery.NewConn
	// A connection with an unread body cannot be reused, so each probe would need a new one.
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBody)
	_ = response.Body.Close()
	head := e.dialect.ReadHead(end.Probe.Endpoint, request.Header, response.Header, response.StatusCode)
	end.OK = response.StatusCode < http.StatusInternalServerError || head.NotRun
	end.Unhealthy = response.StatusCode >= http.StatusInternalServerError
	end.Load, end.RetryAfter, end.Draining = head.Load, head.RetryAfter, head.Draining
	end.Incarnation, end.Misdirected = head.Incarnation, head.Misdirected
	end.AnsweredBy = head.AnsweredBy
}

// fetch gets a published value from a peer or the configuration service.
func (e *Entry) fetch(f core.Fetch) {
	answered, deferred := e.fetchFrom(f)
	if !f.Planned {
		return
	}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		if deferred > 0 {
			c.FetchDeferred(now, f, deferred, out)
			return
		}
		c.FetchDone(now, f, answered)
	})
}

func (e *Entry) fetchFrom(f core.Fetch) (answered bool, deferred time.Duration) {
	if f.Source == assign.Platform {
		klog.InfoS("reading a value of the platform", "value", f.Name, "why", f.Why)
		ctx, cancel := context.WithTimeout(e.life, readTimeout)
		defer cancel()
		value, err := e.platform.Read(ctx, f.Name)
		if err != nil {
			klog.V(1).InfoS("could not read a value from the platform", "value", f.Name, "err", err)
			return false, 0
		}
		e.fetchReceived(f, len(value.Data), true)
		e.offer(value, assign.Platform)
		return true, 0
	}
	return e.fetchFromPeer(e.life, f)
}
