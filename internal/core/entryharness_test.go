package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

const harnessProfiles = `
format = 1
[profile.reads]
kind = "read"
looks = 9
queue_limit = 200
caller_share = 1.0
retry_budget = 0.5
[profile.once]
kind = "once"
require_key = false
max_attempts = 1
looks = 9
caller_share = 1.0
retry_budget = 0.5
[profile.uploads]
kind = "bulk"
looks = 9
slot_share = 1.0
caller_share = 1.0
[traffic.reads]
kind = "idempotent"
profile = "reads"
[traffic.once]
kind = "non_idempotent"
profile = "once"
[traffic.uploads]
kind = "upload"
profile = "uploads"
`

// simEndpoint is a simulated endpoint of an entry harness with the load that it reports.
type simEndpoint struct {
	name, domain           string
	running, waiting, pace int
	silent, misdirected    bool
	// dead is set if the endpoint refuses connections or, if it is also silent, does not answer
	// dials.
	dead bool
	// coldUntil is when the endpoint becomes warm, as it reports in answers to load probes.
	coldUntil time.Duration
	// limit is the rate limit, in requests per second, that the endpoint reports in its answers.
	limit float64
	// refuses makes the endpoint refuse all requests, with the given Retry-After.
	refuses    bool
	retryAfter time.Duration
	// leaving is set if the endpoint says in answers to load probes that it is leaving.
	leaving bool
	// busyUntil is until when each slot is busy, in a harness with endpointsQueue.
	busyUntil [2]time.Duration
}

// occupySlot occupies the slot that is free first for duration, and returns the time until the work
// is done.
func (ep *simEndpoint) occupySlot(now, duration time.Duration) time.Duration {
	slot := 0
	if ep.busyUntil[1] < ep.busyUntil[0] {
		slot = 1
	}
	ep.busyUntil[slot] = max(ep.busyUntil[slot], now) + duration
	return ep.busyUntil[slot] - now
}

// entryHarness is one core in failure domain d0 with simulated endpoints of two slots each, whose
// loads a test sets. Load probes are answered after a millisecond.
type entryHarness struct {
	testing.TB
	*Core
	now       time.Duration
	endpoints []*simEndpoint
	scheduled []scheduledEvent
	// sent lists the endpoints of attempts in order, sentAt when each attempt was sent, and probed
	// the endpoints of probes; replies has the replies that callers got, open the attempts that
	// have not ended.
	sent    []string
	sentAt  []time.Duration
	probed  []string
	replies map[RequestID]Directive
	open    map[RequestID]map[Attempt]Directive
	nextID  RequestID
	// serviceTime is how long endpoints work on an attempt; 0 if the test answers the attempts.
	serviceTime time.Duration
	// endpointsQueue makes an attempt wait at its endpoint until a slot is free.
	endpointsQueue bool
	// updates are the updates sent to peers.
	updates []Outgoing
	// probes are all probes that the core requested.
	probes []Probe
	// traces are the traces of requests that ended; name is the name of the next request.
	traces []RequestTrace
	name   string
	notes  []Note
}

type scheduledEvent struct {
	at   time.Duration
	fire func()
}

// harnessRoutes returns a route of each kind, all to pool "p".
func harnessRoutes(parts ...route.Part) route.Document {
	if len(parts) == 0 {
		parts = []route.Part{{Service: "p", Weight: 1}}
	}
	d := route.Document{Services: []route.Service{{Name: "p", ProbePath: "/h"}, {Name: "q", ProbePath: "/h"}}}
	for _, kind := range route.Kinds() {
		d.Routes = append(d.Routes, route.Route{Name: string(kind), Host: "a", Prefix: "/" + string(kind) + "/", Kind: kind,
			Timeout: 1500, Objective: 400, MaxAttempts: 2, Parts: parts})
	}
	return d
}

