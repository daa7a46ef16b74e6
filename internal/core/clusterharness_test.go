package core

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

const (
	ms  = time.Millisecond
	sec = time.Second
	// lag is the delay of a message between two entries.
	lag = ms
)

// clusterHarness runs a few cores with the messages between them and simulates endpoints and the
// platform. A test may replace any of its functions.
type clusterHarness struct {
	testing.TB
	now    time.Duration
	wall   time.Time // at time 0
	config func(*Config)
	// tick is the time between two ticks of the cores.
	tick     time.Duration
	nodes    []*node
	underWay []delivery
	docs     map[string]published.Value
	nextID   RequestID
	keysMade uint64
	// cut says that no message gets from one entry to another.
	cut func(from, to *node) bool
	// lose says that a link accepts a message and loses it.
	lose         func(from, to *node, u *message.Update) bool
	platformDown func(n *node) bool
	// platformMute says that the service leaves an entry's calls without an answer.
	platformMute func(n *node) bool
	// probeTime is how long a probe takes, probedAt when each probe began.
	probeTime time.Duration
	probedAt  []time.Duration
	// dial returns the time from the dispatch of a request to its first byte.
	dial func() time.Duration
	// refuses says that an endpoint accepts no connections.
	refuses func(name string) bool
	// endpoint returns an endpoint's reaction to a request.
	endpoint func(name string, a Arrival) reaction
	written  map[string]int // requests written, by endpoint
	ran      map[string]int // requests run, by their body
}

// reaction is how an endpoint reacts to a request.
type reaction struct {
	after   time.Duration
	head    Head
	end     End
	ignores bool // the request is not run
}

// delivery is a message or result on its way to an entry.
type delivery struct {
	at     time.Duration
	to     *node
	handle func()
}

type attemptKey struct {
	id RequestID
	n  Attempt
}

// node is an entry process: a core and its driver's state.
type node struct {
	*Core
	hello        message.Hello
	started      time.Duration
	asleep, dead bool
	arrivals     map[RequestID]Arrival
	open         map[attemptKey]Directive
	replies      map[RequestID]reply
	relays       map[RequestID]func(reply)
	docs         map[string]published.Value
	notes        []Note
	suspects     []string
	probes       []Probe
}

// reply is the answer that a caller got.
type reply struct {
	Outcome Outcome
	Reason  Reason
	body    string
	after   time.Duration // Retry-After
	at      time.Duration
	twice   bool
}

func newClusterHarness(t testing.TB, entries int) *clusterHarness {
	r := &clusterHarness{TB: t, wall: time.Date(2027, 1, 31, 12, 0, 0, 0, time.UTC), tick: 10 * ms, probeTime: 6 * ms, docs: map[string]published.Value{},
		written: map[string]int{}, ran: map[string]int{}}
	r.config = func(cfg *Config) { cfg.LargestFleet = 8 }
	r.cut = func(_, _ *node) bool { return false }
	r.lose = func(_, _ *node, _ *message.Update) bool { return false }
	r.dial = func() time.Duration { return lag }
	r.platformDown = func(*node) bool { return false }
	r.refuses = func(string) bool { return false }
	r.platformMute = func(*node) bool { return false }
	r.endpoint = func(string, Arrival) reaction { return reaction{after: 10 * ms} }
	text, err := os.ReadFile("testdata/profiles.toml")
	if err != nil {
		t.Fatal(err)
	}
	r.publish(published.ProfilesValue, 1, string(text))
	for i := range entries {
		r.start(i)
	}
	return r
}

// start starts an entry's process on VM i; a process that ran there is dead.
func (r *clusterHarness) start(i int) *node {
	incarnation := uint64(len(r.nodes) + 1)
	h := message.Hello{Name: fmt.Sprintf("entry-%d", i), Incarnation: incarnation, Region: "r", Domain: fmt.Sprintf("d%d", i%3),
		CallerAddress: fmt.Sprintf("10.0.0.%d:80", i+1), PeerAddress: fmt.Sprintf("10.0.0.%d:81", i+1)}
	cfg := DefaultConfig(h)
	r.config(&cfg)
	n := &node{Core: New(cfg, rand.New(rand.NewPCG(1, incarnation))), hello: h, started: r.now,
		arrivals: map[RequestID]Arrival{}, open: map[attemptKey]Directive{}, replies: map[RequestID]reply{},
		relays: map[RequestID]func(reply){}, docs: map[string]published.Value{}}
	for _, old := range r.nodes {
		old.dead = old.dead || old.hello.Name == h.Name
	}
	r.nodes = append(r.nodes, n)
	return n
}

