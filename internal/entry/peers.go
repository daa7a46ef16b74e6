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
)

// handoverBytes bounds a hand-over message without the stored answers in it. buildPeers adds twice
// the largest size of a stored answer, since the encoding enlarges the answer.
const handoverBytes = 256 << 10

// The backoff before a peer is dialled again. If the platform lists no entries, an entry that comes
// back is found only by dialling its address, and callers are not sent to it until then. A dial to
// an address without a listener costs two packets.
const (
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
)

// buildPeers creates the server for peers and the links to them.
func (e *Entry) buildPeers() {
	cfg := peer.Config{
		Heartbeat:      e.settings.Peers.Heartbeat.Duration,
		CallTimeout:    e.settings.Peers.CallTimeout.Duration,
		BackoffMin:     backoffMin,
		BackoffMax:     backoffMax,
		BytesPerSecond: e.settings.Peers.BytesPerSecond,
		Connections:    e.capacity.Peers,
		HandoverBytes:  handoverBytes + 2*e.settings.Limits.KeyAnswerBytes,
		ServerTLS:      e.options.TLS.PeerServer,
		ClientTLS:      e.options.TLS.PeerClient,
	}
	e.peerServer = peer.NewServer(cfg, (*peerHandler)(e))
	e.links = peer.NewLinks(cfg, e.ownHello, e.helloAnswered)
}

// ownHello returns the hello of this entry, with its current status and record set.
func (e *Entry) ownHello() message.Hello {
	h := e.hello
	e.engine.view(func(_ time.Duration, c *core.Core) { h.Status, h.Records = c.OwnStatus(), c.RecordSet() })
	return h
}

// SetSeeds adds peer addresses to try. Links to known entries stay.
func (e *Entry) SetSeeds(seeds []string) { e.knownAddresses.add(e.engine.clock(), seeds) }

// addressLifetime is how long an address without a known entry is still tried, and
// maxKnownAddresses bounds the number of addresses.
const (
	addressLifetime   = time.Hour
	maxKnownAddresses = 4096
)

// addressBook has the addresses of seeds and of entries that were known, with the time when each
// was last known. A few entries dial the addresses at which no entry is known now: an entry that
// was killed comes back at its address, and the other part of a fleet that was partitioned is found
// there.
type addressBook struct {
	mu        sync.Mutex
	lastKnown map[string]time.Duration
	version   uint64
}

// add records that the addresses are known at the time now. Beyond maxKnownAddresses, it ignores
// new addresses.
func (b *addressBook) add(now time.Duration, addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastKnown == nil {
		b.lastKnown = make(map[string]time.Duration)
	}
	for _, address := range addresses {
		if _, known := b.lastKnown[address]; !known {
			if len(b.lastKnown) >= maxKnownAddresses {
				continue
			}
			b.version++
		}
		b.lastKnown[address] = now
	}
}

// forget removes the addresses at which no entry was known for addressLifetime.
func (b *addressBook) forget(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, at := range b.lastKnown {
		if now-at > addressLifetime {
			delete(b.lastKnown, address)
		}
	}
}

// currentVersion returns the version of the address list; it is 0 while the list is empty.
func (b *addressBook) currentVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// appendTo appends all addresses.
func (b *addressBook) appendTo(out []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.lastKnown {
		out = append(out, address)
	}
	return out
}

// helloReceived passes to the core the hello of a peer that opened a link to this entry.
func (e *Entry) helloReceived(h message.Hello) {
	if h.Incarnation != e.hello.Incarnation {
		e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.HelloReceived(now, h, out) })
	}
}

// helloAnswered passes to the core the hello with which a peer answered on a link that this entry
// opened.
func (e *Entry) helloAnswered(_ string, h message.Hello) {
	if h.Incarnation != e.hello.Incarnation {
		e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.HelloAnswered(now, h, out) })
	}
}

// seedDialTime is how long a starting entry dials all its seeds. After that it has neighbours, and
// only a few entries dial a seed at which no entry is known: permanent links to the seeds would
// give each seed as many links as there are entries.
const seedDialTime = 3 * time.Second

// wantedLinks has the addresses to which links are kept, for one version of the core's links and
// one of the known addresses.
type wantedLinks struct {
	linksVersion   uint64
	addressVersion uint64
	starting       bool
	addresses      []string
}

// updateLinks keeps links to the entries that the core names, and to addresses at which an unknown
// entry may be.
//
// The latter are kept even when other entries are known. Without the platform's list, entries learn
// of each other only by links. If an entry stopped dialling the other seeds once the first one
// answered, two parts of a fleet could stay unaware of each other, and callers of one part would
// never be sent to the other.
func (e *Entry) updateLinks(set *wantedLinks) {
	version := e.knownAddresses.currentVersion()
	var wanted, known []string
	e.engine.view(func(now time.Duration, c *core.Core) {
		links, starting := c.LinksVersion(), now < seedDialTime || !c.KnowsOthers()
		if set.addresses != nil && links == set.linksVersion && version == set.addressVersion && starting == set.starting {
			return
		}
		set.linksVersion, set.addressVersion, set.starting = links, version, starting
		remembered := e.knownAddresses.appendTo(nil)
		wanted, known = c.LinkAddresses([]string{}), c.PeerAddresses(nil)
		lost := lostAddresses(remembered, known)
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

// lostAddresses returns the remembered addresses at which no entry is known. It modifies
// remembered.
func lostAddresses(remembered, known []string) []string {
	isKnown := make(map[string]bool, len(known))
	for _, address := range known {
		isKnown[address] = true
	}
	return slices.DeleteFunc(remembered, func(address string) bool { return isKnown[address] })
}

// pullRecords fetches the records that this entry lacks from a peer, if the core asks for it.
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
		klog.V(1).InfoS("could not pull records from a peer", "peer", pull.Address, "err", err)
	}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.PullDone(now, pull, records, err == nil, out)
	})
}

// peerHandler handles the calls of peers.
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
func (h *peerHandler) Fetch(peer uint64, f message.Fetch) (message.Document, error) {
	e := (*Entry)(h)
	if f.Name == message.RecordsValue {
		return e.unmarkedRecords(f.Marks)
	}
	answer, err := e.documents.answer(f)
	if err != nil || !f.MayDefer {
		return answer, err
	}
	if wait := e.sending.ask(e.engine.clock(), peer, f, &answer); wait > 0 {
		return message.Document{Name: f.Name, Revision: answer.Revision, AskAgainMillis: uint32(max(1, wait.Milliseconds()))}, nil
	}
	return answer, nil
}

// unmarkedRecords returns the records that a peer lacks; marks identify the records that it has.
func (e *Entry) unmarkedRecords(marks []uint32) (message.Document, error) {
	var records []message.Record
	e.engine.view(func(_ time.Duration, c *core.Core) { records = c.UnmarkedRecords(marks) })
	data, err := wire.MarshalRecords(records)
	if err != nil {
		return message.Document{}, fault.Wrap(err, fault.BadMessage, "report this as a defect", "can't encode the records")
	}
	return message.Document{Name: message.RecordsValue, Data: data}, nil
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
