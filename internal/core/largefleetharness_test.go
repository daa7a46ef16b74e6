package core

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
)

// Time that a simulated entry needs for an event with a whole core. The times are longer than a
// daemon needs for a message and its wake-up, and eight times as long as both ends need for a hello
// (see the benchmarks of package peer). An entry with a share of a core takes longer in proportion,
// and later events wait.
const (
	tickCost    = 100 * time.Microsecond
	messageCost = 250 * time.Microsecond
	recordCost  = 10 * time.Microsecond
	dialCost    = 250 * time.Microsecond
)

// largeFleet simulates hundreds of cores on VMs with a share of a core each, with seeds and with
// the links that the cores ask for. Time is simulated, so that results do not depend on the
// machine.
type largeFleet struct {
	testing.TB
	now       time.Duration
	events    events
	order     uint64
	vms       []*largeEntry // by VM; the latest process of each
	byAddress map[string]*largeEntry
	rng       *rand.Rand
	// cut reports whether all messages from one VM to another are dropped.
	cut func(from, to int) bool
	// cpuShare returns the share of a core that a VM has.
	cpuShare func(vm int) float64
	// linkRate returns the bytes per second of a VM's link, in each direction.
	linkRate func(vm int) float64
	// config is the configuration of the configuration service, nil for none.
	config *largeConfig
	// sizes holds the size of each revision of the configuration.
	sizes map[uint64]int
}

// largeEntry is one process of an entry.
type largeEntry struct {
	*Core
	vm             int
	hello          message.Hello
	startedAt      time.Duration
	dead           bool
	frozenUntil    time.Duration   // end of the time in which the process is suspended
	busyUntil      time.Duration   // end of the work on earlier events
	knownAddresses map[string]bool // all peer addresses known so far, and those of the seeds
	linked         map[string]bool // by peer address; false while the address is being dialed
	linksVersion   uint64
	redialAt       time.Duration
	bytes          int // sent in updates and pulls, approximately
	notes          []Note
	config         *largeConfig      // the latest one that peers can fetch
	packedFor      map[uint64]uint64 // the revision that is packed for peers with a revision
	turns          *assign.Turns
	readAt         time.Duration // time of the next read of the configuration service
	linkFreeAt     time.Duration // end of the transfers that this entry has begun
	receivedAt     time.Duration // end of the transfers to this entry
	readsUntil     time.Duration // end of the answer of the configuration service
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	largeLag    = 2 * time.Millisecond
	largeTick   = 50 * time.Millisecond
	callTimeout = time.Second
	redialDelay = 300 * time.Millisecond
	// largeStartDelay is about the mean of what entries wait for peers before they read by themselves.
	largeStartDelay = 300 * time.Millisecond
)

// newLargeFleet starts n entries within 0.3 s; the first three are the seeds of all entries.
func newLargeFleet(t testing.TB, n int) *largeFleet {
	f := &largeFleet{TB: t, byAddress: map[string]*largeEntry{}, sizes: map[uint64]int{}, rng: rand.New(rand.NewPCG(7, uint64(n))), vms: make([]*largeEntry, n)}
	f.cut = func(int, int) bool { return false }
	f.cpuShare = func(vm int) float64 { return []float64{0.16, 0.32, 0.8}[vm%3] }
	f.linkRate = linkBytesPerSecond
	for vm := range n {
		f.post(time.Duration(f.rng.IntN(300))*ms, func() { f.start(vm) })
	}
	return f
}

func (f *largeFleet) post(after time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{f.now + after, f.order, run})
}

