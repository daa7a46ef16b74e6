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
// configuration service. A test may replace any of its functions.
type clusterHarness struct {
	testing.TB
	now    time.Duration
	wall   time.Time // at time 0
	config func(*Config)
	// tick is the time between two ticks of the cores.
	tick       time.Duration
	nodes      []*node
	deliveries []delivery
	values     map[string]published.Value // of the configuration service
	nextID     RequestID
	keysMade   uint64
	// cut reports whether all messages from one entry to another are dropped.
	cut func(from, to *node) bool
	// lose reports whether a link accepts a message and loses it.
	lose         func(from, to *node, u *message.Update) bool
	platformDown func(n *node) bool
	// platformMute reports whether the configuration service leaves an entry's calls without an
	// answer.
	platformMute func(n *node) bool
	// probeTime is how long a probe takes, probedAt when each probe began.
	probeTime time.Duration
	probedAt  []time.Duration
	// dial returns the time from the dispatch of a request to its first byte.
	dial func() time.Duration
	// refuses reports whether an endpoint refuses connections.
	refuses func(name string) bool
	// endpoint returns an endpoint's reaction to a request.
	endpoint func(name string, a Arrival) reaction
	// paths returns the state of the paths from an entry to all endpoints; nil if they always work.
	paths   func(n *node) paths
	written map[string]int // requests written, by endpoint
	ran     map[string]int // requests run, by their body
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
	values       map[string]published.Value // in force at the entry
	notes        []Note
	suspects     []string
	probes       []Probe
}

// reply is the answer that a caller got.
type reply struct {
	Outcome      Outcome
	Reason       Reason
	body         string
	after        time.Duration // Retry-After
	at           time.Duration
	repliedTwice bool
}

func newClusterHarness(t testing.TB, entries int) *clusterHarness {
	h := &clusterHarness{TB: t, wall: time.Date(2027, 1, 31, 12, 0, 0, 0, time.UTC), tick: 10 * ms, probeTime: 6 * ms, values: map[string]published.Value{},
		written: map[string]int{}, ran: map[string]int{}}
	h.config = func(cfg *Config) { cfg.LargestFleet = 8 }
	h.cut = func(_, _ *node) bool { return false }
	h.lose = func(_, _ *node, _ *message.Update) bool { return false }
	h.dial = func() time.Duration { return lag }
	h.platformDown = func(*node) bool { return false }
	h.refuses = func(string) bool { return false }
	h.platformMute = func(*node) bool { return false }
	h.endpoint = func(string, Arrival) reaction { return reaction{after: 10 * ms} }
	text, err := os.ReadFile("testdata/profiles.toml")
	if err != nil {
		t.Fatal(err)
	}
	h.publish(published.ProfilesValue, 1, string(text))
	for i := range entries {
		h.start(i)
	}
	return h
}

// start starts an entry's process on VM i and kills the process that ran there.
func (h *clusterHarness) start(i int) *node {
	incarnation := uint64(len(h.nodes) + 1)
	hello := message.Hello{Name: fmt.Sprintf("entry-%d", i), Incarnation: incarnation, Region: "r", Domain: fmt.Sprintf("d%d", i%3),
		CallerAddress: fmt.Sprintf("10.0.0.%d:80", i+1), PeerAddress: fmt.Sprintf("10.0.0.%d:81", i+1)}
	cfg := DefaultConfig(hello)
	h.config(&cfg)
	n := &node{Core: New(cfg, rand.New(rand.NewPCG(1, incarnation))), hello: hello, started: h.now,
		arrivals: map[RequestID]Arrival{}, open: map[attemptKey]Directive{}, replies: map[RequestID]reply{},
		relays: map[RequestID]func(reply){}, values: map[string]published.Value{}}
	for _, old := range h.nodes {
		old.dead = old.dead || old.hello.Name == hello.Name
	}
	h.nodes = append(h.nodes, n)
	return n
}

