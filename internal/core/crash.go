package core

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/quarantine"
	"github.com/tealhall/tealhall/internal/core/quota"
	"github.com/tealhall/tealhall/internal/core/reach"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
)

// A broken connection does not prove that the endpoint crashed: endpoints also reset idle
// connections, and connections beyond their limit. The entry sends the endpoint a crash probe at
// once. An endpoint that refuses the connection has crashed, and the fleet is notified of the
// request that it was running (package quarantine).
const (
	// maxBrokenAttempts bounds the broken attempts whose endpoint awaits a crash probe.
	maxBrokenAttempts = 256
	// crashProbeInterval is the time between two crash probes of an endpoint that does not answer,
	// and crashProbeDuration is for how long it is probed. An endpoint that is cut off or has lost
	// power stays silent for longer than that.
	crashProbeInterval = 200 * time.Millisecond
	crashProbeDuration = 2 * time.Second
	// spreadDelay is the delay after which the first crash under a request is spread to the fleet.
	// By then most requests have completed elsewhere, so little evidence is spread when many
	// endpoints crash for another reason.
	spreadDelay = 500 * time.Millisecond
)

// unspreadCrash is a crash that has not been spread to the fleet yet, and when it is due.
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
	// probeAt is when the next crash probe is due.
	probeAt time.Duration
	// refused is set if the endpoint refused a crash probe.
	refused bool
}

// noteAttemptEnd records the end of an attempt: a complete answer without a server error clears the
// request of suspicion, and a broken connection leads to a crash probe of its endpoint unless the
// endpoint had announced that it leaves.
func (c *Core) noteAttemptEnd(now time.Duration, r *request, a *attempt, e *table.Endpoint, end End, out *Actions) {
	request := r.identity()
	switch {
	case request.Content == 0:
	case end.Kind == EndComplete && a.status < http.StatusInternalServerError:
		c.noteCompleted(now, request, out)
	case !end.ConnBroken || e.State != table.EndpointLive || len(c.brokenAttempts) >= maxBrokenAttempts:
	default:
		c.brokenAttempts = append(c.brokenAttempts, brokenAttempt{request: request, pool: r.pool, endpoint: e.Name, incarnation: e.Incarnation,
			address: e.Address, began: a.sentAt, at: now})
		c.sendCrashProbes(now, out)
	}
}

// sendCrashProbes sends crash probes to the endpoints of broken attempts, within the probe budgets
// of their pools.
func (c *Core) sendCrashProbes(now time.Duration, out *Actions) {
	c.brokenAttempts = slices.DeleteFunc(c.brokenAttempts, func(b brokenAttempt) bool { return now-b.at >= crashProbeDuration })
	for i := range c.brokenAttempts {
		b := &c.brokenAttempts[i]
		if now < b.probeAt || b.inBackoff(now) || !c.spendProbe(now, b.pool) {
			continue
		}
		for j := range c.brokenAttempts {
			if o := &c.brokenAttempts[j]; o.endpoint == b.endpoint && o.incarnation == b.incarnation {
				o.probeAt = now + crashProbeInterval
			}
		}
		out.Probes = append(out.Probes, Probe{Pool: b.pool.Name, Endpoint: b.endpoint, Incarnation: b.incarnation, Address: b.address,
			Path: b.pool.probePath, CrashProbe: true, At: now, Wait: crashProbeInterval})
	}
}

// inBackoff reports whether the endpoint of the attempt wants no requests from this entry now.
func (b *brokenAttempt) inBackoff(now time.Duration) bool {
	i := b.pool.find(b.endpoint, b.incarnation)
	return i >= 0 && quota.InBackoff(now, &b.pool.Endpoints[i])
}

// crashProbeEnd processes the result of a crash probe. The endpoint also counts as crashed if
// another endpoint or another incarnation answers at its address. While several endpoints fail to
// answer, this entry may have lost its paths to all of them, and a refused connection counts only
// once an endpoint has answered.
func (c *Core) crashProbeEnd(now time.Duration, end ProbeEnd, out *Actions) {
	crashed := end.Refused || end.Misdirected || end.Incarnation != 0 && end.Incarnation != end.Probe.Incarnation
	if !crashed && !end.OK && !end.Unhealthy {
		return // no answer: the next probe follows
	}
	var crashes []quarantine.Crash
	c.brokenAttempts = slices.DeleteFunc(c.brokenAttempts, func(b brokenAttempt) bool {
		if b.endpoint != end.Probe.Endpoint || b.incarnation != end.Probe.Incarnation || b.at > end.Probe.At {
			return false
		}
		if crashed && !end.Refused {
			crashes = append(crashes, b.crash())
		}
		return !end.Refused
	})
	if end.Refused {
		c.noteRefused(now, end.Probe, out)
		return
	}
	c.recordCrashes(now, crashes, out)
}

// noteRefused records that an endpoint refused a crash probe.
func (c *Core) noteRefused(now time.Duration, probe Probe, out *Actions) {
	for i := range c.brokenAttempts {
		b := &c.brokenAttempts[i]
		if b.endpoint == probe.Endpoint && b.incarnation == probe.Incarnation && b.at <= probe.At {
			b.refused = true
		}
	}
	if c.confirmCrashes(now, out) {
		return
	}
	c.probeAnother(now, probe, out)
}