func (f *largeFleet) run(d time.Duration) {
	for end := f.now + d; ; {
		if len(f.events) == 0 || f.events[0].at > end {
			f.now = end
			return
		}
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
}

func peerAddressAt(vm int) string { return fmt.Sprintf("10.0.%d.%d:81", vm/200, vm%200) }

// start starts a process on a VM and kills the process that ran there.
func (f *largeFleet) start(vm int) {
	incarnation := uint64(f.now/ms)<<20 + uint64(vm) + 1
	h := message.Hello{Name: fmt.Sprintf("entry-%03d", vm), Incarnation: incarnation, Region: "r", Domain: fmt.Sprint("d", vm%5),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:80", vm/200, vm%200), PeerAddress: peerAddressAt(vm), Capacity: uint32(1000 * f.cpuShare(vm))}
	config := DefaultConfig(h)
	config.StartFetchDelay = largeStartDelay
	e := &largeEntry{Core: New(config, rand.New(rand.NewPCG(1, incarnation))), vm: vm, hello: h, startedAt: f.now,
		knownAddresses: map[string]bool{}, linked: map[string]bool{}, packedFor: map[uint64]uint64{}, turns: assign.NewTurns(linkShareOfTurns * f.linkRate(vm))}
	for seed := range 3 {
		e.knownAddresses[peerAddressAt(seed)] = true
	}
	if f.vms[vm] != nil {
		f.vms[vm].dead = true
	}
	f.vms[vm], f.byAddress[h.PeerAddress] = e, e
	e.state = message.EntryServing
	f.tick(e)
}

// killMany kills 55 of 100 entries, which restart 0.5 to 0.8 s later.
func (f *largeFleet) killMany() {
	for vm, e := range f.vms {
		if vm%20 < 11 {
			e.dead = true
			f.post(500*ms+time.Duration(f.rng.IntN(300))*ms, func() { f.start(vm) })
		}
	}
}

// schedule runs a function on an entry once the entry has finished its earlier events.
func (f *largeFleet) schedule(e *largeEntry, cost time.Duration, run func()) {
	if e.dead {
		return
	}
	begin := max(f.now, e.busyUntil, e.frozenUntil)
	e.busyUntil = begin + time.Duration(float64(cost)/f.cpuShare(e.vm))
	f.post(e.busyUntil-f.now, func() {
		switch {
		case e.dead:
		case f.now < e.frozenUntil:
			f.schedule(e, 0, run)
		default:
			run()
		}
	})
}

// timeSlice is how long the Go scheduler lets a goroutine run before others get their turn.
const timeSlice = 10 * time.Millisecond

// work runs a function on an entry after long work, which leaves other events their turns.
func (f *largeFleet) work(e *largeEntry, cost time.Duration, run func()) {
	slice := time.Duration(float64(timeSlice) * f.cpuShare(e.vm))
	if cost <= slice {
		f.schedule(e, cost, run)
		return
	}
	f.schedule(e, slice, func() { f.work(e, cost-slice, run) })
}

func (f *largeFleet) tick(e *largeEntry) {
	f.schedule(e, tickCost, func() {
		f.do(e, func(now time.Duration, out *Actions) { e.Tick(now, time.Time{}.Add(f.now), out) })
		f.updateLinks(e)
		f.readConfig(e)
		if p, due := e.PullDue(f.now - e.startedAt); due {
			f.pull(e, p)
		}
		f.post(largeTick, func() { f.tick(e) })
	})
}

func (f *largeFleet) do(e *largeEntry, run func(now time.Duration, out *Actions)) {
	var out Actions
	run(f.now-e.startedAt, &out)
	e.notes = append(e.notes, out.Notes...)
	for _, u := range out.Updates {
		f.send(e, u)
	}
	for _, get := range out.Fetches {
		f.fetch(e, get)
	}
}

func (f *largeFleet) reaches(from *largeEntry, to *largeEntry) bool {
	return to != nil && !to.dead && !f.cut(from.vm, to.vm)
}

// updateLinks drops the links that the entry no longer wants and dials the ones that it lacks.
func (f *largeFleet) updateLinks(e *largeEntry) {
	starting := f.now-e.startedAt < 3*sec || !e.KnowsOthers()
	if version := e.LinksVersion(); version != e.linksVersion || f.now >= e.redialAt {
		e.linksVersion, e.redialAt = version, f.now+redialDelay
		wanted := map[string]bool{}
		for _, address := range e.LinkAddresses(nil) {
			wanted[address] = true
		}
		known := map[string]bool{}
		for _, address := range e.PeerAddresses(nil) {
			known[address], e.knownAddresses[address] = true, true
		}
		for address := range e.knownAddresses {
			if !known[address] && (starting || e.DialsLost(address)) {
				wanted[address] = true
			}
		}
		delete(wanted, e.hello.PeerAddress)
		for address := range e.linked {
			if !wanted[address] {
				delete(e.linked, address)
			}
		}
		for _, address := range slices.Sorted(maps.Keys(wanted)) {
			if _, there := e.linked[address]; !there {
				f.dial(e, address)
			}
		}
	}
}

// dial opens a link to an address, and tries again later if that fails.
func (f *largeFleet) dial(e *largeEntry, address string) {
	e.linked[address] = false
	to := f.byAddress[address]
	f.schedule(e, dialCost, func() {
		if !f.reaches(e, to) || !f.reaches(to, e) || to.frozenUntil > f.now {
			f.post(redialDelay, func() { delete(e.linked, address) })
			return
		}
		f.post(largeLag, func() { f.exchangeHellos(e, to) })
	})
}

// exchangeHellos exchanges the first messages of a link.
func (f *largeFleet) exchangeHellos(e, to *largeEntry) {
	h := e.hello
	h.Status, h.Records = e.OwnStatus(), e.RecordSet()
	f.schedule(to, dialCost, func() {
		f.do(to, func(now time.Duration, out *Actions) { to.HelloReceived(now, h, out) })
		answer := to.hello
		answer.Status, answer.Records = to.OwnStatus(), to.RecordSet()
		f.post(largeLag, func() {
			f.schedule(e, messageCost, func() {
				e.linked[answer.PeerAddress] = true
				f.do(e, func(now time.Duration, out *Actions) { e.HelloAnswered(now, answer, out) })
			})
		})
	})
}

func (f *largeFleet) send(e *largeEntry, u Outgoing) {
	to := f.byAddress[u.Address]
	lost := func() {
		f.post(callTimeout, func() {
			delete(e.linked, u.Address)
			f.schedule(e, 0, func() { e.UpdateDone(f.now-e.startedAt, u.To, u.Update.Sequence, message.Receipt{}) })
		})
	}
	if !e.linked[u.Address] {
		f.post(ms, func() {
			f.schedule(e, 0, func() { e.UpdateDone(f.now-e.startedAt, u.To, u.Update.Sequence, message.Receipt{}) })
		})
		return
	}
	e.bytes += 260 + 90*len(u.Update.Records) + 45*len(u.Update.Evidence)
	if !f.reaches(e, to) {
		lost()
		return
	}
	sent := f.now
	f.post(largeLag, func() {
		f.schedule(to, messageCost+time.Duration(len(u.Update.Records))*recordCost, func() {
			known := false
			f.do(to, func(now time.Duration, out *Actions) { known = to.PeerUpdate(now, &u.Update, out) })
			receipt := message.Receipt{Acked: known, EvidenceDigest: to.OwnEvidenceDigest(), RecordDigest: to.RecordSet().Digest}
			if !known {
				delete(e.linked, u.Address)
			}
			if !f.reaches(to, e) || f.now-sent > callTimeout {
				lost()
				return
			}
			f.post(largeLag, func() {
				f.schedule(e, messageCost/2, func() { e.UpdateDone(f.now-e.startedAt, u.To, u.Update.Sequence, receipt) })
			})
		})
	})
}

func (f *largeFleet) pull(e *largeEntry, p Pull) {
	to := f.byAddress[p.Address]
	done := func(records []message.Record, answered bool) {
		f.schedule(e, messageCost+time.Duration(len(records))*recordCost, func() {
			e.bytes += 90*len(records) + 5*len(p.Marks)
			f.do(e, func(now time.Duration, out *Actions) { e.PullDone(now, p, records, answered, out) })
		})
	}
	if !e.linked[p.Address] || !f.reaches(e, to) || !f.reaches(to, e) {
		f.post(callTimeout, func() { done(nil, false) })
		return
	}
	f.post(largeLag, func() {
		f.schedule(to, messageCost, func() {
			records := to.UnmarkedRecords(p.Marks)
			slices.SortFunc(records, func(a, b message.Record) int { return cmp.Compare(a.Name, b.Name) })
			f.post(largeLag, func() { done(records, true) })
		})
	})
}

// until runs the fleet until ok holds for all running entries, and returns how long that took, at
// most limit.
func (f *largeFleet) until(limit time.Duration, ok func(e *largeEntry) bool) time.Duration {
	began := f.now
	for f.now-began < limit {
		done := true
		for _, e := range f.vms {
			done = done && (e == nil || e.dead || ok(e))
		}
		if done {
			break
		}
		f.run(20 * ms)
	}
	return f.now - began
}

// countUsable counts the entries that this entry considers usable, itself included.
func (e *largeEntry) countUsable() int {
	n := 0
	for i := range e.fleet.entries {
		if e.fleet.entries[i].Usable() || e.fleet.entries[i].VM.Incarnation == e.hello.Incarnation {
			n++
		}
	}
	return n
}

// entryOn returns this entry's knowledge of the entry on a VM, or nil.
func (e *largeEntry) entryOn(vm int) *member.Entry {
	for i := range e.fleet.entries {
		if e.fleet.entries[i].VM.Name == fmt.Sprintf("entry-%03d", vm) {
			return &e.fleet.entries[i]
		}
	}
	return nil
}
