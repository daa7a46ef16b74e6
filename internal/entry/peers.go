package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/peer/wire"
	"github.com/tealhall/tealhall/internal/published"
)

// handoverBytes bounds a message of a hand-over beside one largest kept answer,
// whose coding adds to its size.
const handoverBytes = 256 << 10

// The waits before a peer is dialled again. Where the platform lists no entries, one
// that comes back is found by dialling its address only, and until then it is named to
// no caller; a dial to an address at which nobody listens costs two packets.
const (
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
)

// buildPeers builds the server for peers and the links to them.
func (e *Entry) buildPeers() {
	cfg := peer.Config{
		Heartbeat:      e.settings.Peers.Heartbeat.Duration,
		CallTimeout:    e.settings.Peers.CallTimeout.Duration,
		BackoffMin:     backoffMin,
		BackoffMax:     backoffMax,
		BytesPerSecond: e.settings.Peers.BytesPerSecond,
		Connections:    e.settings.Peers.Connections,
		HandoverBytes:  handoverBytes + 2*e.settings.Limits.KeyAnswerBytes,
		ServerTLS:      e.options.TLS.PeerServer,
		ClientTLS:      e.options.TLS.PeerClient,
	}
	e.peerServer = peer.NewServer(cfg, (*peerHandler)(e))
	e.links = peer.NewLinks(cfg, e.ownHello, e.helloAnswered)
}

// ownHello is how this entry introduces itself, with its state and which others it knows.
func (e *Entry) ownHello() message.Hello {
	h := e.hello
	e.engine.view(func(_ time.Duration, c *core.Core) { h.Status, h.Records = c.OwnStatus(), c.RecordSet() })
	return h
}

// SetSeeds replaces the peer addresses to try first. Links to entries that are
// known stay.
func (e *Entry) SetSeeds(seeds []string) { e.knownAddresses.add(e.engine.clock(), seeds) }

// rememberFor is how long an address is tried at which no entry is known any more, and
// rememberMost how many addresses are remembered.
const (
	rememberFor  = time.Hour
	rememberMost = 4096
)

// addressBook are the addresses of seeds and of entries that were known, with when that was last.
// Those at which no entry is known now are dialled by a few: one that was killed comes back at
// its address, and the other part of a fleet that was cut in two is found there.
type addressBook struct {
	mu      sync.Mutex
	seenAt  map[string]time.Duration
	version uint64
}

// add notes addresses.
func (s *addressBook) add(now time.Duration, addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seenAt == nil {
		s.seenAt = make(map[string]time.Duration)
	}
	for _, address := range addresses {
		if _, known := s.seenAt[address]; !known {
			if len(s.seenAt) >= rememberMost {
				continue
			}
			s.version++
		}
		s.seenAt[address] = now
	}
}

// forget drops the addresses at which no entry was known for long.
func (s *addressBook) forget(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, at := range s.seenAt {
		if now-at > rememberFor {
			delete(s.seenAt, address)
		}
	}
}

// latest is the version of the list of addresses; it is 0 while none is known.
func (s *addressBook) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// appendTo appends all addresses.
func (s *addressBook) appendTo(out []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.seenAt {
		out = append(out, address)
	}
	return out
}

// helloReceived tells the core who opened a link.
func (e *Entry) helloReceived(h message.Hello) {
	if h.Incarnation != e.hello.Incarnation {
		e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.HelloReceived(now, h, out) })
	}
}

// helloAnswered tells the core who answered on a link that this entry opened.
func (e *Entry) helloAnswered(_ string, h message.Hello) {
	if h.Incarnation != e.hello.Incarnation {
		e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.HelloAnswered(now, h, out) })
	}
}

// seedsFor is how long an entry that starts dials all its seeds. After that it has neighbours,
// and a seed that nobody knows is dialled by the few whose turn it is: links with the seeds for
// good would make these the ends of as many links as there are entries.
const seedsFor = 3 * time.Second

// wantedLinks are the addresses that links are held with, as of one version of
// the core's links and of the addresses heard of.
type wantedLinks struct {
	version   uint64
	told      uint64
	starting  bool
	addresses []string
}

// updateLinks holds links with the entries that the core names, and with addresses at which
// one may be that nobody knows.
//
// Those stay when others are known. Without the platform's list entries learn
// of each other only by links; if the first seed that answered ended the dialling
// of the others, two parts of a fleet could miss each other for good, and callers of one
// would never be sent to the other.
func (e *Entry) updateLinks(set *wantedLinks) {
	version := e.knownAddresses.latest()
	var wanted, known []string
	e.engine.view(func(now time.Duration, c *core.Core) {
		links, starting := c.LinksVersion(), now < seedsFor || !c.KnowsOthers()
		if set.addresses != nil && links == set.version && version == set.told && starting == set.starting {
			return
		}
		set.version, set.told, set.starting = links, version, starting
		told := e.knownAddresses.appendTo(nil)
		wanted, known = c.LinkAddresses([]string{}), c.PeerAddresses(nil)
		lost := lostOf(told, known)
		if starting {
			wanted = append(wanted, lost...)
			return
		}
		wanted = append(wanted, slices.DeleteFunc(lost, func(address string) bool { return !c.DialsLost(address) })...)
	})
	if wanted == nil {
		return
	}
	now := e.engine.clock()
	e.knownAddresses.add(now, append(known, e.settings.Peers.Seeds...))
	e.knownAddresses.forget(now)
	wanted = slices.DeleteFunc(wanted, func(address string) bool { return address == e.hello.PeerAddress })
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	if set.addresses == nil || !slices.Equal(wanted, set.addresses) {
		e.links.SetPeers(wanted)
	}
	set.addresses = wanted
}