func newEntryHarness(t testing.TB, endpoints ...*simEndpoint) *entryHarness {
	h := &entryHarness{TB: t, now: sec, endpoints: endpoints, replies: map[RequestID]Directive{}, open: map[RequestID]map[Attempt]Directive{}}
	cfg := DefaultConfig(message.Hello{Name: "self", Incarnation: 1, Region: "r", Domain: "d0", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"})
	cfg.LoadProbesPerEndpoint = 1000
	cfg.ListIsFinal = true
	cfg.Repeats = budget.RepeatBound{Share: 1, Window: 10 * sec, Slack: 1000}
	cfg.LargestFleet = 1
	cfg.WarmupOver, cfg.WarmupSlack = 1.5, 8
	h.Core = New(cfg, rand.New(rand.NewPCG(1, 2)))
	h.publish(1, harnessRoutes())
	h.offerList(h.vmList(1))
	h.Confirm(h.now, published.VMsValue)
	h.run(200 * ms)
	return h
}

// vmList returns the VM list with the endpoints of the harness.
func (h *entryHarness) vmList(revision uint64) published.VMList {
	list := published.VMList{Revision: revision}
	for _, ep := range h.endpoints {
		list.VMs = append(list.VMs, published.VM{Name: ep.name, Incarnation: 1, Role: published.EndpointRole, State: published.Live,
			Region: "r", Domain: ep.domain, Address: ep.name, Pool: "p", Slots: 2})
	}
	return list
}

func (h *entryHarness) offerList(list published.VMList) {
	h.do(func(out *Actions) {
		h.Offer(h.now, OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: list.Revision, Digest: list.Revision}, VMs: list}, out)
	})
}

func (h *entryHarness) publish(revision uint64, d route.Document) {
	base, err := profile.Parse([]byte(harnessProfiles), 1)
	if err != nil {
		h.Fatal(err)
	}
	table, err := route.Parse(route.Encode(d))
	if err != nil {
		h.Fatal(err)
	}
	bound, err := base.Bind(table, revision, revision)
	if err != nil {
		h.Fatal(err)
	}
	h.do(func(out *Actions) {
		h.Offer(h.now, OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: revision, Digest: revision}, Profiles: bound}, out)
	})
	h.Confirm(h.now, published.ProfilesValue)
}

func (h *entryHarness) endpoint(name string) *simEndpoint {
	for _, ep := range h.endpoints {
		if ep.name == name {
			return ep
		}
	}
	return nil
}

func (h *entryHarness) do(event func(out *Actions)) {
	var out Actions
	event(&out)
	h.traces = append(h.traces, out.Traces...)
	h.notes = append(h.notes, out.Notes...)
	h.updates = append(h.updates, out.Updates...)
	for _, d := range out.Directives {
		switch d.Step {
		case StepDispatch:
			h.sent, h.sentAt = append(h.sent, d.Endpoint), append(h.sentAt, h.now)
			if h.open[d.ID] == nil {
				h.open[d.ID] = map[Attempt]Directive{}
			}
			h.open[d.ID][d.Attempt] = d
			if ep := h.endpoint(d.Endpoint); ep.dead {
				h.schedule(map[bool]time.Duration{false: ms, true: sec}[ep.silent], func() { h.refuseDial(d) })
			} else {
				ep.running++
				if ep.refuses {
					h.schedule(ms, func() { h.refuse(d, ep.retryAfter) })
				} else if h.serviceTime > 0 {
					duration := h.serviceTime * time.Duration(max(ep.pace, 100)) / 100
					if h.endpointsQueue {
						duration = ep.occupySlot(h.now, duration)
					}
					h.schedule(duration, func() { h.answer(d.ID, d.Attempt, 200) })
				}
			}
		case StepReply:
			if _, twice := h.replies[d.ID]; twice {
				h.Errorf("request %d got two replies", d.ID)
			}
			h.replies[d.ID] = d
		}
	}
	for _, p := range out.Probes {
		h.probed, h.probes = append(h.probed, p.Endpoint), append(h.probes, p)
		after := ms
		if ep := h.endpoint(p.Address); ep.dead && ep.silent {
			after = p.Wait
		}
		h.schedule(after, func() { h.answerLoadProbe(p) })
	}
}

// refuseDial ends an attempt for which no connection could be opened.
func (h *entryHarness) refuseDial(d Directive) {
	delete(h.open[d.ID], d.Attempt)
	h.do(func(out *Actions) {
		h.End(h.now, End{ID: d.ID, Attempt: d.Attempt, Kind: EndNotWritten, DialFailed: true, Replayable: true}, out)
	})
}

