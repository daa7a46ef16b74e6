package gossip

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
	"pgregory.net/rapid"
)

const (
	step    = 10 * time.Millisecond
	transit = 10 * time.Millisecond
	timeout = time.Second // a lost message is noticed after this
)

// delivery is a message on its way, or the sender's time-out for a lost one.
type delivery struct {
	at       time.Duration
	from, to uint64
	update   message.Update
	lost     bool
}

// fleet feeds schedulers with each other's messages.
type fleet struct {
	now   time.Duration
	ids   []uint64
	nodes map[uint64]*Scheduler
	// cut says whether a message on the way is lost.
	cut      func(from, to uint64) bool
	pending  []delivery
	sent     map[uint64]int
	lastSent map[[2]uint64]time.Duration
	worstGap time.Duration
	// onSend, if not nil, is told of each message.
	onSend func(from, to uint64, u *message.Update)
	// withoutReports says that the entries tell no loads.
	withoutReports bool
}

// domainOf returns the failure domain of an entry, one of five.
func domainOf(id uint64) string { return fmt.Sprint("d", id%5) }

// newFleet makes n entries spread evenly over regions; entry i is in region
// i mod regions.
func newFleet(n, regions int) *fleet {
	f := &fleet{
		nodes: make(map[uint64]*Scheduler), sent: make(map[uint64]int), lastSent: make(map[[2]uint64]time.Duration),
		cut: func(uint64, uint64) bool { return false },
	}
	var peers []Peer
	for i := range n {
		id := uint64(1000 + i)
		f.ids = append(f.ids, id)
		peers = append(peers, Peer{Incarnation: id, Region: fmt.Sprint("r", i%regions), Domain: domainOf(id), Shares: true})
	}
	for i, id := range f.ids {
		f.nodes[id] = New(Config{Self: id, Region: peers[i].Region, Domain: peers[i].Domain})
		f.nodes[id].SetPeers(0, slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Incarnation == id }))
		f.nodes[id].SetState(State{State: message.EntryServing})
	}
	return f
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += step {
		f.deliver()
		for _, id := range f.ids {
			f.send(id)
		}
	}
}

func (f *fleet) deliver() {
	var later []delivery
	due := f.pending
	f.pending = nil
	for _, d := range due {
		if d.at > f.now {
			later = append(later, d)
			continue
		}
		if !d.lost {
			f.nodes[d.to].Received(f.now, &d.update)
		}
		receipt := message.Receipt{Acked: !d.lost, EvidenceDigest: f.nodes[d.to].Digest(), RecordDigest: f.nodes[d.to].RecordSet().Digest}
		f.nodes[d.from].Done(f.now, d.to, d.update.Sequence, receipt)
	}
	f.pending = append(later, f.pending...)
}

func (f *fleet) send(id uint64) {
	node := f.nodes[id]
	reports := []message.LoadReport{{Endpoint: "endpoint-1", Incarnation: 7, InFlight: uint16(f.now / step)}}
	if f.withoutReports {
		reports = nil
	}
	for _, to := range node.Due(f.now, nil) {
		u, ok := node.Compose(f.now, to, reports)
		if !ok {
			continue
		}
		f.sent[id] += Size(&u)
		if f.onSend != nil {
			f.onSend(id, to, &u)
		}
		f.worstGap = max(f.worstGap, f.now-f.lastSent[[2]uint64{id, to}])
		f.lastSent[[2]uint64{id, to}] = f.now
		d := delivery{at: f.now + transit, from: id, to: to, update: u, lost: f.cut(id, to)}
		if d.lost {
			d.at = f.now + timeout
		}
		f.pending = append(f.pending, d)
	}
}

// untilAllHave returns how long it takes until all entries for which want is true
// hold count pieces of evidence, up to limit.
func (f *fleet) untilAllHave(count int, limit time.Duration, want func(id uint64) bool) time.Duration {
	start := f.now
	for f.now-start < limit {
		missing := slices.ContainsFunc(f.ids, func(id uint64) bool { return want(id) && len(f.nodes[id].log.stored) < count })
		if !missing {
			return f.now - start
		}
		f.run(step)
	}
	return math.MaxInt64
}

