package peer

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

func TestUpdatesArriveUnchanged(t *testing.T) {
	n := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, n, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		first := message.Update{From: 1, Sequence: 1, State: message.EntryServing, Epoch: 3,
			Profiles: message.Mark{Revision: 4, Digest: 5}, VMs: message.Mark{Revision: 6, Digest: 7}, Reader: true, Rate: 8,
			Evidence:    []message.Evidence{{VM: "vm-1", Incarnation: 9, Kind: message.EvidenceLeaving, AgeMillis: 10}},
			LoadReports: []message.LoadReport{{Endpoint: "live-1", Incarnation: 11, InFlight: 2, Own: 1, AgeMillis: 12}}}
		second := first // the same marks and endpoint again, which are not repeated on the wire
		second.Sequence, second.Evidence = 2, nil
		for _, u := range []message.Update{first, second} {
			var acked atomic.Bool
			p.links.Deliver(peerAddress, u, func(r message.Receipt) { acked.Store(r.Acked) })
			advance(time.Second)
			if !acked.Load() {
				t.Errorf("update %d: not accepted", u.Sequence)
			}
		}
		if diff := cmp.Diff([]message.Update{first, second}, n.received()); diff != "" {
			t.Errorf("received (-sent +received):\n%s", diff)
		}
		if stats := p.links.Stats()[0]; stats.State != LinkOpen || stats.Messages != 2 || stats.Peer.Name != "b" {
			t.Errorf("stats: %+v", stats)
		}
	})
}

func TestHello(t *testing.T) {
	cases := []struct {
		name   string
		mine   message.Hello
		theirs message.Hello
		refuse error
		open   bool
		reason string
	}{
		{"same release", helloOf("a", 1), helloOf("b", 2), nil, true, ""},
		{"newer caller that speaks the old version", message.Hello{Name: "a", Version: 9, MinVersion: 1}, helloOf("b", 2), nil, true, ""},
		{"newer caller that does not", message.Hello{Name: "a", Version: 9, MinVersion: 8}, helloOf("b", 2), nil, false, "upgrade this entry"},
		{"older caller", message.Hello{Name: "a"}, helloOf("b", 2), nil, false, "upgrade entry a"},
		{"newer answerer", helloOf("a", 1), message.Hello{Name: "b", Version: 9, MinVersion: 8}, nil, false, "upgrade this entry"},
		{"refused by the handler", helloOf("a", 1), helloOf("b", 2),
			fault.New(fault.BadMessage, "publish it in the list of VMs", "entry a is not known"), false, "publish it in the list of VMs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, &recordingHandler{hello: c.theirs, refuse: c.refuse}, Config{}, c.mine, func(t *testing.T, p *pair) {
				stats := p.links.Stats()[0]
				if open := stats.State == LinkOpen; open != c.open || len(p.hellos) > 0 != c.open {
					t.Errorf("stats %+v, hellos %v", stats, p.hellos)
				}
				if !strings.Contains(stats.LastError, c.reason) {
					t.Errorf("error %q lacks %q", stats.LastError, c.reason)
				}
			})
		})
	}
}

func TestFetch(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 1<<20)
	answer := func(data []byte) func(message.Fetch) (message.Document, error) {
		return func(f message.Fetch) (message.Document, error) {
			return message.Document{Name: f.Name, Revision: f.After + 1, Data: data}, nil
		}
	}
	cases := []struct {
		name    string
		address string
		fetch   func(message.Fetch) (message.Document, error)
		bytes   int
		kind    fault.Kind
		remedy  string
	}{
		{"largest document", peerAddress, answer(large), 1 << 20, "", ""},
		{"too large", peerAddress, answer(append(large, 'x')), 0, fault.BadMessage, "publish a smaller document"},
		{"refused", peerAddress, nil, 0, fault.NotFound, "publish 100 percent of it"},
		{"unknown address", "10.0.0.9:1", nil, 0, fault.PeerDown, "name the peer in Set first"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, &recordingHandler{hello: helloOf("b", 2), fetch: c.fetch}, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
				document, err := p.links.Fetch(context.Background(), c.address, message.Fetch{Name: "profiles", After: 3})
				if fault.KindOf(err) != c.kind || fault.Remedy(err) != c.remedy || len(document.Data) != c.bytes {
					t.Errorf("%d bytes, error %v", len(document.Data), err)
				}
				if stats := p.links.Stats()[0]; stats.Opened != 1 || stats.State != LinkOpen {
					t.Errorf("the link did not stay open: %+v", stats)
				}
			})
		})
	}
}

