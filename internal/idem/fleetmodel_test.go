package idem

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// callerRequest identifies a caller's request.
type callerRequest struct {
	key    Key
	caller uint64
	digest Digest
}

// job is a request in an entry after the decision Run. It stays in the list after it has ended,
// because a late timer may still refer to it.
type job struct {
	id   callerRequest
	sent bool
}

type modelEntry struct {
	*Table
	started               time.Duration
	down, paused, leaving bool
	jobs                  []*job
}

// modelMessage is a message in flight to an entry, or to an endpoint if to is nil.
type modelMessage struct {
	to      *modelEntry
	deliver func()
}

// fleetModel is a model of entries, endpoints and callers. pick returns a number from 0 to n-1 and
// is the only source of randomness. fault names the injected fault, if any, and violation is the
// first violated guarantee.
type fleetModel struct {
	pick            func(n int) int
	fault           string
	violation       string
	now             time.Duration
	entries         [3]*modelEntry
	messages        []modelMessage
	requests        []callerRequest
	ran             map[Key]callerRequest
	notRun          map[callerRequest]bool
	lastIncarnation uint64
}

// runModel runs a new model for the given number of steps and returns the first violated guarantee.
func runModel(pick func(n int) int, fault string, steps int) string {
	f := &fleetModel{pick: pick, fault: fault, ran: map[Key]callerRequest{}, notRun: map[callerRequest]bool{}}
	for i := range f.entries {
		f.replace(i)
	}
	for range steps {
		f.step()
	}
	return f.violation
}

func (f *fleetModel) replace(i int) {
	if f.entries[i] != nil {
		f.entries[i].down = true
	}
	f.lastIncarnation++
	f.entries[i] = &modelEntry{started: f.now, Table: NewTable(Config{Self: f.lastIncarnation, EpochLength: time.Minute,
		KeepEpochs: 2, MaxKeys: 3, MaxAnswerBytes: 300, MaxAnswerTotal: 500, MaxAdopted: 6})}
}

func (f *fleetModel) clock(n *modelEntry) time.Duration { return f.now - n.started }

func (f *fleetModel) post(to *modelEntry, deliver func()) {
	f.messages = append(f.messages, modelMessage{to, deliver})
}

