package peer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
)

// Links manages the outgoing connections of an entry. It is safe for concurrent use.
type Links struct {
	cfg     Config
	self    func() message.Hello
	onHello func(address string, h message.Hello)

	// pingPeriod is the silence after which a link pings, in nanoseconds.
	pingPeriod atomic.Int64

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	// removedBytesIn and removedBytesOut count the bytes of links that were removed.
	removedBytesIn, removedBytesOut uint64
}

// NewLinks returns Links without any peer. The function self describes this entry in each Hello.
// Each time a link opens, its goroutine calls onHello with the peer's answer.
func NewLinks(cfg Config, self func() message.Hello, onHello func(address string, h message.Hello)) *Links {
	return &Links{cfg: cfg.withDefaults(), self: self, onHello: onHello, links: make(map[string]*link)}
}

// SetPeers sets the addresses of the wanted peers. Links to new addresses are dialled and kept
// open until a later SetPeers omits them.
func (l *Links) SetPeers(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	for address, lk := range l.links {
		if !slices.Contains(addresses, address) {
			lk.stop()
			delete(l.links, address)
			l.removedBytesIn += lk.meter.in.Load()
			l.removedBytesOut += lk.meter.out.Load()
		}
	}
	for _, address := range addresses {
		if l.links[address] == nil {
			l.links[address] = startLink(l, address)
		}
	}
	l.pingPeriod.Store(int64(l.cfg.pingPeriod(len(l.links))))
}

// Deliver hands an update to a link and never blocks. At most one update waits for each peer, and
// a newer one replaces it. The function done is called exactly once. The receipt is acked if the
// peer accepted the update, and not if the update was replaced, the link was down, or the link
// broke before the answer.
//
// If the link is known to be down, done is called before Deliver returns. If a newer update
// replaces this one, done is called during the newer call of Deliver. Otherwise it is called on
// the link's goroutine, which waits for it. The update's slices must not change before done is
// called.
func (l *Links) Deliver(address string, u message.Update, done func(message.Receipt)) {
	lk := l.find(address)
	if lk == nil || !lk.enqueue(u, done) {
		done(message.Receipt{})
	}
}

// Fetch requests a published value from a peer.
func (l *Links) Fetch(ctx context.Context, address string, f message.Fetch) (message.Document, error) {
	reply := new(wire.FetchReply)
	if err := l.call(ctx, address, wire.MethodFetch, &f, reply); err != nil {
		return message.Document{}, err
	}
	return reply.Document, reply.Refusal.Err()
}

// Handover sends a part of a sealed idempotency table to a peer.
func (l *Links) Handover(ctx context.Context, address string, h message.Handover) (message.Ack, error) {
	reply := new(wire.AckReply)
	if err := l.call(ctx, address, wire.MethodHandover, &h, reply); err != nil {
		return message.Ack{}, err
	}
	return reply.Ack, reply.Refusal.Err()
}

func (l *Links) call(ctx context.Context, address string, m wire.Method, args, reply any) error {
	lk := l.find(address)
	if lk == nil {
		return fault.New(fault.PeerDown, "name the peer in SetPeers first", "there is no link to %s", address)
	}
	return lk.call(ctx, m, args, reply)
}

func (l *Links) find(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[address]
}

// Close closes all links and waits for their goroutines.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	links := l.links
	l.links = make(map[string]*link)
	l.mu.Unlock()
	for _, lk := range links {
		lk.stop()
	}
	for _, lk := range links {
		<-lk.done
	}
}

// Traffic returns the bytes of the TCP streams of all links so far, removed links included.
func (l *Links) Traffic() (in, out uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, out = l.removedBytesIn, l.removedBytesOut
	for _, lk := range l.links {
		in += lk.meter.in.Load()
		out += lk.meter.out.Load()
	}
	return in, out
}

// LinkState is the state of a link.
type LinkState string

// The states of a link.
const (
	LinkDialing LinkState = "dialing"
	LinkOpen    LinkState = "open"
	LinkWaiting LinkState = "waiting" // waits for the back-off after a failure
	linkStopped LinkState = "stopped" // no longer wanted
)

// LinkStats describes one link.
type LinkStats struct {
	Address string
	State   LinkState
	// Peer is the last answer to a Hello; zero before the first one.
	Peer message.Hello
	// BytesIn and BytesOut count the bytes of the TCP streams.
	BytesIn, BytesOut uint64
	// Messages counts updates that the peer accepted, Dropped those that it did not accept, and
	// Opened how often the link was opened.
	Messages, Dropped, Opened uint64
	// Heard is the time of the last answer of the peer; zero before the first one.
	Heard time.Time
	// RTT is the round-trip time of the last successful call.
	RTT time.Duration
	// LastError describes the last failure; empty if there was none.
	LastError string
}

// Stats describes all links, sorted by address.
func (l *Links) Stats() []LinkStats {
	l.mu.Lock()
	links := make([]*link, 0, len(l.links))
	for _, lk := range l.links {
		links = append(links, lk)
	}
	l.mu.Unlock()
	slices.SortFunc(links, func(a, b *link) int { return strings.Compare(a.address, b.address) })
	stats := make([]LinkStats, len(links))
	for i, lk := range links {
		stats[i] = lk.snapshot()
	}
	return stats
}