func evidence(n int) []message.Evidence {
	var list []message.Evidence
	for i := range n {
		list = append(list, message.Evidence{VM: fmt.Sprintf("endpoint-of-a-pool-%d", i), Incarnation: math.MaxUint64, Kind: message.EvidenceLeaving})
	}
	return list
}

// A user would see work go to an endpoint more than 3 s after it said that it
// leaves, because an entry was not told. Each case gives one entry the evidence
// while the fleet is in some trouble, and bounds the time until the others
// have it: news needs at most log2(n) steps through fingers, each one tick and
// one transit, and a finger that does not answer costs a way round.
func TestEvidenceReachesAllEntries(t *testing.T) {
	all := func(uint64) bool { return true }
	odd := func(id uint64) bool { return id%2 == 1 }
	for _, c := range []struct {
		name       string
		n, regions int
		pieces     int
		cut        func(from, to uint64) bool
		want       func(id uint64) bool
		within     time.Duration
	}{
		{"15 entries in a region", 15, 1, 1, nil, all, 200 * time.Millisecond},
		{"60 entries in a region", 60, 1, 1, nil, all, 300 * time.Millisecond},
		{"60 entries in 3 regions", 60, 3, 1, nil, all, 500 * time.Millisecond},
		{"a third of the entries is silent", 60, 1, 1, func(from, to uint64) bool { return from%3 == 1 || to%3 == 1 },
			func(id uint64) bool { return id%3 != 1 }, 1500 * time.Millisecond},
		{"each entry hears only higher ones", 30, 1, 1, func(from, to uint64) bool { return from < to && (to-from)%2 == 0 }, all, 1500 * time.Millisecond},
		{"a failure domain is silent", 60, 1, 1, func(from, to uint64) bool { return from%5 == 1 || to%5 == 1 },
			func(id uint64) bool { return id%5 != 1 }, 1500 * time.Millisecond},
		{"70 endpoints leave at once", 60, 1, 70, nil, all, 3 * time.Second},
		{"one half hears the other not at all", 30, 1, 1, func(from, to uint64) bool { return from%2 != to%2 }, odd, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.n, c.regions)
			f.run(10 * time.Second)
			if c.cut != nil {
				f.cut = c.cut
			}
			f.nodes[f.ids[c.n-1]].Spread(f.now, evidence(c.pieces)) // an odd one
			took := f.untilAllHave(c.pieces, 20*time.Second, c.want)
			t.Logf("all have it after %v", took)
			if took > c.within {
				t.Errorf("want %v", c.within)
			}
		})
	}
}

// All entries start together after a loss of power, and callers who ask one of them are
// told of those that it knows to serve. That an entry begins to serve is known to all others at
// once, not with its next heartbeats, and is told each of them about once.
func TestServingStateReachesAllEntriesAtOnce(t *testing.T) {
	f := newFleet(15, 1)
	f.withoutReports = true
	starts := f.ids[3]
	announce := func(version uint32, state message.EntryState) {
		f.nodes[starts].Announce(f.now, message.Record{Name: "entry-3", Incarnation: starts, Version: version, State: state})
	}
	announce(1, message.EntryStarting)
	f.run(10 * time.Second)
	serves := func(id uint64) bool {
		h := f.nodes[id].records.byName["entry-3"]
		return h != nil && h.record.State == message.EntryServing
	}
	missing := func() (n int) {
		for _, id := range f.ids {
			if !serves(id) {
				n++
			}
		}
		return n
	}
	announce(2, message.EntryServing)
	f.run(50 * time.Millisecond)
	if late := missing(); late > 4 {
		t.Errorf("%d of 14 do not know it within 50 ms", late)
	}
	f.run(defaultUrgentGap)
	if late := missing(); late > 0 {
		t.Errorf("%d do not know it within %v", late, 50*time.Millisecond+defaultUrgentGap)
	}
	sent := f.sent[starts]
	f.run(200 * time.Millisecond)
	if more := f.sent[starts] - sent; more > 14*heartbeatBytes {
		t.Errorf("%d bytes in the 200 ms after that", more)
	}
}