// publish stores a value on the configuration service.
func (h *clusterHarness) publish(name string, revision uint64, text string) {
	h.values[name] = published.Value{Name: name, Revision: revision, Data: []byte(text)}
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
func (h *clusterHarness) publishVMs(revision uint64, endpoints ...string) {
	var l published.VMList
	for i, n := range h.nodes {
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
	h.publish(published.VMsValue, revision, string(published.EncodeVMs(l)))
}

// post schedules a delivery to an entry; a sleeping entry gets it when it wakes up.
func (h *clusterHarness) post(after time.Duration, to *node, handle func()) {
	h.deliveries = append(h.deliveries, delivery{h.now + after, to, handle})
}

// do passes an event to an entry and carries out the resulting actions.
func (h *clusterHarness) do(n *node, event func(now time.Duration, out *Actions)) Actions {
	var out Actions
	event(h.now-n.started, &out)
	for _, d := range out.Directives {
		h.carryOut(n, d)
	}
	for _, u := range out.Updates {
		h.post(lag, n, func() { h.update(n, u) })
	}
	for _, f := range out.Fetches {
		h.post(lag, n, func() { h.fetch(n, f) })
	}
	n.notes = append(n.notes, out.Notes...)
	n.suspects = append(n.suspects, out.SuspectAddresses...)
	for _, p := range out.Probes {
		n.probes, h.probedAt = append(n.probes, p), append(h.probedAt, h.now)
		end := ProbeEnd{Probe: p, OK: true, Latency: h.probeTime, Load: Load{Known: true, Slots: 2}}
		if h.refuses(p.Endpoint) || h.pathsOf(n) != pathsWork {
			end = ProbeEnd{Probe: p, Refused: h.pathsOf(n) != pathsSilent, Latency: h.probeTime}
		}
		h.post(h.probeTime, n, func() {
			h.do(n, func(now time.Duration, out *Actions) { n.ProbeEnd(now, end, out) })
		})
	}
	return out
}

// run advances the simulated time.
func (h *clusterHarness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += h.tick
		h.deliver()
		for _, n := range h.nodes {
			if n.asleep || n.dead {
				continue
			}
			h.do(n, func(now time.Duration, out *Actions) { n.Tick(now, h.wall.Add(h.now), out) })
			h.pull(n)
			if !n.Reader() || h.now%(100*ms) != 0 || h.platformMute(n) {
				continue
			}
			n.PlatformAnswered(!h.platformDown(n))
			if !h.platformDown(n) {
				h.read(n, published.ProfilesValue)
				h.read(n, published.VMsValue)
			}
		}
	}
}

// deliver runs the deliveries that are due.
func (h *clusterHarness) deliver() {
	var later []delivery
	for len(h.deliveries) > 0 {
		due := h.deliveries
		h.deliveries = nil
		for _, d := range due {
			switch {
			case d.at > h.now || d.to.asleep:
				later = append(later, d)
			case !d.to.dead:
				d.handle()
			}
		}
	}
	h.deliveries = later
}

func (h *clusterHarness) read(n *node, name string) {
	v := h.values[name]
	if v.Revision == n.InForce(name).Revision {
		n.Confirm(h.now-n.started, name)
		return
	}
	h.offer(n, v, assign.Platform)
}

func (h *clusterHarness) offer(n *node, v published.Value, source uint64) {
	o := OfferedValue{Name: v.Name, Source: source, Mark: message.Mark{Revision: v.Revision, Digest: xxhash.Sum64(v.Data)}}
	if v.Name == published.VMsValue {
		o.VMs, o.Problem = published.ParseVMs(v)
	} else {
		o.Profiles, o.Problem = profile.Parse(v.Data, v.Revision)
	}
	h.do(n, func(now time.Duration, out *Actions) { n.Offer(now, o, out) })
	if n.InForce(v.Name) == o.Mark {
		n.values[v.Name] = v
	}
}

// nodeAt returns the running process with a peer or caller address, or nil.
func (h *clusterHarness) nodeAt(address string) *node {
	for _, n := range h.nodes {
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
func (h *clusterHarness) pull(n *node) {
	p, due := n.PullDue(h.now - n.started)
	if !due {
		return
	}
	h.post(2*lag, n, func() {
		var records []message.Record
		to := h.nodeAt(p.Address)
		answered := h.reaches(n, to) && h.reaches(to, n) && !to.asleep
		if answered {
			records = to.UnmarkedRecords(p.Marks)
		}
		h.do(n, func(now time.Duration, out *Actions) { n.PullDone(now, p, records, answered, out) })
	})
}

func (h *clusterHarness) reaches(from, to *node) bool { return to != nil && !h.cut(from, to) }

func (h *clusterHarness) update(from *node, u Outgoing) {
	to := h.nodeAt(u.Address)
	acked := h.reaches(from, to) && !to.asleep && h.reaches(to, from)
	if h.reaches(from, to) && !h.lose(from, to, &u.Update) {
		h.post(0, to, func() {
			known := false
			h.do(to, func(now time.Duration, out *Actions) { known = to.PeerUpdate(now, &u.Update, out) })
			if !known && h.reaches(to, from) {
				h.do(to, func(now time.Duration, out *Actions) { to.HelloReceived(now, from.currentHello(), out) })
				h.do(from, func(now time.Duration, out *Actions) { from.HelloAnswered(now, to.currentHello(), out) })
			}
		})
	}
	h.post(0, from, func() {
		receipt := message.Receipt{Acked: acked}
		if acked {
			receipt.EvidenceDigest, receipt.RecordDigest = to.OwnEvidenceDigest(), to.RecordSet().Digest
		}
		from.UpdateDone(h.now-from.started, u.To, u.Update.Sequence, receipt)
	})
}

// fetchTimeout is the time after which a fetch from a silent source ends.
const fetchTimeout = 3 * sec

func (h *clusterHarness) fetch(n *node, f Fetch) {
	peer := h.nodeAt(f.Address)
	answered := f.Source == assign.Platform && !h.platformDown(n) && !h.platformMute(n)
	silent := f.Source == assign.Platform && h.platformMute(n)
	v := h.values[f.Name]
	if f.Source != assign.Platform {
		answered = h.reaches(n, peer) && h.reaches(peer, n) && !peer.asleep
		if answered {
			v = peer.values[f.Name]
		}
		silent = peer != nil && !answered
	}
	if answered && v.Revision > f.After {
		h.offer(n, v, f.Source)
	}
	if !f.Planned {
		return
	}
	done := func() {
		h.do(n, func(now time.Duration, out *Actions) { n.FetchDone(now, f, answered) })
	}
	if silent {
		h.post(fetchTimeout, n, done)
		return
	}
	done()
}
