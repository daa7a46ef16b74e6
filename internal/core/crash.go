package core

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// An attempt that is lost because its connection broke says little: endpoints reset connections
// that are too many or idle. Its endpoint is asked at once whether it takes connections; one that
// refuses them has crashed, and the whole fleet is told under which request (package quarantine).
const (
	// brokenMost bounds the attempts whose endpoint is still to be asked.
	brokenMost = 256
	// crashProbeGap is the time between two questions to an endpoint that says nothing, crashProbeFor how long
	// it is asked. One that is cut off or has lost power says nothing for longer.
	crashProbeGap = 200 * time.Millisecond
	crashProbeFor = 2 * time.Second
	// spreadAfter is after how long the fleet is told of the first crash under a request. Most requests
	// run elsewhere by then, so that many endpoints which crash for another reason are hardly news.
	spreadAfter = 500 * time.Millisecond
)

// unspreadCrash is a crash of which the fleet has not been told, and when it is to be.
type unspreadCrash struct {
	quarantine.Crash
	due time.Duration
}

// brokenAttempt is an attempt whose connection broke before its answer was whole.
type brokenAttempt struct {
	request     quarantine.Request
	pool        *pool
	endpoint    string
	incarnation uint64
	address     string
	began, at   time.Duration
	// askAt is when the endpoint is asked next.
	askAt time.Duration
}

// noteBroken takes in the end of an attempt.
func (c *Core) noteBroken(now time.Duration, r *request, a *attempt, e *table.Endpoint, end End, out *Actions) {
	request := r.identity()
	switch {
	case request.Content == 0:
	case end.Kind == EndComplete && a.status < http.StatusInternalServerError:
		c.noteCompleted(now, request, out)
	case !end.Broke || e.State != table.EndpointLive || len(c.broken) >= brokenMost:
	default:
		c.broken = append(c.broken, brokenAttempt{request: request, pool: r.pool, endpoint: e.Name, incarnation: e.Incarnation,
			address: e.Address, began: a.sentAt, at: now})
		c.probeBroken(now, out)
	}
}

// probeBroken asks the endpoints of broken attempts whether they have crashed, within the bounds on
// watching.
func (c *Core) probeBroken(now time.Duration, out *Actions) {
	c.broken = slices.DeleteFunc(c.broken, func(b brokenAttempt) bool { return now-b.at >= crashProbeFor })
	for i := range c.broken {
		b := &c.broken[i]
		if now < b.askAt || !c.mayProbeBroken(now, b.pool) {
			continue
		}
		for j := range c.broken {
			if o := &c.broken[j]; o.endpoint == b.endpoint && o.incarnation == b.incarnation {
				o.askAt = now + crashProbeGap
			}
		}
		out.Probes = append(out.Probes, Probe{Pool: b.pool.Name, Endpoint: b.endpoint, Incarnation: b.incarnation, Address: b.address,
			Path: b.pool.probePath, Broken: true, At: now, Wait: crashProbeGap})
	}
}

func (c *Core) mayProbeBroken(now time.Duration, p *pool) bool {
	if p.usesLoadProbes() {
		return p.loadProbes.TrySpend(now, p.live(), c.fleet.ownShare)
	}
	return p.healthProbes.TrySpend(now, p.Slots())
}

// brokenProbeEnd takes in what the endpoint of broken attempts answered. One at whose address
// another endpoint, or another incarnation, answers has ended as well.
func (c *Core) brokenProbeEnd(now time.Duration, end ProbeEnd, out *Actions) {
	crashed := end.Refused || end.Misdirected || end.Seen != 0 && end.Seen != end.Probe.Incarnation
	if !crashed && !end.OK && !end.Unwell {
		return // it is asked again
	}
	var crashes []quarantine.Crash
	c.broken = slices.DeleteFunc(c.broken, func(b brokenAttempt) bool {
		if b.endpoint != end.Probe.Endpoint || b.incarnation != end.Probe.Incarnation || b.at > end.Probe.At {
			return false
		}
		if crashed {
			crashes = append(crashes, quarantine.Crash{Request: b.request, Endpoint: b.endpoint, Incarnation: b.incarnation, Began: b.began, At: b.at})
		}
		return true
	})
	for _, crash := range crashes {
		c.takeRequestEvidence(now, []message.Evidence{crashEvidence(now, &crash)}, out)
		c.unspreadCrashes = append(c.unspreadCrashes, unspreadCrash{crash, crash.At + spreadAfter})
	}
	if len(crashes) > 0 {
		c.spreadCrashes(now)
	}
}

func crashEvidence(now time.Duration, crash *quarantine.Crash) message.Evidence {
	return message.Evidence{VM: crash.Endpoint, Incarnation: crash.Incarnation, Kind: message.EvidenceCrashed, Content: crash.Content,
		Caller: crash.Caller, AgeMillis: millis(now - crash.At), RanMillis: millis(crash.At - crash.Began)}
}

// spreadCrashes has the fleet told of the crashes that are due, or whose request has crashed another
// endpoint; those under requests that have run since are no news.
func (c *Core) spreadCrashes(now time.Duration) {
	var evidence []message.Evidence
	c.unspreadCrashes = slices.DeleteFunc(c.unspreadCrashes, func(u unspreadCrash) bool {
		standing := c.quarantine.Crashes(u.Request)
		switch {
		case len(standing) == 0:
			return true
		case len(standing) == 1 && now < u.due:
			return false
		}
		evidence = append(evidence, crashEvidence(now, &u.Crash))
		return true
	})
	if len(evidence) > 0 {
		c.fleet.gossip.Spread(now, evidence)
	}
}