// publish stores a value on the platform.
func (r *clusterHarness) publish(name string, revision uint64, text string) {
	r.docs[name] = published.Value{Name: name, Revision: revision, Data: []byte(text)}
}

// addressOf returns the address of an endpoint, whose name is a letter and a number.
func addressOf(name string) string { return fmt.Sprintf("10.0.%d.%s:80", name[0], name[1:]) }

func nameOf(address string) (name string) {
	var letter, number int
	_, _ = fmt.Sscanf(address, "10.0.%d.%d:80", &letter, &number)
	return fmt.Sprintf("%c%d", letter, number)
}

// publishVMs publishes the VM list: all entries, and endpoints given as "pool/name", optionally
// followed by "#incarnation" or ",leaving".
func (r *clusterHarness) publishVMs(revision uint64, endpoints ...string) {
	var l published.VMList
	for i, n := range r.nodes {
		if n.dead {
			continue
		}
		l.VMs = append(l.VMs, published.VM{Name: n.hello.Name, Incarnation: uint64(100 + i), Role: published.EntryRole, State: published.Live,
			Region: "r", Domain: n.hello.Domain, Address: n.hello.CallerAddress, PeerAddress: n.hello.PeerAddress})
	}
	for _, text := range endpoints {
		vm := published.VM{Incarnation: 1, Role: published.EndpointRole, State: published.Live, Region: "r", Domain: "d0", Slots: 2}
		text, leaving := strings.CutSuffix(text, ",leaving")
		if leaving {
			vm.State = published.Leaving
		}
		text, incarnation, _ := strings.Cut(text, "#")
		_, _ = fmt.Sscan(incarnation, &vm.Incarnation)
		vm.Pool, vm.Name, _ = strings.Cut(text, "/")
		vm.Address = addressOf(vm.Name)
		l.VMs = append(l.VMs, vm)
	}
	r.publish(published.VMsValue, revision, string(published.EncodeVMs(l)))
}

// post schedules a delivery to an entry; a sleeping entry gets it when it wakes up.
func (r *clusterHarness) post(after time.Duration, to *node, read func()) {
	r.underWay = append(r.underWay, delivery{r.now + after, to, read})
}

// do passes an event to an entry and carries out the resulting actions.
func (r *clusterHarness) do(n *node, event func(now time.Duration, out *Actions)) Actions {
	var out Actions
	event(r.now-n.started, &out)
	for _, d := range out.Requests {
		r.carryOut(n, d)
	}
	for _, u := range out.Updates {
		r.post(lag, n, func() { r.update(n, u) })
	}
	for _, f := range out.Fetches {
		r.post(lag, n, func() { r.fetch(n, f) })
	}
	n.notes = append(n.notes, out.Notes...)
	n.suspects = append(n.suspects, out.SuspectAddresses...)
	for _, p := range out.Probes {
		n.probes, r.probedAt = append(n.probes, p), append(r.probedAt, r.now)
		end := ProbeEnd{Probe: p, OK: true, Latency: r.probeTime, Load: Load{Known: true, Slots: 2}}
		if r.refuses(p.Endpoint) {
			end = ProbeEnd{Probe: p, Refused: true, Latency: r.probeTime}
		}
		r.post(r.probeTime, n, func() {
			r.do(n, func(now time.Duration, out *Actions) { n.ProbeEnd(now, end, out) })
		})
	}
	return out
}

// run advances the simulated time.
func (r *clusterHarness) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += r.tick
		r.deliver()
		for _, n := range r.nodes {
			if n.asleep || n.dead {
				continue
			}
			r.do(n, func(now time.Duration, out *Actions) { n.Tick(now, r.wall.Add(r.now), out) })
			r.pull(n)
			if !n.Reader() || r.now%(100*ms) != 0 || r.platformMute(n) {
				continue
			}
			n.PlatformAnswered(!r.platformDown(n))
			if !r.platformDown(n) {
				r.read(n, published.ProfilesValue)
				r.read(n, published.VMsValue)
			}
		}
	}
}

