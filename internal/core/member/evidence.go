package member

import (
	"fmt"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// ApplyEvidence applies evidence from a peer or from an endpoint's own answer. The evidence is
// final for its incarnation, even if the VM is not known yet.
func (t *Table) ApplyEvidence(now time.Duration, e message.Evidence) []Change {
	if e.VM == "" || e.Incarnation == 0 || !t.recordEvidence(now, e) {
		return nil
	}
	r := t.rowOf(e.VM, e.Incarnation)
	if r == nil {
		return nil
	}
	switch e.Kind {
	case message.EvidenceLeaving:
		return t.leave(now, r, "it or a peer reported that it is leaving")
	case message.EvidenceReplaced:
		return append(t.drop(r, "another incarnation answers at its address"), t.relist(now, e.VM)...)
	default:
		return append(t.drop(r, "it stopped"), t.relist(now, e.VM)...)
	}
}

// Answered records that an endpoint answered, and the incarnation that it gave, or 0 if it gave
// none.
//
// Another incarnation is accepted when two answers in a row give it. This guards against a single
// false report, which would remove a healthy endpoint from the whole fleet until the list changes,
// since the end of an incarnation is final. The price is one more request to the endpoint's
// replacement.
func (t *Table) Answered(now time.Duration, name string, incarnation uint64) []Change {
	r := t.rows[name]
	if r == nil || isEntry(r.vm) {
		return nil
	}
	if incarnation == 0 || incarnation == r.vm.Incarnation {
		r.seenAt, r.answered, r.otherIncarnation = now, true, 0
		return nil
	}
	if t.departures.isGone(name, incarnation) {
		return nil // a late answer from the previous process
	}
	if r.otherIncarnation != incarnation {
		r.otherIncarnation = incarnation
		return nil
	}
	return t.ApplyEvidence(now, message.Evidence{VM: name, Incarnation: r.vm.Incarnation, Kind: message.EvidenceReplaced})
}

// HelloReceived processes the hello of an entry that opened a link. The entry's process may be
// newer than the platform's list, whose incarnations number VMs rather than processes; the list's
// data on the entry's VM is kept.
func (t *Table) HelloReceived(now time.Duration, vm published.VM) []Change {
	if rowProblems(vm) != "" || !isEntry(vm) || t.departures.isGone(vm.Name, vm.Incarnation) {
		return nil
	}
	r := t.rows[vm.Name]
	if r != nil && r.selfReported && r.vm.Incarnation == vm.Incarnation {
		return t.noteHeard(now, r, r.state)
	}
	if r != nil && r.selfReported && !r.suspected && r.vm.Incarnation > vm.Incarnation {
		return nil // a late hello of an older incarnation
	}
	return t.addSelfReported(now, r, vm, "it introduced itself")
}

// addSelfReported adds the row of an entry that reported itself; r is the current row under its
// name, or nil.
func (t *Table) addSelfReported(now time.Duration, r *row, vm published.VM, why string) []Change {
	changes := t.replaceBySelfReported(now, r, vm)
	changes = append(changes, t.add(now, vm, why)...)
	next := t.rows[vm.Name]
	next.selfReported, next.selfReportedAt = true, now
	next.state = max(next.state, message.EntryServing)
	if r != nil {
		next.listed, next.listedAs, next.missing, next.missingAt = r.listed, r.listedAs, r.missing, r.missingAt
	}
	return changes
}

// replaceBySelfReported ends the rows that a VM that reported itself replaces. A row that was known
// only from the list is dropped without a change, since it becomes the VM's own.
func (t *Table) replaceBySelfReported(now time.Duration, r *row, vm published.VM) []Change {
	var changes []Change
	switch {
	case r == nil:
	case r.selfReported:
		changes = t.replaced(now, r, vm)
	default:
		t.drop(r, "")
	}
	if other := t.byAddress(vm); other != nil {
		changes = append(changes, t.replaced(now, other, vm)...)
	}
	return changes
}

// Heard processes a message from an entry with its state. It returns nothing for an unknown
// incarnation; see Knows.
func (t *Table) Heard(now time.Duration, from uint64, state message.EntryState) []Change {
	r := t.entry(from)
	if r == nil {
		return nil
	}
	return t.noteHeard(now, r, state)
}

func (t *Table) noteHeard(now time.Duration, r *row, state message.EntryState) []Change {
	r.seenAt, r.unreachable, r.reportedSilent, r.heardByOthers = now, false, false, false
	return append(t.endSuspicion(r, "it was heard from again"), t.takeState(now, r, state)...)
}

// endSuspicion ends the suspicion of an entry.
func (t *Table) endSuspicion(r *row, why string) []Change {
	if !r.suspected {
		return nil
	}
	r.suspected = false
	t.changed(r.vm)
	return []Change{{Kind: EntryReturned, VM: r.vm, Why: why}}
}

// takeState applies the state of an entry as reported by the entry itself, directly or through
// peers.
func (t *Table) takeState(now time.Duration, r *row, state message.EntryState) []Change {
	var changes []Change
	if !r.leaving && (state > r.state || !r.stateReported) && state != r.state {
		r.state = state
		t.changed(r.vm)
	}
	r.stateReported = true
	switch {
	case state == message.EntryStopped:
		return append(changes, t.end(now, r, message.EvidenceStopped, "it reported that it stopped")...)
	case state == message.EntryLeaving && !r.leaving:
		t.recordEvidence(now, message.Evidence{VM: r.vm.Name, Incarnation: r.vm.Incarnation, Kind: message.EvidenceLeaving})
		return append(changes, t.leave(now, r, "it reported that it is leaving")...)
	}
	return changes
}

// Acked records that an entry acknowledged a message, which shows that it is alive.
func (t *Table) Acked(now time.Duration, incarnation uint64) []Change {
	r := t.entry(incarnation)
	if r == nil {
		return nil
	}
	return t.noteHeard(now, r, r.state)
}

// PeerReported processes the status of an entry that arrived through other entries. The status says
// nothing about the path between that entry and this one.
func (t *Table) PeerReported(now time.Duration, vm published.VM, state message.EntryState, version uint32) []Change {
	if rowProblems(vm) != "" || !isEntry(vm) || vm.Incarnation == t.cfg.Self || t.departures.isGone(vm.Name, vm.Incarnation) {
		return nil
	}
	r := t.rows[vm.Name]
	if r != nil && r.selfReported && r.vm.Incarnation > vm.Incarnation {
		return nil
	}
	if r != nil && r.selfReported && r.vm.Incarnation == vm.Incarnation {
		if version <= r.version {
			return nil
		}
		r.version, r.reportedSilent = version, false
		r.heardByOthers = r.heardByOthers || r.suspected && r.watched
		return append(t.endSuspicion(r, "other entries heard from it"), t.takeState(now, r, state)...)
	}
	changes := t.addSelfReported(now, r, vm, "a peer reported it")
	next := t.rows[vm.Name]
	next.version = version
	return append(changes, t.takeState(now, next, state)...)
}

// NoteVersion records the version of the record that an entry itself sent.
func (t *Table) NoteVersion(incarnation uint64, version uint32) {
	if r := t.entry(incarnation); r != nil {
		r.version = max(r.version, version)
	}
}

// SilenceReported processes a peer's report that an entry that the peer watches is silent. version
// is the version of the silent entry's record that the peer had.
func (t *Table) SilenceReported(now time.Duration, name string, incarnation uint64, version uint32) {
	r := t.rowOf(name, incarnation)
	if r == nil || r.reportedSilent || version < r.version {
		return
	}
	r.reportedSilent, r.reportedSilentAt = true, now
}

// SetWatched sets the entries to which this one sends heartbeats, so that it notices their silence.
// relays reports whether there are entries that only other entries watch.
func (t *Table) SetWatched(now time.Duration, watches func(incarnation uint64) bool, relays bool) {
	t.relays = relays
	for _, r := range t.entries {
		watched := watches(r.vm.Incarnation)
		if watched && !r.watched {
			r.watchedAt, r.unreachable, r.heardByOthers = now, false, false
		}
		r.watched = watched
	}
}

// Unreachable records that an entry could not be reached. The entry is suspected after little more
// than one heartbeat interval of silence instead of several.
func (t *Table) Unreachable(incarnation uint64) {
	if r := t.entry(incarnation); r != nil && incarnation != t.cfg.Self {
		r.unreachable = true
	}
}

// Knows reports whether there is an entry with this incarnation.
func (t *Table) Knows(incarnation uint64) bool { return t.entry(incarnation) != nil }

// relist applies the VM that the latest list has under a name, after the row under that name was
// removed. Otherwise the VM would stay unknown until a list is applied again, although the latest
// list was right.
func (t *Table) relist(now time.Duration, name string) []Change {
	vm, there := t.list.vms[name]
	if !there || t.rows[name] != nil {
		return nil
	}
	return t.applyRow(now, vm)
}

// describeSilence says for how long a VM has not been heard from.
func describeSilence(now time.Duration, r *row) string {
	return fmt.Sprintf("not heard from for %v", (now - r.seenAt).Round(time.Millisecond))
}
