package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/core/budget/budgettest"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// overloadFleet simulates entries, each of which sees few requests, endpoints that are short of room,
// and callers that come back after a refusal. The entries exchange no messages.
type overloadFleet struct {
	testing.TB
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	entries   []*overloadEntry
	endpoints []*overloadEndpoint
	load      overloadLoad
	requests  []*overloadRequest
	// current is the endpoint that ceiling looks at.
	current *overloadEndpoint
	// callersUse are the entries that callers send their requests to.
	callersUse []*overloadEntry
	// log has the tries of all callers and the attempts beyond the first of a try that reached an
	// endpoint.
	log budgettest.Log
}

// overloadRepeats is the bound on repeats where a load has none of its own.
var overloadRepeats = budget.RepeatBound{Share: 0.2, Window: 10 * sec, Slack: 208}

// overloadLoad is a load and the service that it meets.
type overloadLoad struct {
	entries, endpoints, slots, queue int
	work                             time.Duration
	// slowShare of the endpoints at any time take slowFactor times as long.
	slowShare, slowFactor float64
	// An endpoint with at least the share knee of its slots in use takes kneeFactor times as long for
	// the work that it begins. 0 means that it does not slow down.
	knee, kneeFactor float64
	// excess is the demand during the peak as a multiple of what the endpoints can do.
	excess float64
	peak   time.Duration
	// repeatAtOnce is the share of callers that ignore Retry-After.
	repeatAtOnce float64
	// shedShare is the share of requests that endpoints refuse in spite of room.
	shedShare float64
	// repeats is the bound on repeats, overloadRepeats if zero.
	repeats budget.RepeatBound
}

type simEvent struct {
	at   time.Duration
	seq  uint64
	fire func()
}

type eventHeap struct {
	events []simEvent
	seq    uint64
}

func (h *eventHeap) Len() int { return len(h.events) }
func (h *eventHeap) Less(i, j int) bool {
	if h.events[i].at != h.events[j].at {
		return h.events[i].at < h.events[j].at
	}
	return h.events[i].seq < h.events[j].seq
}
func (h *eventHeap) Swap(i, j int) { h.events[i], h.events[j] = h.events[j], h.events[i] }
func (h *eventHeap) Push(x any)    { h.events = append(h.events, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := h.events[len(h.events)-1]
	h.events = h.events[:len(h.events)-1]
	return last
}

// overloadEntry is one core.
type overloadEntry struct {
	*Core
	open     map[RequestID]*overloadTry
	attempts map[attemptKey]*overloadRun
	nextID   RequestID
}

// overloadEndpoint works on up to slots requests at a time and queues some more.
type overloadEndpoint struct {
	name, domain string
	running      int
	waiting      []*overloadRun
}

// overloadRun is an attempt at an endpoint.
type overloadRun struct {
	entry     *overloadEntry
	key       attemptKey
	try       *overloadTry
	endpoint  *overloadEndpoint
	work      time.Duration
	cancelled bool
}

// overloadRequest is one caller's request with its tries.
type overloadRequest struct {
	asked      time.Duration
	answeredAt time.Duration
	// work is how long it takes at an endpoint of the usual pace.
	work    time.Duration
	repeats int
	atOnce  bool
	// refusedAfter is how long the first refusal took, refusals how many there were.
	refusedAfter time.Duration
	refusals     int
}

// overloadTry is one try of a request at an entry.
type overloadTry struct {
	request *overloadRequest
	began   time.Duration
	// reached is set when an attempt of it has reached an endpoint.
	reached bool
}

const (
	overloadObjective = 400 * ms
	overloadTimeout   = 1500 * ms
	maxAtOnce         = 3
)

func newOverloadFleet(t testing.TB, load overloadLoad) *overloadFleet {
	f := &overloadFleet{TB: t, rng: rand.New(rand.NewPCG(7, uint64(load.entries))), now: sec, load: load}
	if f.load.repeats.Share == 0 {
		f.load.repeats = overloadRepeats
	}
	list := published.VMList{Revision: 1}
	for i := range load.endpoints {
		ep := &overloadEndpoint{name: fmt.Sprint("ep-", i), domain: fmt.Sprint("d", i%4)}
		f.endpoints = append(f.endpoints, ep)
		list.VMs = append(list.VMs, published.VM{Name: ep.name, Incarnation: 1, Role: published.EndpointRole, State: published.Live,
			Region: "r", Domain: ep.domain, Address: ep.name, Pool: "p", Slots: load.slots})
	}
	base, err := profile.Parse([]byte(harnessProfiles), 1)
	if err != nil {
		t.Fatal(err)
	}
	table, err := route.Parse(route.Encode(harnessRoutes()))
	if err != nil {
		t.Fatal(err)
	}
	bound, err := base.Bind(table, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range load.entries {
		hello := message.Hello{Name: fmt.Sprint("entry-", i), Incarnation: uint64(i + 1), Region: "r", Domain: fmt.Sprint("d", i%4),
			CallerAddress: fmt.Sprint("10.0.0.", i, ":80"), PeerAddress: fmt.Sprint("10.0.0.", i, ":81")}
		cfg := DefaultConfig(hello)
		cfg.LoadProbesPerEndpoint, cfg.ListIsFinal = 42, true
		cfg.Repeats, cfg.LargestFleet = f.load.repeats, 24
		e := &overloadEntry{Core: New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), open: map[RequestID]*overloadTry{}, attempts: map[attemptKey]*overloadRun{}}
		f.entries = append(f.entries, e)
		f.do(e, func(out *Actions) {
			e.Offer(f.now, OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: 1, Digest: 1}, Profiles: bound}, out)
			e.Offer(f.now, OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: 1, Digest: 1}, VMs: list}, out)
		})
		e.Confirm(f.now, published.ProfilesValue)
		e.Confirm(f.now, published.VMsValue)
		e.fleet.ownShare = 1 / float64(load.entries)
		f.at(time.Duration(i%10)*ms, func() { f.tick(e) })
	}
	f.callersUse = f.entries
	return f
}