// deliver runs the deliveries that are due.
func (r *clusterHarness) deliver() {
	var later []delivery
	for len(r.underWay) > 0 {
		due := r.underWay
		r.underWay = nil
		for _, d := range due {
			switch {
			case d.at > r.now || d.to.asleep:
				later = append(later, d)
			case !d.to.dead:
				d.handle()
			}
		}
	}
	r.underWay = later
}

func (r *clusterHarness) read(n *node, name string) {
	v := r.docs[name]
	if v.Revision == n.InForce(name).Revision {
		n.Confirm(r.now-n.started, name)
		return
	}
	r.offer(n, v, assign.Platform)
}

func (r *clusterHarness) offer(n *node, v published.Value, source uint64) {
	o := Offered{Name: v.Name, Source: source, Mark: message.Mark{Revision: v.Revision, Digest: xxhash.Sum64(v.Data)}}
	if v.Name == published.VMsValue {
		o.VMs, o.Problem = published.ParseVMs(v)
	} else {
		o.Profiles, o.Problem = profile.Parse(v.Data, v.Revision)
	}
	r.do(n, func(now time.Duration, out *Actions) { n.Offer(now, o, out) })
	if n.InForce(v.Name) == o.Mark {
		n.docs[v.Name] = v
	}
}

// nodeAt returns the running process with a peer or caller address, or nil.
func (r *clusterHarness) nodeAt(address string) *node {
	for _, n := range r.nodes {
		if !n.dead && (n.hello.PeerAddress == address || n.hello.CallerAddress == address) {
			return n
		}
	}
	return nil
}

// currentHello returns the hello that the entry sends on a link now.
func (n *node) currentHello() message.Hello {
	h := n.hello
	h.Status, h.Records = n.OwnStatus(), n.RecordSet()
	return h
}

// pull fetches the records that an entry lacks from a peer, if a pull is due.
func (r *clusterHarness) pull(n *node) {
	p, due := n.PullDue(r.now - n.started)
	if !due {
		return
	}
	r.post(2*lag, n, func() {
		var records []message.Record
		to := r.nodeAt(p.Address)
		answered := r.reaches(n, to) && r.reaches(to, n) && !to.asleep
		if answered {
			records = to.RecordsBeyond(p.Marks)
		}
		r.do(n, func(now time.Duration, out *Actions) { n.Pulled(now, p, records, answered, out) })
	})
}

func (r *clusterHarness) reaches(from, to *node) bool { return to != nil && !r.cut(from, to) }

func (r *clusterHarness) update(from *node, u Outgoing) {
	to := r.nodeAt(u.Address)
	acked := r.reaches(from, to) && !to.asleep && r.reaches(to, from)
	if r.reaches(from, to) && !r.lose(from, to, &u.Update) {
		r.post(0, to, func() {
			known := false
			r.do(to, func(now time.Duration, out *Actions) { known = to.PeerUpdate(now, &u.Update, out) })
			if !known && r.reaches(to, from) {
				r.do(to, func(now time.Duration, out *Actions) { to.HelloReceived(now, from.currentHello(), out) })
				r.do(from, func(now time.Duration, out *Actions) { from.HelloAnswered(now, to.currentHello(), out) })
			}
		})
	}
	r.post(0, from, func() {
		receipt := message.Receipt{Acked: acked}
		if acked {
			receipt.EvidenceDigest, receipt.RecordDigest = to.OwnEvidenceDigest(), to.RecordSet().Digest
		}
		from.UpdateDone(r.now-from.started, u.To, u.Update.Sequence, receipt)
	})
}

func (r *clusterHarness) fetch(n *node, f FetchFrom) {
	peer := r.nodeAt(f.Address)
	answered := f.Source == assign.Platform && !r.platformDown(n)
	v := r.docs[f.Name]
	if f.Source != assign.Platform {
		answered = r.reaches(n, peer) && r.reaches(peer, n) && !peer.asleep
		if answered {
			v = peer.docs[f.Name]
		}
	}
	if answered && v.Revision > f.After {
		r.offer(n, v, f.Source)
	}
	if f.Planned {
		r.do(n, func(now time.Duration, out *Actions) { n.FetchDone(now, f, answered) })
	}
}