// noteCompleted clears a request that has run, and has the fleet told if it knows of a crash.
func (c *Core) noteCompleted(now time.Duration, request quarantine.Request, out *Actions) {
	if !c.quarantine.Known(request) {
		return
	}
	crashes := c.quarantine.Crashes(request)
	if len(crashes) == 0 {
		return
	}
	evidence := []message.Evidence{{VM: requestSubject(request), Incarnation: request.Content, Kind: message.EvidenceCompleted,
		Content: request.Content, Caller: request.Caller, Clears: crashNumber(&crashes[len(crashes)-1])}}
	if slices.ContainsFunc(crashes, c.isSpread) {
		c.fleet.gossip.Spread(now, evidence)
	}
	c.takeRequestEvidence(now, evidence, out)
}

// isSpread reports whether the fleet was told of a crash, or told this entry.
func (c *Core) isSpread(crash quarantine.Crash) bool {
	return !slices.ContainsFunc(c.unspreadCrashes, func(u unspreadCrash) bool {
		return u.Request == crash.Request && u.Endpoint == crash.Endpoint && u.Incarnation == crash.Incarnation
	})
}

// crashNumber is a number for a crash, the same at every entry.
func crashNumber(crash *quarantine.Crash) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(crash.Endpoint))
	_, _ = h.Write(strconv.AppendUint(nil, crash.Incarnation, 10))
	return h.Sum32()
}

// takeRequestEvidence takes in what is told of requests, by this entry or others, and refuses those
// that wait here and may not be sent any more.
func (c *Core) takeRequestEvidence(now time.Duration, evidence []message.Evidence, out *Actions) {
	news := false
	for i := range evidence {
		e := &evidence[i]
		if !e.Kind.OfRequest() {
			continue
		}
		before := c.quarantine.Quarantined(now, nil)
		if c.applyRequestEvidence(now, e) {
			c.auditVerdicts(now, before, e, out)
			news = true
		}
	}
	if news && c.quarantine.Active() {
		c.refuseQuarantined(now, out)
	}
}

func (c *Core) applyRequestEvidence(now time.Duration, e *message.Evidence) (news bool) {
	at := now - time.Duration(e.AgeMillis)*time.Millisecond
	request := quarantine.Request{Content: e.Content, Caller: e.Caller}
	if e.Kind == message.EvidenceCompleted {
		return c.quarantine.RecordCompletion(now, at, request)
	}
	began := at - time.Duration(e.RanMillis)*time.Millisecond
	news = c.quarantine.RecordCrash(now, quarantine.Crash{Request: request, Endpoint: e.VM, Incarnation: e.Incarnation, Began: began, At: at})
	if news {
		c.counters.Crashes++
	}
	return news
}

// auditVerdicts notes for the audit trail which requests went into quarantine or left it.
func (c *Core) auditVerdicts(now time.Duration, before []quarantine.Request, e *message.Evidence, out *Actions) {
	after := c.quarantine.Quarantined(now, nil)
	for _, request := range after {
		if !slices.Contains(before, request) {
			crashes := c.quarantine.Crashes(request)
			left := c.quarantine.Until(request) - now
			out.note(Note{Subject: requestSubject(request), Action: "quarantined", To: "not sent for " + left.Round(time.Second).String(),
				Why: fmt.Sprintf("%d endpoints crashed while they ran it, the last of them %s", len(crashes), crashes[len(crashes)-1].Endpoint)})
		}
	}
	for _, request := range before {
		if !slices.Contains(after, request) {
			why := "a run of it completed"
			if e.Kind == message.EvidenceCrashed {
				why = "another request explains the crashes"
			}
			out.note(Note{Subject: requestSubject(request), Action: "released", From: "quarantined", To: "sent", Why: why})
		}
	}
}

// requestSubject names a request in the audit trail.
func requestSubject(r quarantine.Request) string {
	name := "request " + strconv.FormatUint(r.Content, 16)
	if r.Caller == 0 {
		return name + " of any caller"
	}
	return name + " of caller " + strconv.FormatUint(r.Caller, 16)
}

// identity is what a request shares with its repeats.
func (r *request) identity() quarantine.Request { return r.arrival.identity() }

func (a *Arrival) identity() quarantine.Request {
	return quarantine.Request{Content: a.Content, Caller: a.Caller}
}

// refuseQuarantined answers the requests that wait for an endpoint and may not be sent any more.
func (c *Core) refuseQuarantined(now time.Duration, out *Actions) {
	var refused []RequestID
	for id, r := range c.requests {
		waits := r.phase == phaseQueued || r.phase == phaseProbing
		if waits && c.isQuarantined(now, r) {
			refused = append(refused, id)
		}
	}
	slices.Sort(refused)
	for _, id := range refused {
		if r, ok := c.requests[id]; ok {
			c.fail(now, r, ReasonQuarantined, out)
		}
	}
}

func (c *Core) isQuarantined(now time.Duration, r *request) bool {
	return c.quarantine.Verdict(now, r.identity()) == quarantine.Quarantined
}

// isSuspect reports whether endpoints crashed while they ran the same request: it isn't repeated.
func (c *Core) isSuspect(now time.Duration, r *request) bool {
	return c.quarantine.Verdict(now, r.identity()) != quarantine.Clear
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