func (h *entryHarness) answerLoadProbe(p Probe) {
	ep := h.endpoint(p.Address)
	end := ProbeEnd{Probe: p, OK: !ep.silent && !ep.dead, Refused: ep.dead && !ep.silent, Misdirected: ep.misdirected || ep.name != p.Endpoint, Draining: ep.leaving, Latency: ms,
		Load: Load{Known: !ep.silent, InFlight: ep.running, Queued: ep.waiting, Slots: 2, Pace: max(ep.pace, 100), Cold: max(0, ep.coldUntil-h.now)}}
	if end.OK && !ep.misdirected {
		end.AnsweredBy = ep.name
	}
	h.do(func(out *Actions) { h.ProbeEnd(h.now, end, out) })
}

func (h *entryHarness) schedule(after time.Duration, fire func()) {
	h.scheduled = append(h.scheduled, scheduledEvent{h.now + after, fire})
}

// run lets time pass in steps of a millisecond, with a tick every five.
func (h *entryHarness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += ms
		due := h.scheduled
		h.scheduled = nil
		for _, event := range due {
			if event.at <= h.now {
				event.fire()
			} else {
				h.scheduled = append(h.scheduled, event)
			}
		}
		if h.now%(5*ms) == 0 {
			h.do(func(out *Actions) { h.Tick(h.now, time.Unix(0, 0), out) })
		}
	}
}

// sendRequest sends a request of a kind and returns its number.
func (h *entryHarness) sendRequest(kind route.Kind, left time.Duration) RequestID {
	return h.arrive(kind, Arrival{Replayable: true, Timeout: left})
}

// arrive sends the request a with the route of a kind and returns its number.
func (h *entryHarness) arrive(kind route.Kind, a Arrival) RequestID {
	h.nextID++
	admission := h.AdmitRoute("a", "/"+string(kind)+"/x")
	if admission.Reason != ReasonNone {
		h.Fatalf("not admitted: %v", admission.Reason)
	}
	a.ID, a.Service, a.Name, a.Admission, a.CallerAttempt = h.nextID, admission.Service, h.name, admission, 1
	h.do(func(out *Actions) { h.Arrive(h.now, a, out) })
	return a.ID
}

// answer ends a request's attempt with a status.
func (h *entryHarness) answer(id RequestID, n Attempt, status int) {
	d, ok := h.open[id][n]
	if !ok {
		h.Fatalf("request %d has no attempt %d", id, n)
	}
	delete(h.open[id], n)
	ep := h.endpoint(d.Endpoint)
	ep.running--
	h.do(func(out *Actions) {
		h.Head(h.now, Head{ID: id, Attempt: n, Status: status, Load: Load{Known: true, InFlight: ep.running, Queued: ep.waiting, Slots: 2, Pace: max(ep.pace, 100), RateLimit: ep.limit}}, out)
		h.End(h.now, End{ID: id, Attempt: n, Kind: EndComplete, Replayable: true}, out)
	})
}

// refuse ends an attempt that its endpoint refused with the given Retry-After.
func (h *entryHarness) refuse(d Directive, retryAfter time.Duration) {
	delete(h.open[d.ID], d.Attempt)
	ep := h.endpoint(d.Endpoint)
	ep.running--
	h.do(func(out *Actions) {
		h.Head(h.now, Head{ID: d.ID, Attempt: d.Attempt, Status: 503, NotRun: true, RetryAfter: retryAfter, Load: Load{Known: true, Slots: 2, Pace: 100}}, out)
		h.End(h.now, End{ID: d.ID, Attempt: d.Attempt, Kind: EndNotRun, Replayable: true}, out)
	})
}

// learnServiceTime sends the given number of reads, from which the core learns that reads take 100
// ms, and leaves the endpoints idle.
func (h *entryHarness) learnServiceTime(requests int) {
	for range requests {
		id := h.sendRequest(route.Idempotent, 3*sec)
		h.run(100 * ms)
		h.answer(id, 1, 200)
	}
	h.sent, h.sentAt, h.probed = nil, nil, nil
}

func idleEndpoints(n int, domain string) (endpoints []*simEndpoint) {
	for i := range n {
		endpoints = append(endpoints, &simEndpoint{name: fmt.Sprint(domain, "-", i), domain: domain})
	}
	return endpoints
}