// Bytes between failure domains are dear to the users. A piece of news that each of 125 entries
// hears has to enter four of five domains; in a ring of any order four of five of its tellings
// went into another domain.
func TestEvidenceMostlyStaysInItsFailureDomain(t *testing.T) {
	f := newFleet(125, 1)
	f.withoutReports = true
	f.run(10 * time.Second)
	near, far := 0, 0
	f.onSend = func(from, to uint64, u *message.Update) {
		if domainOf(from) == domainOf(to) {
			near += len(u.Evidence)
		} else {
			far += len(u.Evidence)
		}
	}
	f.nodes[f.ids[7]].Spread(f.now, evidence(1))
	if took := f.untilAllHave(1, 5*time.Second, func(uint64) bool { return true }); took > 300*time.Millisecond {
		t.Errorf("all have it after %v", took)
	}
	f.run(2 * time.Second)
	if t.Logf("told %d times in its domain, %d times into another one", near, far); far > near/2 {
		t.Errorf("told %d times into another domain and %d times in its own", far, near)
	}
}

// A user on the other side of a partition would see work go to an endpoint
// that left while the halves could not talk. The partition lasts a minute;
// when it heals, links in back-off are tried within 2 s, and what was missed
// then spreads on that side like news.
func TestEvidenceSpreadsAfterPartition(t *testing.T) {
	for _, regions := range []int{1, 3} {
		f := newFleet(30, regions)
		f.run(5 * time.Second)
		group := func(id uint64) bool { return id%3 == 0 }
		f.cut = func(from, to uint64) bool { return group(from) != group(to) }
		f.run(10 * time.Second)
		f.nodes[f.ids[0]].Spread(f.now, evidence(5))
		f.run(time.Minute)
		f.cut = func(uint64, uint64) bool { return false }
		took := f.untilAllHave(5, time.Minute, func(uint64) bool { return true })
		t.Logf("%d regions: all have it %v after the partition", regions, took)
		if took > 3*time.Second {
			t.Error("want 3s")
		}
	}
}

// Peers would take a healthy entry for dead if a flood of news or sightings
// kept its heartbeats back. With every entry short of its bound and ten new
// claims a second, no pair goes without a message for more than two periods,
// and nobody sends more than the bound.
func TestHeartbeatsContinueUnderEvidenceFlood(t *testing.T) {
	f := newFleet(30, 1)
	for i := range 200 {
		e := evidence(1)
		e[0].Incarnation = uint64(i + 1)
		f.nodes[f.ids[i%30]].Spread(f.now, e)
		f.run(100 * time.Millisecond)
	}
	if limit := 2*f.nodes[f.ids[0]].period(&peer{kind: linkMesh}) + step; f.worstGap > limit {
		t.Errorf("a pair went %v without a message, want %v", f.worstGap, limit)
	}
	for id, sent := range f.sent {
		if most := defaultBytesPerSecond * (f.now.Seconds() + burstSeconds); float64(sent) > most {
			t.Errorf("entry %d sent %d bytes, want %.0f", id, sent, most)
		}
	}
}

// Evidence that an entry has from elsewhere is not sent to it again: after the
// fleet has calmed down no message carries any.
func TestKnownEvidenceIsNotResent(t *testing.T) {
	f := newFleet(30, 1)
	f.nodes[f.ids[0]].Spread(0, evidence(20))
	f.run(20 * time.Second)
	for _, id := range f.ids {
		for _, p := range f.nodes[id].peers {
			if p.pending != 0 {
				t.Fatalf("entry %d still owes %d claims to %d", id, p.pending, p.incarnation)
			}
		}
	}
}