// A user would see an entry that goes on choosing by figures of a peer that it
// no longer hears. The open connection goes silent: a device between the two
// forgot it, so nothing is refused and nothing arrives. A new connection works.
func TestSilentLinkIsReplaced(t *testing.T) {
	cfg := Config{Heartbeat: time.Second, CallTimeout: 3 * time.Second}
	n := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, n, cfg, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.silenceAll()
		// Noticed by the ping's time-out; opened again after the back-off.
		advance(cfg.Heartbeat + cfg.CallTimeout + defaultBackoffMin)
		stats := p.links.Stats()[0]
		if stats.State != LinkOpen || stats.Opened != 2 {
			t.Fatalf("after the silence: %+v", stats)
		}
		if acked := p.deliver(message.Update{Sequence: 7}); !acked || n.received()[0].Sequence != 7 {
			t.Errorf("acked %v, received %v", acked, n.received())
		}
		if open := p.server.Stats().Connections; open != 1 {
			t.Errorf("the server holds %d connections", open)
		}
	})
}

// deliver returns whether the update was acked, or that nobody said so.
func (p *pair) deliver(u message.Update) bool {
	acked := make(chan bool, 1)
	p.links.Deliver(peerAddress, u, func(r message.Receipt) { acked <- r.Acked })
	advance(defaultCallTimeout)
	select {
	case ok := <-acked:
		return ok
	default:
		return false
	}
}

// A sender counts what it told as known to the peer. If it were told so too
// early, a leaving VM would never be told again and go on getting work.
func TestDeliverReportsWhetherPeerAccepted(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *pair)
		acked bool
		state LinkState
	}{
		{"accepted", func(*pair) {}, true, LinkOpen},
		{"refused by the handler", func(p *pair) { p.handler.refuseUpdates = true }, false, LinkOpen},
		{"connection lost", func(p *pair) { p.net.silenceAll() }, false, LinkWaiting},
		{"peer down", func(p *pair) {
			p.net.setDown(true)
			p.net.silenceAll()
			advance(10 * time.Second)
		}, false, LinkWaiting},
		{"not wanted", func(p *pair) { p.links.SetPeers(nil) }, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, &recordingHandler{hello: helloOf("b", 2)}, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
				c.fault(p)
				if acked := p.deliver(message.Update{Sequence: 1}); acked != c.acked {
					t.Errorf("acked %v", acked)
				}
				if stats := p.links.Stats(); len(stats) > 0 && stats[0].State != c.state {
					t.Errorf("stats %+v", stats[0])
				}
			})
		})
	}
}

// An update waits while the link is dialled. A newer one takes its place, and
// its sender learns that; the newer one arrives with its true age.
func TestUpdateWaitsWhileLinkDials(t *testing.T) {
	n := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, n, Config{BackoffMax: defaultBackoffMin}, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.setDialDelay(2 * time.Second)
		p.net.silenceAll()
		advance(5 * time.Second) // found by the ping; the next dial has begun
		var first, second []bool
		p.links.Deliver(peerAddress, message.Update{Sequence: 1}, func(r message.Receipt) { first = append(first, r.Acked) })
		p.links.Deliver(peerAddress, message.Update{Sequence: 2,
			Evidence:    []message.Evidence{{VM: "vm-1", AgeMillis: 70_000}},
			LoadReports: []message.LoadReport{{Endpoint: "live-1", AgeMillis: 65_000}},
		}, func(r message.Receipt) { second = append(second, r.Acked) })
		advance(2 * time.Second)
		if !cmp.Equal(first, []bool{false}) || !cmp.Equal(second, []bool{true}) {
			t.Fatalf("acked: first %v, second %v", first, second)
		}
		got := n.received()[0]
		if age := got.Evidence[0].AgeMillis; age < 70_500 || age > 72_000 || got.LoadReports[0].AgeMillis != 65_535 {
			t.Errorf("received %+v", got)
		}
	})
}

