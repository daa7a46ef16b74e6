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

// simEndpoint is an endpoint of an entry harness as it tells its load.
type simEndpoint struct {
	name, domain           string
	running, waiting, pace int
	silent, misdirected    bool
	// dead: it takes no connections, or does not even refuse them if it is silent.
	dead bool
	// coldUntil is when it is warm, as it tells those who look at it.
	coldUntil time.Duration
	// limit is how many requests a second it takes, as it tells in its answers.
	limit float64
	// busyUntil is until when its slots are taken, in a harness whose endpoints queue.
	busyUntil [2]time.Duration
}

// work takes the slot that is free first for a time, and returns when it is done.
func (b *simEndpoint) work(now, takes time.Duration) time.Duration {
	slot := 0
	if b.busyUntil[1] < b.busyUntil[0] {
		slot = 1
	}
	b.busyUntil[slot] = max(b.busyUntil[slot], now) + takes
	return b.busyUntil[slot] - now
}

// entryHarness is one core in failure domain d0 before endpoints with two slots each, whose
// loads a test sets. Load probes are answered after a millisecond.
type entryHarness struct {
	testing.TB
	*Core
	now       time.Duration
	endpoints []*simEndpoint
	underWay  []entryDelivery
	// sent lists the endpoints of attempts in order, told what callers got.
	sent   []string
	sentAt []time.Duration
	probed []string
	told   map[RequestID]Directive
	open   map[RequestID]map[Attempt]Directive
	nextID RequestID
	// works is how long endpoints work on an attempt; 0 where a test answers by itself.
	works time.Duration
	// queues says that an attempt waits at its endpoint until a slot is free.
	queues bool
	// updates are those to peers.
	updates []Outgoing
	// probes are all that were asked for.
	probes []Probe
	// traces are the lines of requests that ended; name is that of the next request.
	traces []RequestTrace
	name   string
	notes  []Note
}

type entryDelivery struct {
	at   time.Duration
	read func()
}

// harnessRoutes are a route of each kind, all to pool "p".
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