func (f *overloadFleet) at(after time.Duration, fire func()) {
	f.events.seq++
	heap.Push(&f.events, simEvent{f.now + after, f.events.seq, fire})
}

func (f *overloadFleet) run(d time.Duration) {
	for end := f.now + d; f.events.Len() > 0 && f.events.events[0].at <= end; {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.fire()
	}
}

func (f *overloadFleet) tick(e *overloadEntry) {
	f.do(e, func(out *Actions) { e.Tick(f.now, time.Unix(0, 0), out) })
	e.fleet.ownShare = 1 / float64(f.load.entries)
	f.at(10*ms, func() { f.tick(e) })
}

// capacity is how many requests a second the endpoints complete with as many slots in use as is best.
func (l *overloadLoad) capacity() float64 {
	meanWork := l.work.Seconds() * (1 - l.slowShare + l.slowShare*l.slowFactor)
	return float64(l.endpoints*l.bestSlots()) / meanWork
}

// bestSlots is how many slots of an endpoint are best used: all, or those below the knee.
func (l *overloadLoad) bestSlots() int {
	below := 0
	for below < l.slots && float64(below+1) < l.knee*float64(l.slots) {
		below++
	}
	if l.knee == 0 || float64(l.slots)/l.kneeFactor > float64(below) {
		return l.slots
	}
	return below
}

// arrive schedules the requests of a span at a rate per second.
func (f *overloadFleet) arrive(rate float64, span time.Duration) {
	for at := time.Duration(0); at < span; at += time.Duration(f.rng.ExpFloat64() / rate * float64(sec)) {
		r := &overloadRequest{work: time.Duration(float64(f.load.work) * (0.7 + 0.6*f.rng.Float64())), atOnce: f.rng.Float64() < f.load.repeatAtOnce}
		f.at(at, func() {
			r.asked = f.now
			f.requests = append(f.requests, r)
			f.try(r)
		})
	}
}

// try sends a request to an entry.
func (f *overloadFleet) try(r *overloadRequest) {
	left := overloadTimeout - (f.now - r.asked)
	if left <= 0 {
		return
	}
	e := f.callersUse[f.rng.IntN(len(f.callersUse))]
	f.log.Request(f.now)
	e.nextID++
	id := e.nextID
	e.open[id] = &overloadTry{request: r, began: f.now}
	admission := e.AdmitRoute("a", "/idempotent/x")
	a := Arrival{ID: id, Service: admission.Service, Admission: admission, CallerAttempt: 1, Replayable: true, Timeout: left}
	f.do(e, func(out *Actions) { e.Arrive(f.now, a, out) })
}

func (f *overloadFleet) do(e *overloadEntry, event func(out *Actions)) {
	var out Actions
	event(&out)
	for _, d := range out.Directives {
		f.carryOut(e, d)
	}
	for _, p := range out.Probes {
		f.at(ms, func() {
			ep := f.endpointNamed(p.Endpoint)
			end := ProbeEnd{Probe: p, OK: true, Latency: ms, Load: f.loadOf(ep)}
			f.do(e, func(out *Actions) { e.ProbeEnd(f.now, end, out) })
		})
	}
}

func (f *overloadFleet) endpointNamed(name string) *overloadEndpoint {
	var i int
	_, _ = fmt.Sscanf(name, "ep-%d", &i)
	return f.endpoints[i]
}

func (f *overloadFleet) loadOf(ep *overloadEndpoint) Load {
	return Load{Known: true, InFlight: ep.running, Queued: len(ep.waiting), Slots: f.load.slots, Pace: int(100 * f.pace(ep))}
}

// pace returns how many times as long work takes at an endpoint now. It changes every 150 ms.
func (f *overloadFleet) pace(ep *overloadEndpoint) float64 {
	if f.load.slowShare == 0 {
		return 1
	}
	var index uint64
	_, _ = fmt.Sscanf(ep.name, "ep-%d", &index)
	span := uint64(f.now / (150 * ms))
	if rand.New(rand.NewPCG(index, span)).Float64() < f.load.slowShare {
		return f.load.slowFactor
	}
	return 1
}

