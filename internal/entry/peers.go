package entry

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
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
	e.links = peer.NewLinks(cfg, e.ownHello, func(_ string, h message.Hello) { e.introduce(h) })
}

// ownHello is how this entry introduces itself, with its state and which others it knows.
func (e *Entry) ownHello() message.Hello {
	h := e.hello
	e.engine.view(func(_ time.Duration, c *core.Core) { h.Says = c.Says() })
	h.Knows = rosterOf(append(e.knownPeers(), h.PeerAddress))
	return h
}

// answerTo is how this entry answers one that introduced itself: with the addresses of
// others, if that one knows others than this one and not more of them. Where the platform
// lists no entries, one that starts learns of all others from the first one that answers,
// and by dialling them it makes itself known. In a fleet that has met nobody needs them,
// and with every greeting of every link they were most of what 126 entries told each other.
func (e *Entry) answerTo(from message.Hello) message.Hello {
	h := e.ownHello()
	if from.Knows.Digest != h.Knows.Digest && from.Knows.Count <= h.Knows.Count {
		known := e.knownPeers()
		h.Known = known[:min(len(known), message.MaxKnown)]
	}
	return h
}

// knownPeers returns the peer addresses of the other entries that this one knows.
func (e *Entry) knownPeers() (addresses []string) {
	e.engine.view(func(_ time.Duration, c *core.Core) { addresses = c.PeerAddresses(nil) })
	return addresses
}

// rosterOf sums up addresses; their order does not matter.
func rosterOf(addresses []string) message.Roster {
	r := message.Roster{Count: uint16(min(len(addresses), math.MaxUint16))}
	for _, address := range addresses {
		r.Digest ^= xxhash.Sum64String(address)
	}
	return r
}

// SetSeeds replaces the peer addresses to try first. Links to entries that are
// known stay.
func (e *Entry) SetSeeds(seeds []string) { e.told.add(seeds) }

// hearsay are addresses of entries that peers told of. They are dialled on and on,
// since an entry that was killed comes back at its address.
type hearsay struct {
	mu        sync.Mutex
	addresses map[string]bool
	version   uint64
}

// add notes addresses that were told.
func (s *hearsay) add(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[string]bool)
	}
	for _, address := range addresses {
		if !s.addresses[address] && len(s.addresses) < message.MaxKnown {
			s.addresses[address] = true
			s.version++
		}
	}
}

// appendTo appends all addresses and returns the version of the list.
func (s *hearsay) appendTo(out []string) ([]string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.addresses {
		out = append(out, address)
	}
	return out, s.version
}

// introduce tells the core who is at the other end of a link.
func (e *Entry) introduce(h message.Hello) {
	if h.Incarnation == e.hello.Incarnation {
		return
	}
	e.told.add(append(h.Known, h.PeerAddress))
	h.Known = nil
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Introduce(now, h, out) })
}

// wantedLinks are the addresses that links are held with, as of one version of
// the core's members.
type wantedLinks struct {
	version   uint64
	told      uint64
	addresses []string
}

// updateLinks holds links with the entries that the core knows and with the
// seeds.
//
// The seeds stay when others are known. Without the platform's list entries learn
// of each other only by links; if the first seed that answered ended the dialling
// of the others, two entries could miss each other for good, and callers of one
// would never be sent to the other.
func (e *Entry) updateLinks(set *wantedLinks) {
	wanted, told := e.told.appendTo(nil)
	unchanged := false
	e.engine.view(func(_ time.Duration, c *core.Core) {
		version := c.EntriesVersion()
		if unchanged = set.addresses != nil && version == set.version && told == set.told; !unchanged {
			set.version, set.told, wanted = version, told, c.PeerAddresses(wanted)
		}
	})
	if unchanged {
		return
	}
	wanted = slices.DeleteFunc(wanted, func(address string) bool { return address == e.hello.PeerAddress })
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	if set.addresses == nil || !slices.Equal(wanted, set.addresses) {
		e.links.Set(wanted)
	}
	set.addresses = append([]string{}, wanted...)
}

// peerHandler answers peers.
type peerHandler Entry

// Hello implements peer.Handler.
func (h *peerHandler) Hello(from message.Hello) (message.Hello, error) {
	e := (*Entry)(h)
	e.introduce(from)
	return e.answerTo(from), nil
}

// Update implements peer.Handler.
func (h *peerHandler) Update(u message.Update) (message.Ack, error) {
	e := (*Entry)(h)
	known, holds := false, uint64(0)
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		known = c.PeerUpdate(now, &u, out)
		holds = c.EvidenceDigest()
	})
	if !known {
		return message.Ack{Reason: "say hello first"}, nil
	}
	return message.Ack{Accepted: true, Known: holds}, nil
}

// Fetch implements peer.Handler.
func (h *peerHandler) Fetch(f message.Fetch) (message.Document, error) {
	d := (*Entry)(h).documents.since(f)
	if d.Revision == 0 {
		return message.Document{}, fault.New(fault.NotFound, "ask another peer or the platform", "no revision of %s is in force here", f.Name)
	}
	return d, nil
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