// A peer is away for a minute: dials are spaced by a growing, bounded back-off.
func TestBackoff(t *testing.T) {
	withPair(t, &recordingHandler{hello: helloOf("b", 2)}, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.setDown(true)
		p.net.silenceAll()
		advance(time.Minute)
		if dials := len(p.net.dials); dials < 12 || dials > 25 {
			t.Errorf("%d dials in a minute", dials)
		}
		last := p.net.dials[len(p.net.dials)-1].Sub(p.net.dials[len(p.net.dials)-2])
		if last > defaultBackoffMax || last < defaultBackoffMax/2 {
			t.Errorf("the last dials are %s apart", last)
		}
		p.net.setDown(false)
		advance(defaultBackoffMax)
		if stats := p.links.Stats()[0]; stats.State != LinkOpen {
			t.Errorf("stats %+v", stats)
		}
	})
}

// All entries lose power together, and the one that the others look for is back a little
// later than they are. Dials to it are lost until then. They are repeated soon, not left
// to the kernel, which repeats a packet after a whole second; a peer that stays away is
// dialled rarely in the end.
func TestQuickDialsAfterPowerLoss(t *testing.T) {
	cfg := Config{BackoffMin: 100 * time.Millisecond}
	withPair(t, &recordingHandler{hello: helloOf("b", 2)}, cfg, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.setUnpowered(true)
		p.links.SetPeers(nil)
		p.links.SetPeers([]string{peerAddress})
		advance(310 * time.Millisecond)
		p.net.setUnpowered(false)
		advance(repeatDialInterval)
		if stats := p.links.Stats()[0]; stats.State != LinkOpen {
			t.Errorf("%v after the peer was back: %+v", repeatDialInterval, stats)
		}
		dialsBefore := len(p.net.dials)
		p.net.setUnpowered(true)
		p.links.SetPeers(nil)
		p.links.SetPeers([]string{peerAddress})
		advance(time.Minute)
		if dials := len(p.net.dials) - dialsBefore; dials > 25 {
			t.Errorf("%d dials in a minute", dials)
		}
	})
}

func TestUnwantedLinkIsClosed(t *testing.T) {
	withPair(t, &recordingHandler{hello: helloOf("b", 2)}, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.links.SetPeers(nil)
		advance(time.Second)
		if open := p.server.Stats().Connections; open != 0 || len(p.links.Stats()) != 0 {
			t.Errorf("%d connections, %d links", open, len(p.links.Stats()))
		}
		var receipts []bool // before Deliver returns
		p.links.Deliver(peerAddress, message.Update{}, func(r message.Receipt) { receipts = append(receipts, r.Acked) })
		if len(receipts) != 1 || receipts[0] {
			t.Errorf("an update for an address that is not wanted: told %v", receipts)
		}
	})
}

func TestCallEndsWithItsContext(t *testing.T) {
	n := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, n, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		release := make(chan struct{})
		n.fetch = func(message.Fetch) (message.Document, error) {
			<-release
			return message.Document{}, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := p.links.Fetch(ctx, peerAddress, message.Fetch{})
		if !errors.Is(err, context.DeadlineExceeded) || p.links.Stats()[0].State != LinkOpen {
			t.Errorf("short context: %v, %+v", err, p.links.Stats()[0])
		}
		_, err = p.links.Fetch(context.Background(), peerAddress, message.Fetch{})
		if fault.KindOf(err) != fault.PeerDown {
			t.Errorf("no answer: %v", err)
		}
		close(release)
	})
}
