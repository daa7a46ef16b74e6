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
	timeout = time.Second // until a lost message is noticed
)

// delivery is a message on its way, or the sender's timeout for a lost one.
type delivery struct {
	at       time.Duration
	from, to uint64
	update   message.Update
	lost     bool
}

// fleet connects schedulers and passes messages between them.
type fleet struct {
	now   time.Duration
	ids   []uint64
	nodes map[uint64]*Scheduler
	// cut reports whether a message between two entries is lost.
	cut      func(from, to uint64) bool
	pending  []delivery
	sent     map[uint64]int
	lastSent map[[2]uint64]time.Duration
	worstGap time.Duration
	// onSend, if not nil, is called for each message sent.
	onSend func(from, to uint64, u *message.Update)
	// withoutReports makes the entries send no load reports.
	withoutReports bool
}

// domainOf returns the failure domain of an entry, one of five.
func domainOf(id uint64) string { return fmt.Sprint("d", id%5) }

// newFleet creates n entries spread evenly over regions; entry i is in region i mod regions.
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

// untilAllHave returns how long it takes until all entries for which want is true have count pieces
// of evidence, or math.MaxInt64 if that takes longer than limit.
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

// Guards against an entry that sends requests to an endpoint more than 3 s after the endpoint
// reported that it is leaving, because evidence did not reach the entry. Each case gives one entry
// the evidence while the fleet is impaired, and bounds the time until the other entries have it:
// evidence takes at most log2(n) steps through fingers, each one tick and one transit, and a finger
// that does not answer costs a detour.
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
		{"messages to higher IDs at an even distance are lost", 30, 1, 1, func(from, to uint64) bool { return from < to && (to-from)%2 == 0 }, all, 1500 * time.Millisecond},
		{"a failure domain is silent", 60, 1, 1, func(from, to uint64) bool { return from%5 == 1 || to%5 == 1 },
			func(id uint64) bool { return id%5 != 1 }, 1500 * time.Millisecond},
		{"70 endpoints leave at once", 60, 1, 70, nil, all, 3 * time.Second},
		{"the two halves cannot reach each other", 30, 1, 1, func(from, to uint64) bool { return from%2 != to%2 }, odd, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.n, c.regions)
			f.run(10 * time.Second)
			if c.cut != nil {
				f.cut = c.cut
			}
			f.nodes[f.ids[c.n-1]].Spread(f.now, evidence(c.pieces)) // an entry with an odd ID
			took := f.untilAllHave(c.pieces, 20*time.Second, c.want)
			t.Logf("all entries have the evidence after %v", took)
			if took > c.within {
				t.Errorf("want at most %v", c.within)
			}
		})
	}
}

// Guards against callers that are directed to too few entries after all entries start together
// following a power loss: an entry that is asked answers with the entries that it knows to be
// serving. All entries learn at once that an entry begins to serve, not with its next heartbeats,
// and each of them receives the record about once.
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
		stored := f.nodes[id].records.byName["entry-3"]
		return stored != nil && stored.record.State == message.EntryServing
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
		t.Errorf("%d entries do not have the record within 50 ms, want at most 4", late)
	}
	f.run(defaultUrgentGap)
	if late := missing(); late > 0 {
		t.Errorf("%d entries do not have the record within %v", late, 50*time.Millisecond+defaultUrgentGap)
	}
	sent := f.sent[starts]
	f.run(200 * time.Millisecond)
	if more := f.sent[starts] - sent; more > 14*heartbeatBytes {
		t.Errorf("the entry sent %d bytes in the following 200 ms", more)
	}
}

// Guards against needless traffic between failure domains, which is expensive for users. A piece of
// evidence that reaches each of 125 entries has to enter four of five domains; with a ring order
// that ignored domains, four of five messages with it went into another domain.
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
		t.Errorf("all entries have the evidence after %v", took)
	}
	f.run(2 * time.Second)
	if t.Logf("sent %d times within a domain, %d times into another domain", near, far); far > near/2 {
		t.Errorf("sent %d times into another domain and %d times within a domain", far, near)
	}
}

// Guards against requests to an endpoint that left while the two halves of the fleet could not
// communicate. The partition lasts a minute; after it heals, links in back-off are retried within 2
// s, and the missed evidence then spreads on the other side as usual.
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
		t.Logf("%d regions: all entries have the evidence %v after the partition", regions, took)
		if took > 3*time.Second {
			t.Error("want at most 3s")
		}
	}
}

// Guards against a healthy entry that peers take for dead because a flood of evidence or load
// reports delays its heartbeats. With every entry short of budget and ten new pieces of evidence
// per second, no pair of entries goes without a message for more than two periods, and no entry
// sends more than its budget.
func TestHeartbeatsContinueUnderEvidenceFlood(t *testing.T) {
	f := newFleet(30, 1)
	for i := range 200 {
		e := evidence(1)
		e[0].Incarnation = uint64(i + 1)
		f.nodes[f.ids[i%30]].Spread(f.now, e)
		f.run(100 * time.Millisecond)
	}
	if limit := 2*f.nodes[f.ids[0]].period(&peer{kind: linkMesh}) + step; f.worstGap > limit {
		t.Errorf("a pair of entries went %v without a message, want at most %v", f.worstGap, limit)
	}
	for id, sent := range f.sent {
		if most := defaultBytesPerSecond * (f.now.Seconds() + burstSeconds); float64(sent) > most {
			t.Errorf("entry %d sent %d bytes, want at most %.0f", id, sent, most)
		}
	}
}

// Guards against evidence that is sent to an entry that has it from another entry: once the fleet
// is calm no evidence is pending.
func TestKnownEvidenceIsNotResent(t *testing.T) {
	f := newFleet(30, 1)
	f.nodes[f.ids[0]].Spread(0, evidence(20))
	f.run(20 * time.Second)
	for _, id := range f.ids {
		for _, p := range f.nodes[id].peers {
			if p.pending != 0 {
				t.Fatalf("entry %d still has %d pieces of evidence pending for %d", id, p.pending, p.incarnation)
			}
		}
	}
}

// Guards against control traffic that takes bandwidth from callers and endpoints. For any peers,
// evidence, load reports and losses in any order, what is sent in any span of time stays within the
// budget for that span plus the burst.
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
				s.Spread(now, evidence(rapid.IntRange(1, 200).Draw(rt, "evidence")))
			case 2:
				s.SetState(State{Profiles: message.Mark{Revision: uint64(now)}})
			}
			reports := make([]message.LoadReport, rapid.IntRange(0, 100).Draw(rt, "reports"))
			for i := range reports {
				reports[i] = message.LoadReport{Endpoint: fmt.Sprint("endpoint", i), InFlight: uint16(now / time.Millisecond)}
			}
			for _, to := range s.Due(now, nil) {
				if u, ok := s.Compose(now, to, reports); ok {
					sent = append(sent, sending{now, Size(&u)})
					s.Done(now, to, u.Sequence, message.Receipt{Acked: rapid.Bool().Draw(rt, "acked"), EvidenceDigest: rapid.Uint64().Draw(rt, "digest")})
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

// Guards against size estimates that are too low, which would make the budget too large: on a link
// in use the encoder must never need more than Size returns, and the first message no more than
// firstUseBytes adds.
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
		_ = encoder.Encode(packer.Pack(message.Update{})) // gob sends the types once per link
		for round, extra := range []int{p.firstUseBytes(&u), 0} {
			u.EvidenceDigest ^= math.MaxUint64 // the digest of the evidence may change in any message
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
