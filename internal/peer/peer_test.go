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
	handler := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, handler, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		first := message.Update{From: 1, Sequence: 1, State: message.EntryServing, Epoch: 3,
			Profiles: message.Mark{Revision: 4, Digest: 5}, VMs: message.Mark{Revision: 6, Digest: 7}, Reader: true, Rate: 8,
			Evidence:    []message.Evidence{{VM: "vm-1", Incarnation: 9, Kind: message.EvidenceLeaving, AgeMillis: 10}},
			LoadReports: []message.LoadReport{{Endpoint: "live-1", Incarnation: 11, InFlight: 2, Own: 1, AgeMillis: 12}}}
		second := first // the same marks and endpoint, which the packed update omits
		second.Sequence, second.Evidence = 2, nil
		for _, u := range []message.Update{first, second} {
			var acked atomic.Bool
			p.links.Deliver(peerAddress, u, func(r message.Receipt) { acked.Store(r.Acked) })
			advance(time.Second)
			if !acked.Load() {
				t.Errorf("update %d was not acked", u.Sequence)
			}
		}
		if diff := cmp.Diff([]message.Update{first, second}, handler.received()); diff != "" {
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
		{"newer client that supports the old version", message.Hello{Name: "a", Version: 9, MinVersion: 1}, helloOf("b", 2), nil, true, ""},
		{"newer client without the old version", message.Hello{Name: "a", Version: 9, MinVersion: 8}, helloOf("b", 2), nil, false, "upgrade this entry"},
		{"older client", message.Hello{Name: "a"}, helloOf("b", 2), nil, false, "upgrade entry a"},
		{"newer server", helloOf("a", 1), message.Hello{Name: "b", Version: 9, MinVersion: 8}, nil, false, "upgrade this entry"},
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
					t.Errorf("error %q does not contain %q", stats.LastError, c.reason)
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
		{"unknown address", "10.0.0.9:1", nil, 0, fault.PeerDown, "name the peer in SetPeers first"},
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

// Guards against an entry that keeps using load reports of a peer that it can no longer reach. A
// network device has lost the state of the open connection: sent bytes are neither refused nor
// delivered, while a new connection works.
func TestSilentLinkIsReplaced(t *testing.T) {
	cfg := Config{Heartbeat: time.Second, CallTimeout: 3 * time.Second}
	handler := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, handler, cfg, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.silenceAll()
		// The ping times out, and the link opens again after the back-off.
		advance(cfg.Heartbeat + cfg.CallTimeout + defaultBackoffMin)
		stats := p.links.Stats()[0]
		if stats.State != LinkOpen || stats.Opened != 2 {
			t.Fatalf("stats after the connection went silent: %+v", stats)
		}
		if acked := p.deliver(message.Update{Sequence: 7}); !acked || handler.received()[0].Sequence != 7 {
			t.Errorf("acked %v, received %v", acked, handler.received())
		}
		if open := p.server.Stats().Connections; open != 1 {
			t.Errorf("the server has %d connections, want 1", open)
		}
	})
}

// deliver returns whether the update was acked; false if done was not called in time.
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

// A sender regards evidence in an acked update as known to the peer. Guards against acks that are
// reported too early: the evidence that a VM is leaving would never be sent again, and the VM
// would keep getting requests.
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

// An update waits while the link is dialling. If a newer update replaces it, its sender is
// notified, and the newer one arrives with ages that include the waiting time.
func TestUpdateWaitsWhileLinkDials(t *testing.T) {
	handler := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, handler, Config{BackoffMax: defaultBackoffMin}, helloOf("a", 1), func(t *testing.T, p *pair) {
		p.net.setDialDelay(2 * time.Second)
		p.net.silenceAll()
		advance(5 * time.Second) // the ping has timed out and the next dial has begun
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
		got := handler.received()[0]
		if age := got.Evidence[0].AgeMillis; age < 70_500 || age > 72_000 || got.LoadReports[0].AgeMillis != 65_535 {
			t.Errorf("received %+v", got)
		}
	})
}

// A peer is down for a minute. The delays between dials must grow and stay bounded.
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
			t.Errorf("the delay between the last dials is %s", last)
		}
		p.net.setDown(false)
		advance(defaultBackoffMax)
		if stats := p.links.Stats()[0]; stats.State != LinkOpen {
			t.Errorf("stats %+v", stats)
		}
	})
}

// All entries lose power together, and one of them starts a little later than the others. SYNs to
// it are lost until then. Guards against dials that wait for the kernel to retransmit a SYN after
// a whole second, and against frequent dials to a peer that stays down.
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
			t.Errorf("%v after the peer started: %+v", repeatDialInterval, stats)
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
		var receipts []bool // complete when Deliver returns
		p.links.Deliver(peerAddress, message.Update{}, func(r message.Receipt) { receipts = append(receipts, r.Acked) })
		if len(receipts) != 1 || receipts[0] {
			t.Errorf("receipts of an update for an unwanted address: %v", receipts)
		}
	})
}

func TestCallEndsWithItsContext(t *testing.T) {
	handler := &recordingHandler{hello: helloOf("b", 2)}
	withPair(t, handler, Config{}, helloOf("a", 1), func(t *testing.T, p *pair) {
		release := make(chan struct{})
		handler.fetch = func(message.Fetch) (message.Document, error) {
			<-release
			return message.Document{}, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := p.links.Fetch(ctx, peerAddress, message.Fetch{})
		if !errors.Is(err, context.DeadlineExceeded) || p.links.Stats()[0].State != LinkOpen {
			t.Errorf("call with a short context: %v, %+v", err, p.links.Stats()[0])
		}
		_, err = p.links.Fetch(context.Background(), peerAddress, message.Fetch{})
		if fault.KindOf(err) != fault.PeerDown {
			t.Errorf("call without an answer: %v", err)
		}
		close(release)
	})
}