// Control traffic would eat into what callers and endpoints share with
// neighbours. Whatever peers, news, sightings and losses come in whatever
// order, any span of time stays within the bound for the span plus the burst.
func TestSendRateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New(Config{Self: 1, Region: "r0", BytesPerSecond: 5000, MessagesPerSecond: 20})
		type sending struct {
			at    time.Duration
			bytes int
		}
		var sent []sending
		var now time.Duration
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				var peers []Peer
				for i := range rapid.IntRange(0, 70).Draw(rt, "peers") {
					peers = append(peers, Peer{Incarnation: uint64(i + 2), Region: fmt.Sprint("r", i%2), Shares: i%3 != 0})
				}
				s.SetPeers(now, peers)
			case 1:
				s.Spread(now, evidence(rapid.IntRange(1, 200).Draw(rt, "claims")))
			case 2:
				s.SetState(State{Profiles: message.Mark{Revision: uint64(now)}})
			}
			reports := make([]message.LoadReport, rapid.IntRange(0, 100).Draw(rt, "sightings"))
			for i := range reports {
				reports[i] = message.LoadReport{Endpoint: fmt.Sprint("endpoint", i), InFlight: uint16(now / time.Millisecond)}
			}
			for _, to := range s.Due(now, nil) {
				if u, ok := s.Compose(now, to, reports); ok {
					sent = append(sent, sending{now, Size(&u)})
					s.Done(now, to, u.Sequence, message.Receipt{Acked: rapid.Bool().Draw(rt, "acked"), EvidenceDigest: rapid.Uint64().Draw(rt, "known")})
				}
			}
		}
		for i := range sent {
			total := 0
			for j := i; j < len(sent); j++ {
				total += sent[j].bytes
				span := (sent[j].at - sent[i].at).Seconds() + burstSeconds
				if float64(total) > 5000*span+1 || float64(j-i+1) > 20*span+1 {
					rt.Fatalf("%d bytes in %d messages in %.2f s", total, j-i+1, span-burstSeconds)
				}
			}
		}
	})
}

// The bound is worth as much as the estimate: on a link in use the encoder must
// never need more than Size says, and the first message no more than firstUseBytes
// adds.
func TestSizeIsUpperBound(t *testing.T) {
	mark := message.Mark{Revision: math.MaxUint64, Digest: math.MaxUint64}
	full := message.Update{
		From: math.MaxUint64, Sequence: math.MaxUint64, State: 3, Epoch: math.MaxUint32,
		Profiles: mark, VMs: mark, Reader: true, Rate: math.MaxUint32, EvidenceDigest: math.MaxUint64,
	}
	for i := range maxLoadReports {
		full.LoadReports = append(full.LoadReports, message.LoadReport{
			Endpoint: fmt.Sprint("endpoint", i), Incarnation: math.MaxUint64,
			InFlight: math.MaxUint16, Own: math.MaxUint16, AgeMillis: math.MaxUint16,
		})
	}
	for range maxEvidence / 3 {
		full.Evidence = append(full.Evidence, message.Evidence{VM: "endpoint", Incarnation: math.MaxUint64, Kind: 3, AgeMillis: math.MaxUint32},
			message.Evidence{VM: "endpoint", Incarnation: math.MaxUint64, Kind: message.EvidenceCrashed, AgeMillis: math.MaxUint32,
				Content: math.MaxUint64, Caller: math.MaxUint64, RanMillis: math.MaxUint32},
			message.Evidence{VM: "limit of endpoint", Incarnation: math.MaxUint64, Kind: message.EvidenceLimit, AgeMillis: math.MaxUint32,
				Limit: message.Limit{Rate: 0.1, Version: math.MaxUint32, Period: math.MaxUint32}})
	}
	bare := message.Update{From: math.MaxUint64, Sequence: math.MaxUint64, EvidenceDigest: 1, Profiles: mark, VMs: mark}
	for _, u := range []message.Update{full, bare} {
		p := &peer{named: make(map[string]uint64)}
		var buffer bytes.Buffer
		var packer wire.Packer
		encoder := gob.NewEncoder(&buffer)
		_ = encoder.Encode(packer.Pack(message.Update{})) // the types go once per link
		for round, extra := range []int{p.firstUseBytes(&u), 0} {
			u.EvidenceDigest ^= math.MaxUint64 // the digest of evidence may always change
			buffer.Reset()
			if err := encoder.Encode(packer.Pack(u)); err != nil {
				t.Fatal(err)
			}
			if got, bound := buffer.Len(), Size(&u)-messageOverhead+extra; got > bound {
				t.Errorf("message %d took %d bytes, bound %d", round+1, got, bound)
			}
		}
	}
}