func newEntryHarness(t testing.TB, boxes ...*simEndpoint) *entryHarness {
	y := &entryHarness{TB: t, now: sec, endpoints: boxes, told: map[RequestID]Directive{}, open: map[RequestID]map[Attempt]Directive{}}
	cfg := DefaultConfig(message.Hello{Name: "self", Incarnation: 1, Region: "r", Domain: "d0", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"})
	cfg.LoadProbesPerEndpoint = 1000
	cfg.ListIsFinal = true
	cfg.Repeats = budget.RepeatBound{Share: 1, Window: 10 * sec, Slack: 1000}
	cfg.LargestFleet = 1
	cfg.WarmupOver, cfg.WarmupSlack = 1.5, 8
	y.Core = New(cfg, rand.New(rand.NewPCG(1, 2)))
	y.publish(1, harnessRoutes())
	y.offerList(y.listed(1))
	y.Confirm(y.now, published.VMsValue)
	y.run(200 * ms)
	return y
}

// listed is the list of VMs with the boxes as they are.
func (y *entryHarness) listed(revision uint64) published.VMList {
	list := published.VMList{Revision: revision}
	for _, b := range y.endpoints {
		list.VMs = append(list.VMs, published.VM{Name: b.name, Incarnation: 1, Role: published.EndpointRole, State: published.Live,
			Region: "r", Domain: b.domain, Address: b.name, Pool: "p", Slots: 2})
	}
	return list
}

func (y *entryHarness) offerList(list published.VMList) {
	y.do(func(out *Actions) {
		y.Offer(y.now, Offered{Name: published.VMsValue, Mark: message.Mark{Revision: list.Revision, Digest: list.Revision}, VMs: list}, out)
	})
}

func (y *entryHarness) publish(revision uint64, d route.Document) {
	base, err := profile.Parse([]byte(harnessProfiles), 1)
	if err != nil {
		y.Fatal(err)
	}
	table, err := route.Parse(route.Encode(d))
	if err != nil {
		y.Fatal(err)
	}
	bound, err := base.Bind(table, revision, revision)
	if err != nil {
		y.Fatal(err)
	}
	y.do(func(out *Actions) {
		y.Offer(y.now, Offered{Name: published.ProfilesValue, Mark: message.Mark{Revision: revision, Digest: revision}, Profiles: bound}, out)
	})
	y.Confirm(y.now, published.ProfilesValue)
}

func (y *entryHarness) endpoint(name string) *simEndpoint {
	for _, b := range y.endpoints {
		if b.name == name {
			return b
		}
	}
	return nil
}

func (y *entryHarness) do(event func(out *Actions)) {
	var out Actions
	event(&out)
	y.traces = append(y.traces, out.Traces...)
	y.notes = append(y.notes, out.Notes...)
	y.updates = append(y.updates, out.Updates...)
	for _, d := range out.Requests {
		switch d.Step {
		case StepDispatch:
			y.sent, y.sentAt = append(y.sent, d.Endpoint), append(y.sentAt, y.now)
			if y.open[d.ID] == nil {
				y.open[d.ID] = map[Attempt]Directive{}
			}
			y.open[d.ID][d.Attempt] = d
			if b := y.endpoint(d.Endpoint); b.dead {
				y.post(map[bool]time.Duration{false: ms, true: sec}[b.silent], func() { y.refuseDial(d) })
			} else {
				b.running++
				if y.works > 0 {
					takes := y.works * time.Duration(max(b.pace, 100)) / 100
					if y.queues {
						takes = b.work(y.now, takes)
					}
					y.post(takes, func() { y.answer(d.ID, d.Attempt, 200) })
				}
			}
		case StepReply:
			if _, twice := y.told[d.ID]; twice {
				y.Errorf("request %d got two answers", d.ID)
			}
			y.told[d.ID] = d
		}
	}
	for _, p := range out.Probes {
		y.probed, y.probes = append(y.probed, p.Endpoint), append(y.probes, p)
		after := ms
		if b := y.endpoint(p.Endpoint); b.dead && b.silent {
			after = p.Wait
		}
		y.post(after, func() { y.answerLoadProbe(p) })
	}
}

// refuseDial ends an attempt for which no connection could be opened.
func (y *entryHarness) refuseDial(d Directive) {
	delete(y.open[d.ID], d.Attempt)
	y.do(func(out *Actions) {
		y.End(y.now, End{ID: d.ID, Attempt: d.Attempt, Kind: EndNotWritten, DialFailed: true, Replayable: true}, out)
	})
}

func (y *entryHarness) answerLoadProbe(p Probe) {
	b := y.endpoint(p.Endpoint)
	end := ProbeEnd{Probe: p, OK: !b.silent && !b.dead, Refused: b.dead && !b.silent, Misdirected: b.misdirected, Latency: ms,
		Load: Load{Known: !b.silent, InFlight: b.running, Queued: b.waiting, Slots: 2, Pace: max(b.pace, 100), Cold: max(0, b.coldUntil-y.now)}}
	y.do(func(out *Actions) { y.ProbeEnd(y.now, end, out) })
}

func (y *entryHarness) post(after time.Duration, read func()) {
	y.underWay = append(y.underWay, entryDelivery{y.now + after, read})
}

// run lets time pass in steps of a millisecond, with a tick every five.
func (y *entryHarness) run(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now += ms
		due := y.underWay
		y.underWay = nil
		for _, l := range due {
			if l.at <= y.now {
				l.read()
			} else {
				y.underWay = append(y.underWay, l)
			}
		}
		if y.now%(5*ms) == 0 {
			y.do(func(out *Actions) { y.Tick(y.now, time.Unix(0, 0), out) })
		}
	}
}

// sendRequest feeds a request of a kind and returns its number.
func (y *entryHarness) sendRequest(kind route.Kind, left time.Duration) RequestID {
	return y.arrive(kind, Arrival{Replayable: true, Timeout: left})
}

// arrive feeds a request of a kind, of which the rest is given, and returns its number.
func (y *entryHarness) arrive(kind route.Kind, a Arrival) RequestID {
	y.nextID++
	admission := y.AdmitRoute("a", "/"+string(kind)+"/x")
	if admission.Reason != ReasonNone {
		y.Fatalf("not admitted: %v", admission.Reason)
	}
	a.ID, a.Service, a.Name, a.Admission, a.CallerAttempt = y.nextID, admission.Service, y.name, admission, 1
	y.do(func(out *Actions) { y.Arrive(y.now, a, out) })
	return a.ID
}

// answer ends a request's attempt with a status.
func (y *entryHarness) answer(id RequestID, n Attempt, status int) {
	d, ok := y.open[id][n]
	if !ok {
		y.Fatalf("request %d has no attempt %d", id, n)
	}
	delete(y.open[id], n)
	b := y.endpoint(d.Endpoint)
	b.running--
	y.do(func(out *Actions) {
		y.Head(y.now, Head{ID: id, Attempt: n, Status: status, Load: Load{Known: true, InFlight: b.running, Queued: b.waiting, Slots: 2, Pace: max(b.pace, 100), RateLimit: b.limit}}, out)
		y.End(y.now, End{ID: id, Attempt: n, Kind: EndComplete, Replayable: true}, out)
	})
}

// learn makes the core know that reads take 100 ms, and leaves the boxes idle.
func (y *entryHarness) learn(requests int) {
	for range requests {
		id := y.sendRequest(route.Idempotent, 3*sec)
		y.run(100 * ms)
		y.answer(id, 1, 200)
	}
	y.sent, y.sentAt, y.probed = nil, nil, nil
}

func idle(n int, domain string) (boxes []*simEndpoint) {
	for i := range n {
		boxes = append(boxes, &simEndpoint{name: fmt.Sprint(domain, "-", i), domain: domain})
	}
	return boxes
}
