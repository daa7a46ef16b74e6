package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/platform"
)

// handoverBytes bounds a message of a hand-over beside one largest kept answer,
// whose coding adds to its size.
const handoverBytes = 256 << 10

// buildPeers builds the server for peers and the links to them.
func (e *Entry) buildPeers() {
	cfg := peer.Config{
		Heartbeat:      e.settings.Peers.Heartbeat.Duration,
		CallTimeout:    e.settings.Peers.CallTimeout.Duration,
		BytesPerSecond: e.settings.Peers.BytesPerSecond,
		Connections:    e.settings.Peers.Connections,
		HandoverBytes:  handoverBytes + 2*e.settings.Limits.KeyAnswerBytes,
		ServerTLS:      e.options.TLS.PeerServer,
		ClientTLS:      e.options.TLS.PeerClient,
	}
	e.peerServer = peer.NewServer(cfg, (*peerHandler)(e))
	e.links = peer.NewLinks(cfg, func() message.Hello { return e.hello }, func(_ string, h message.Hello) { e.introduce(h) })
}

// introduce tells the core who is at the other end of a link.
func (e *Entry) introduce(h message.Hello) {
	if h.Incarnation == e.hello.Incarnation {
		return
	}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { c.Introduce(now, h, out) })
}

// wantedLinks are the addresses that links are held with, as of one version of
// the core's members.
type wantedLinks struct {
	version   uint64
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
	var wanted []string
	unchanged := false
	e.engine.view(func(_ time.Duration, c *core.Core) {
		version := c.MembersVersion()
		if unchanged = set.addresses != nil && version == set.version; !unchanged {
			set.version, wanted = version, c.PeerAddresses(nil)
		}
	})
	if unchanged {
		return
	}
	wanted = append(wanted, e.settings.Peers.Seeds...)
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
	return e.hello, nil
}

// Update implements peer.Handler.
func (h *peerHandler) Update(u message.Update) (message.Ack, error) {
	e := (*Entry)(h)
	known := false
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) { known = c.PeerUpdate(now, &u, out) })
	if !known {
		return message.Ack{Reason: "say hello first"}, nil
	}
	return message.Ack{Accepted: true}, nil
}

// Fetch implements peer.Handler.
func (h *peerHandler) Fetch(f message.Fetch) (message.Document, error) {
	v := (*Entry)(h).documents.get(f.Name)
	if v.Revision == 0 {
		return message.Document{}, fault.New(fault.NotFound, "ask another peer or the platform", "no revision of %s is in force here", f.Name)
	}
	d := message.Document{Name: v.Name, Revision: v.Revision}
	if v.Revision > f.After {
		d.Data = v.Data
	}
	return d, nil
}

// fetchFromPeer gets a published value from a peer.
func (e *Entry) fetchFromPeer(ctx context.Context, f core.FetchFrom) bool {
	d, err := e.links.Fetch(ctx, f.Address, message.Fetch{Name: f.Name, After: f.After})
	if err != nil {
		klog.V(1).InfoS("a peer gave no value", "peer", f.Address, "value", f.Name, "err", err)
		return fault.KindOf(err) == fault.NotFound
	}
	if len(d.Data) > 0 {
		e.offer(platform.Value{Name: d.Name, Revision: d.Revision, Data: d.Data}, f.Source)
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