func (f *fleetModel) check(ok bool, format string, args ...any) {
	if !ok && f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

// step runs one random action. Messages may be lost, or stay in flight and arrive late or out of
// order. This also covers partitions.
func (f *fleetModel) step() {
	i := f.pick(len(f.entries))
	n := f.entries[i]
	switch action := f.pick(16); {
	case action < 4:
		f.send(n)
	case action < 11:
		f.deliver()
	case action < 14 && len(n.jobs) > 0 && !n.paused:
		f.wakeJob(n, n.jobs[f.pick(len(n.jobs))])
	case action == 14:
		f.disturb(i)
	case action == 15 && !n.paused:
		f.handOver(i, f.entries[f.pick(len(f.entries))])
	}
	s := n.Stats()
	f.check(s.Keys <= 3 && s.AdoptedKeys <= 6 && s.AnswerBytes <= 500 && s.AnswerBytes >= 0, "bounds exceeded: %+v", s)
}

// send makes a caller send a request, often a retry, to any entry.
func (f *fleetModel) send(n *modelEntry) {
	if len(f.requests) == 0 || f.pick(3) == 0 {
		home := f.entries[f.pick(len(f.entries))]
		k := Key{home.cfg.Self, max(home.Epoch()+1-uint32(f.pick(10)+4)/5, firstEpoch), [16]byte{byte(f.pick(4))}}
		f.requests = append(f.requests, callerRequest{k, uint64(f.pick(3) / 2), Digest{byte(f.pick(3) / 2)}})
	}
	id := f.requests[len(f.requests)-1-f.pick(min(len(f.requests), 8))]
	if f.pick(2) == 0 {
		n = f.homeOf(id)
	}
	f.post(n, func() { f.arrive(n, id, false) })
}

// homeOf returns the home of a request's key if it still runs, or else any entry.
func (f *fleetModel) homeOf(id callerRequest) *modelEntry {
	i := slices.IndexFunc(f.entries[:], func(n *modelEntry) bool { return n.cfg.Self == id.key.Home })
	if i < 0 {
		i = f.pick(len(f.entries))
	}
	return f.entries[i]
}

func (f *fleetModel) arrive(n *modelEntry, id callerRequest, forwarded bool) {
	decision := n.Begin(f.clock(n), id.key, id.caller, id.digest)
	rows := n.rowsOf(id.key.Epoch)
	switch {
	case decision.Kind == Full && f.fault == "forgets keys that it refused for lack of room":
		rows.spent = filter{}
	case decision.Kind == Expired && f.fault == "runs expired keys", decision.Kind == NotHome && f.fault == "runs keys of other homes",
		decision.Kind == OutcomeUnknown && f.fault == "runs unknown keys again":
		f.runAt(n, &job{id: id})
	case decision.Kind == Mismatch && f.fault == "answers other callers" && n.cfg.Self == id.key.Home:
		r := rows.byRandom[id.key.Random]
		decision = r.decision(id.key.Home)
	}
	outcome := decision.Kind.Outcome()
	switch {
	case decision.Kind == Run:
		n.jobs = append(n.jobs, &job{id: id})
	case decision.Kind == NotHome && !forwarded:
		to := f.homeOf(id)
		f.post(to, func() { f.arrive(to, id, true) })
	case outcome == ReplyNotRun:
		f.replyNotRun(id, decision.Kind)
	case outcome == ReplyDone:
		f.check(f.ran[id.key] == id, "replied %v for a request that did not run", decision.Kind)
		f.check(decision.Answer == nil || string(decision.Answer.Body) == fmt.Sprint(id), "replayed another request's answer")
	}
}

func (f *fleetModel) replyNotRun(id callerRequest, kind DecisionKind) {
	f.notRun[id] = true
	f.check(f.ran[id.key] != id, "replied %v for a request that ran", kind)
}

func (f *fleetModel) deliver() {
	if len(f.messages) == 0 {
		return
	}
	i := f.pick(len(f.messages))
	m := f.messages[i]
	if m.to != nil && !m.to.down && m.to.paused {
		return
	}
	f.messages = slices.Delete(f.messages, i, i+1)
	if f.pick(6) > 0 && (m.to == nil || !m.to.down) {
		m.deliver()
	}
}

// wakeJob fires a timer of the job j at n, possibly long after the job has ended.
func (f *fleetModel) wakeJob(n *modelEntry, j *job) {
	k := j.id.key
	switch {
	case j.sent && f.pick(2) == 0:
		n.Finish(k, Unknown, nil)
	case j.sent || !n.MayDispatch(k) && f.fault != "sends after a late wake-up":
	case f.pick(3) > 0:
		j.sent = true
		f.post(nil, func() { f.runAt(n, j) })
	default:
		n.Release(k)
		if f.fault == "forgets released keys" {
			n.rowsOf(k.Epoch).spent = filter{}
		}
		f.replyNotRun(j.id, Spent)
	}
}

// runAt delivers the request of the job j to an endpoint, which runs or refuses it, and sends the
// result back to n.
func (f *fleetModel) runAt(n *modelEntry, j *job) {
	if f.pick(4) == 0 {
		f.post(n, func() { j.sent = false })
		return
	}
	_, again := f.ran[j.id.key]
	f.check(!again, "key ran twice")
	f.check(!f.notRun[j.id], "request ran after its caller was told that it was not run")
	f.ran[j.id.key] = j.id
	f.post(n, func() { n.Finish(j.id.key, Done, &Answer{Body: fmt.Append(nil, j.id)}) })
}

// disturb crashes, suspends or resumes an entry, or advances the time.
func (f *fleetModel) disturb(i int) {
	switch f.pick(6) {
	case 0:
		f.replace(i)
	case 1, 2:
		f.entries[i].paused = !f.entries[i].paused && f.pick(2) == 0
	default:
		f.now += time.Duration(f.pick(70)) * time.Second
	}
}

// handOver seals an entry and sends its keys to another one, whole or in parts that may get lost or
// mix with those of an earlier hand-over. If the entry is already leaving, it may end instead.
func (f *fleetModel) handOver(i int, to *modelEntry) {
	n := f.entries[i]
	if n.leaving && f.pick(2) == 0 {
		f.replace(i)
		return
	}
	if to == n || !n.leaving && f.pick(3) > 0 {
		return
	}
	n.leaving = true
	home, oldest, records := n.cfg.Self, n.OldestEpoch(), n.Export()
	switch f.fault {
	case "exports without a seal":
		n.sealed = false
	case "leaves out running keys":
		records = slices.DeleteFunc(records, func(r Record) bool { return r.Result == Unknown })
	}
	if f.pick(4) == 0 {
		f.post(to, func() { to.Adopt(f.clock(to), home, oldest, records, true) })
	} else {
		f.postParts(to, Adoption{home, oldest, len(records), records})
	}
	for _, a := range n.ExportAdopted() {
		f.postParts(to, a)
	}
}

func (f *fleetModel) postParts(to *modelEntry, a Adoption) {
	switch f.fault {
	case "treats a part as the whole":
		a.Total = 0
	case "ignores dropped epochs":
		a.OldestEpoch = 0
	}
	cut := f.pick(len(a.Records) + 1)
	for _, part := range [][]Record{a.Records[:cut], a.Records[cut:]} {
		f.post(to, func() { to.AdoptPart(f.clock(to), a.Home, a.OldestEpoch, a.Total, part) })
	}
}

// TestFleetModelKeepsGuarantees runs entries, callers and endpoints at random. Callers retry
// requests through other entries while answers are lost and entries crash, are suspended or cut
// off, stop and hand over. No key may run twice, no reply "not run" may be or become false, and no
// answer may reach another request.
func TestFleetModelKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }, "", 300); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestFleetModelDetectsInjectedFaults proves that the model can fail: each injected fault violates
// a guarantee in runs that keep all guarantees without it.
func TestFleetModelDetectsInjectedFaults(t *testing.T) {
	firstViolation := func(fault string) (violation string) {
		for seed := uint64(0); seed < 300 && violation == ""; seed++ {
			violation = runModel(rand.New(rand.NewPCG(seed, 1)).IntN, fault, 1000)
		}
		return violation
	}
	if violation := firstViolation(""); violation != "" {
		t.Fatalf("without a fault: %s", violation)
	}
	for _, fault := range []string{
		"runs expired keys", "runs unknown keys again", "runs keys of other homes", "answers other callers",
		"forgets keys that it refused for lack of room", "forgets released keys", "sends after a late wake-up",
		"exports without a seal", "leaves out running keys", "treats a part as the whole", "ignores dropped epochs",
	} {
		if violation := firstViolation(fault); violation == "" {
			t.Errorf("the model does not detect an entry that %s", fault)
		}
	}
}