// confirmCrashes records the crashes of endpoints that refused a crash probe, unless this entry may
// have lost its paths to all endpoints. It returns false if a refusal is still unconfirmed.
func (c *Core) confirmCrashes(now time.Duration, out *Actions) (all bool) {
	if len(c.brokenAttempts) == 0 {
		return true
	}
	all = true
	var crashes []quarantine.Crash
	c.brokenAttempts = slices.DeleteFunc(c.brokenAttempts, func(b brokenAttempt) bool {
		confirmed := b.refused && (b.pool.reach.Unanswered() < reach.LostEndpoints || b.pool.reach.HeardSince(b.at))
		if confirmed {
			crashes = append(crashes, b.crash())
		}
		all = all && (confirmed || !b.refused)
		return confirmed
	})
	c.recordCrashes(now, crashes, out)
	return all
}

func (b *brokenAttempt) crash() quarantine.Crash {
	return quarantine.Crash{Request: b.request, Endpoint: b.endpoint, Incarnation: b.incarnation, Began: b.began, At: b.at}
}

func (c *Core) recordCrashes(now time.Duration, crashes []quarantine.Crash, out *Actions) {
	for _, crash := range crashes {
		c.processRequestEvidence(now, []message.Evidence{crashEvidence(now, &crash)}, out)
		c.unspreadCrashes = append(c.unspreadCrashes, unspreadCrash{crash, crash.At + spreadDelay})
	}
	if len(crashes) > 0 {
		c.spreadCrashes(now)
	}
}

// probeAnother probes an endpoint that has not failed to answer, for a crash that is not confirmed.
func (c *Core) probeAnother(now time.Duration, refused Probe, out *Actions) {
	p := c.pools[refused.Pool]
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if !e.TakesWork() || quota.InBackoff(now, e) || p.reach.HasFailed(e.Name) {
			continue
		}
		if c.spendProbe(now, p) {
			out.Probes = append(out.Probes, reachProbe(p, e.Name, e.Incarnation, e.Address))
		}
		return
	}
}

func crashEvidence(now time.Duration, crash *quarantine.Crash) message.Evidence {
	return message.Evidence{VM: crash.Endpoint, Incarnation: crash.Incarnation, Kind: message.EvidenceCrashed, Content: crash.Content,
		Caller: crash.Caller, AgeMillis: millis(now - crash.At), RanMillis: millis(crash.At - crash.Began)}
}

// spreadCrashes spreads the crashes that are due. If a request has crashed more than one endpoint,
// its crashes are spread at once. Crashes under requests that have completed since are dropped.
func (c *Core) spreadCrashes(now time.Duration) {
	var evidence []message.Evidence
	c.unspreadCrashes = slices.DeleteFunc(c.unspreadCrashes, func(u unspreadCrash) bool {
		crashes := c.quarantine.Crashes(u.Request)
		switch {
		case len(crashes) == 0:
			return true
		case len(crashes) == 1 && now < u.due:
			return false
		}
		evidence = append(evidence, crashEvidence(now, &u.Crash))
		return true
	})
	if len(evidence) > 0 {
		c.fleet.gossip.Spread(now, evidence)
	}
}

// noteCompleted clears a request that has completed, and notifies the fleet if the fleet knows of a
// crash under it.
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
	c.processRequestEvidence(now, evidence, out)
}

// isSpread reports whether the crash was spread to the fleet or was learned from a peer.
func (c *Core) isSpread(crash quarantine.Crash) bool {
	return !slices.ContainsFunc(c.unspreadCrashes, func(u unspreadCrash) bool {
		return u.Request == crash.Request && u.Endpoint == crash.Endpoint && u.Incarnation == crash.Incarnation
	})
}

// crashNumber returns a hash that identifies a crash and is the same at every entry.
func crashNumber(crash *quarantine.Crash) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(crash.Endpoint))
	_, _ = h.Write(strconv.AppendUint(nil, crash.Incarnation, 10))
	return h.Sum32()
}

// processRequestEvidence processes evidence about requests, from this entry or from peers, and
// refuses waiting requests that are now in quarantine.
func (c *Core) processRequestEvidence(now time.Duration, evidence []message.Evidence, out *Actions) {
	changed := false
	for i := range evidence {
		e := &evidence[i]
		if !e.Kind.OfRequest() {
			continue
		}
		before := c.quarantine.Quarantined(now, nil)
		if c.applyRequestEvidence(now, e) {
			c.auditVerdicts(now, before, e, out)
			changed = true
		}
	}
	if changed && c.quarantine.Active() {
		c.refuseQuarantined(now, out)
	}
}

func (c *Core) applyRequestEvidence(now time.Duration, e *message.Evidence) (changed bool) {
	at := now - time.Duration(e.AgeMillis)*time.Millisecond
	request := quarantine.Request{Content: e.Content, Caller: e.Caller}
	if e.Kind == message.EvidenceCompleted {
		return c.quarantine.RecordCompletion(now, at, request)
	}
	began := at - time.Duration(e.RanMillis)*time.Millisecond
	changed = c.quarantine.RecordCrash(now, quarantine.Crash{Request: request, Endpoint: e.VM, Incarnation: e.Incarnation, Began: began, At: at})
	if changed {
		c.counters.Crashes++
	}
	return changed
}

// auditVerdicts writes to the audit trail which requests entered or left quarantine.
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

// identity returns the content and the caller, by which a request and its repeats are recognized.
func (r *request) identity() quarantine.Request { return r.arrival.identity() }

func (a *Arrival) identity() quarantine.Request {
	return quarantine.Request{Content: a.Content, Caller: a.Caller}
}

// refuseQuarantined refuses the requests that wait for an endpoint and are now in quarantine.
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

// isSuspect reports whether endpoints crashed while they ran the same request. Such a request is
// not repeated.
func (c *Core) isSuspect(now time.Duration, r *request) bool {
	return c.quarantine.Verdict(now, r.identity()) != quarantine.Clear
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