// lostOf returns the addresses heard of at which no entry is known.
func lostOf(told, known []string) []string {
	has := make(map[string]bool, len(known))
	for _, address := range known {
		has[address] = true
	}
	return slices.DeleteFunc(told, func(address string) bool { return has[address] })
}

// pullRecords asks a peer for the records of entries that this one lacks, if there is reason to.
func (e *Entry) pullRecords(ctx context.Context) {
	var pull core.Pull
	var due bool
	e.engine.view(func(now time.Duration, c *core.Core) { pull, due = c.PullDue(now) })
	if due {
		e.run(func() { e.pullFrom(ctx, pull) })
	}
}

func (e *Entry) pullFrom(ctx context.Context, pull core.Pull) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Peers.CallTimeout.Duration)
	defer cancel()
	var records []message.Record
	d, err := e.links.Fetch(ctx, pull.Address, message.Fetch{Name: message.RecordsValue, Marks: pull.Marks})
	if err == nil {
		records, err = wire.UnmarshalRecords(d.Data)
	}
	if err != nil {
		klog.V(1).InfoS("a peer gave no records", "peer", pull.Address, "err", err)
	}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Pulled(now, pull, records, err == nil, out)
	})
}

// peerHandler answers peers.
type peerHandler Entry

// Hello implements peer.Handler.
func (h *peerHandler) Hello(from message.Hello) (message.Hello, error) {
	e := (*Entry)(h)
	e.helloReceived(from)
	return e.ownHello(), nil
}

// Update implements peer.Handler.
func (h *peerHandler) Update(u message.Update) (message.Ack, error) {
	e := (*Entry)(h)
	known := false
	ack := message.Ack{Accepted: true}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		known = c.PeerUpdate(now, &u, out)
		ack.EvidenceDigest, ack.RecordDigest = c.OwnEvidenceDigest(), c.RecordSet().Digest
	})
	if !known {
		return message.Ack{Reason: "say hello first"}, nil
	}
	return ack, nil
}

// Fetch implements peer.Handler.
func (h *peerHandler) Fetch(f message.Fetch) (message.Document, error) {
	if f.Name == message.RecordsValue {
		return (*Entry)(h).recordsBeyond(f.Marks)
	}
	d := (*Entry)(h).documents.since(f)
	if d.Revision == 0 {
		return message.Document{}, fault.New(fault.NotFound, "ask another peer or the platform", "no revision of %s is in force here", f.Name)
	}
	return d, nil
}

// recordsBeyond returns the records that a peer lacks which has those marked.
func (e *Entry) recordsBeyond(marks []uint32) (message.Document, error) {
	var records []message.Record
	e.engine.view(func(_ time.Duration, c *core.Core) { records = c.RecordsBeyond(marks) })
	data, err := wire.MarshalRecords(records)
	if err != nil {
		return message.Document{}, fault.Wrap(err, fault.BadMessage, "report this as a defect", "records can't be coded")
	}
	return message.Document{Name: message.RecordsValue, Data: data}, nil
}

// fetchFromPeer gets a published value from a peer.
func (e *Entry) fetchFromPeer(ctx context.Context, f core.FetchFrom) bool {
	ask := message.Fetch{Name: f.Name, After: f.After, Difference: e.documents.get(f.Name).Revision == f.After && f.After > 0}
	d, err := e.links.Fetch(ctx, f.Address, ask)
	if err == nil && d.Difference {
		v, list, problem := e.documents.patched(d)
		if problem == nil {
			e.offerPatched(v, list, f.Source)
			return true
		}
		klog.V(1).InfoS("a difference does not fit", "peer", f.Address, "value", f.Name, "err", problem)
		ask.Difference = false
		d, err = e.links.Fetch(ctx, f.Address, ask)
	}
	if err != nil {
		klog.V(1).InfoS("a peer gave no value", "peer", f.Address, "value", f.Name, "err", err)
		return fault.KindOf(err) == fault.NotFound
	}
	if len(d.Data) > 0 {
		e.offer(published.Value{Name: d.Name, Revision: d.Revision, Data: d.Data}, f.Source)
	}
	return true
}

// Handover implements peer.Handler.
func (h *peerHandler) Handover(part message.Handover) (message.Ack, error) {
	e := (*Entry)(h)
	adopted := false
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { adopted = c.Adopt(now, &part, out) })
	if !adopted {
		return message.Ack{Reason: "this entry leaves as well"}, nil
	}
	return message.Ack{Accepted: true}, nil
}