func (f *overloadFleet) carryOut(e *overloadEntry, d Directive) {
	try := e.open[d.ID]
	switch d.Step {
	case StepDispatch:
		run := &overloadRun{entry: e, key: attemptKey{d.ID, d.Attempt}, endpoint: f.endpointNamed(d.Endpoint)}
		if try != nil {
			run.try, run.work = try, try.request.work
		}
		e.attempts[run.key] = run
		f.at(ms, func() { f.reach(run) })
	case StepCancel:
		if run := e.attempts[attemptKey{d.ID, d.Attempt}]; run != nil {
			f.at(ms, func() { f.cancel(run) })
		}
	case StepReply:
		if try == nil {
			return
		}
		delete(e.open, d.ID)
		f.refused(try, d.RetryAfter)
	}
}

// reach delivers an attempt to its endpoint.
func (f *overloadFleet) reach(run *overloadRun) {
	ep := run.endpoint
	if run.cancelled || !run.entry.MaySend(f.now, run.key.id, run.key.n) {
		f.end(run, End{Kind: EndNotWritten, Replayable: true})
		return
	}
	if run.try != nil {
		if run.try.reached {
			f.log.Repeat(f.now)
		}
		run.try.reached = true
	}
	shed := f.load.shedShare > 0 && f.rng.Float64() < f.load.shedShare
	switch {
	case shed || ep.running >= f.load.slots && len(ep.waiting) >= f.load.queue:
		f.at(ms, func() {
			if run.entry.attempts[run.key] == nil {
				return
			}
			f.do(run.entry, func(out *Actions) {
				run.entry.Head(f.now, Head{ID: run.key.id, Attempt: run.key.n, Status: 503, NotRun: true, Load: f.loadOf(ep)}, out)
			})
			f.end(run, End{Kind: EndNotRun, Replayable: true})
		})
	case ep.running >= f.load.slots:
		ep.waiting = append(ep.waiting, run)
	default:
		f.start(run)
	}
}

func (f *overloadFleet) start(run *overloadRun) {
	run.endpoint.running++
	f.at(f.duration(run), func() { f.finish(run) })
}

// duration is how long an attempt takes that begins now.
func (f *overloadFleet) duration(run *overloadRun) time.Duration {
	factor := f.pace(run.endpoint)
	if f.load.knee > 0 && float64(run.endpoint.running) >= f.load.knee*float64(f.load.slots) {
		factor *= f.load.kneeFactor
	}
	return time.Duration(float64(run.work) * factor)
}

func (f *overloadFleet) finish(run *overloadRun) {
	ep := run.endpoint
	ep.running--
	for len(ep.waiting) > 0 && ep.running < f.load.slots {
		next := ep.waiting[0]
		ep.waiting = ep.waiting[1:]
		if !next.cancelled {
			f.start(next)
		}
	}
	if run.cancelled {
		return
	}
	e := run.entry
	f.do(e, func(out *Actions) {
		e.Head(f.now, Head{ID: run.key.id, Attempt: run.key.n, Status: 200, Load: f.loadOf(ep)}, out)
	})
	if try := e.open[run.key.id]; try != nil && try.request.answeredAt == 0 {
		try.request.answeredAt = f.now
		delete(e.open, run.key.id)
	}
	f.end(run, End{Kind: EndComplete, Replayable: true})
}

// cancel ends an attempt at its endpoint, which goes on until the end of its work if it has begun.
func (f *overloadFleet) cancel(run *overloadRun) {
	if run.cancelled || run.entry.attempts[run.key] == nil {
		return
	}
	run.cancelled = true
	f.end(run, End{Kind: EndCancelled})
}

func (f *overloadFleet) end(run *overloadRun, end End) {
	if run.entry.attempts[run.key] == nil {
		return
	}
	delete(run.entry.attempts, run.key)
	end.ID, end.Attempt = run.key.id, run.key.n
	f.do(run.entry, func(out *Actions) { run.entry.End(f.now, end, out) })
}

// refused continues a request after a refusal: its caller comes back once, as told and within a third
// of the time that it has left, or up to maxAtOnce times at once.
func (f *overloadFleet) refused(try *overloadTry, retryAfter time.Duration) {
	r := try.request
	if r.answeredAt != 0 {
		return
	}
	if r.refusals++; r.refusals == 1 {
		r.refusedAfter = f.now - try.began
	}
	left := overloadTimeout - (f.now - r.asked)
	switch {
	case r.atOnce && r.repeats < maxAtOnce:
		r.repeats++
		f.at(5*ms, func() { f.try(r) })
	case !r.atOnce && r.repeats < 1 && left > 0:
		r.repeats++
		f.at(min(retryAfter, left/3), func() { f.try(r) })
	}
}
