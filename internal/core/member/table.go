package member

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// ChangeKind is how a belief changed.
type ChangeKind uint8

// The kinds of changes.
const (
	EndpointAdded ChangeKind = iota + 1
	// EndpointLeaving: no new work; what is in flight ends in peace.
	EndpointLeaving
	EndpointGone
	EntryAdded
	// EntrySuspected: silent for too long. May be a fault between here and there.
	EntrySuspected
	// EntryReturned: a suspected entry was heard again.
	EntryReturned
	EntryLeaving
	EntryGone
	// ListRefused: an older list than was applied before; nothing changed.
	ListRefused
	// ListHeld: the list loses too many VMs at once; only what it adds or
	// marks as leaving was applied.
	ListHeld
	// ListConfirmed: a held list lasted; its losses now count.
	ListConfirmed
	// RowRefused: one row of the list is unusable; what was believed of its VM stays.
	RowRefused
	// EndpointMissing: the list has lost it. Only with Config.ListIsFinal.
	EndpointMissing
	// EndpointListed: the list names it again. Only with Config.ListIsFinal.
	EndpointListed
	// EndpointCold: the list says that it is cold again.
	EndpointCold
	// DomainEvacuated: the endpoints of a failure domain are to get nothing more. The change's
	// VM says just the domain.
	DomainEvacuated
	// DomainReturned: they may get work again.
	DomainReturned

	// KindCount is one more than the highest kind.
	KindCount
)

var changeNames = [...]string{
	EndpointAdded: "endpoint-added", EndpointLeaving: "endpoint-leaving", EndpointGone: "endpoint-gone",
	EntryAdded: "entry-added", EntrySuspected: "entry-suspected", EntryReturned: "entry-returned",
	EntryLeaving: "entry-leaving", EntryGone: "entry-gone",
	ListRefused: "list-refused", ListHeld: "list-held", ListConfirmed: "list-confirmed", RowRefused: "row-refused",
	EndpointMissing: "endpoint-missing", EndpointListed: "endpoint-listed",
	EndpointCold: "endpoint-cold", DomainEvacuated: "evacuated", DomainReturned: "taken-back",
}

// String returns the name of k as the audit trail shows it.
func (k ChangeKind) String() string {
	if int(k) < len(changeNames) && changeNames[k] != "" {
		return changeNames[k]
	}
	return fmt.Sprintf("change-%d", k)
}

// Change is one changed belief. VM is zero for changes that concern a list.
type Change struct {
	Kind ChangeKind
	VM   published.VM
	Why  string
}

// row is what is believed of the one incarnation under a name that counts.
type row struct {
	vm published.VM
	// peer: it is an entry of this one's region, and not this one. Rows are aged many times a
	// second, where comparing texts was half of what an idle entry among hundreds did.
	peer    bool
	leaving bool
	// listed: some applied list had this incarnation.
	listed bool
	// missing: the list lost it at missingAt.
	missing   bool
	missingAt time.Duration
	// seenAt is the latest direct sign of life, or when the row was added.
	seenAt time.Duration
	// answered is false until an endpoint answers, and again after a pause.
	answered bool
	// otherIncarnation is the other incarnation that the latest answer claimed, or 0.
	otherIncarnation uint64

	// For entries only. The list numbers VMs, while an entry draws a number of
	// its own at each start of its process; vm.Incarnation is the latter from
	// selfReportedAt on, and listedAs the number of the VM in the list.
	selfReported   bool
	selfReportedAt time.Duration
	listedAs       uint64
	// Until the entry spoke, state is a guess.
	state         message.EntryState
	stateReported bool
	suspected     bool
	unreachable   bool
	// version is the latest of its record that is known.
	version uint32
	// watched: this entry sends to it since watchedAt, so that its silence shows here.
	watched   bool
	watchedAt time.Duration
	// heardByOthers: it was suspected here, and others heard it. The way to it is broken.
	heardByOthers bool
	// reportedSilent: an entry that watches it said at reportedSilentAt, of the version known, that it is
	// silent.
	reportedSilent   bool
	reportedSilentAt time.Duration
	// inactiveAt is when it was suspected, or when it said that it leaves.
	inactiveAt time.Duration
}

// Table is what this entry believes of every VM.
type Table struct {
	cfg         Config
	rows        map[string]*row
	order       []*row // the rows by name
	departures  departures
	newEvidence []message.Evidence
	list        listState
	// entriesVersion grows with each change of what Entries returns.
	entriesVersion uint64
	index          index
	// relays says that some entries are watched by others only.
	relays bool
	// ageAt is when beliefs are aged next; aged is scratch memory of that.
	ageAt    time.Duration
	agedRows []*row
	// silent are the entries whose silence showed here since the last TakeSilent.
	silent []Silence
}

// Silence is an entry that does not answer this one, and the version of its record that is
// known.
type Silence struct {
	Name        string
	Incarnation uint64
	Version     uint32
}

// index finds rows other than by name. It follows each change of a row: built anew after
// each, it made a list cost the square of its rows.
type index struct {
	// entries are by incarnation, addresses all VMs by role and address. Of several rows the
	// first by name comes first.
	entries   map[uint64][]*row
	addresses map[servedAt][]*row
}

// servedAt is where VMs of a role are served.
type servedAt struct {
	role    published.Role
	address string
}

func servedAtOf(vm published.VM) servedAt { return servedAt{vm.Role, vm.Address} }

// New returns a table without any VM.
func New(cfg Config) *Table {
	return &Table{
		cfg:        cfg.withDefaults(),
		rows:       make(map[string]*row),
		departures: newDepartures(),
		index:      index{entries: make(map[uint64][]*row), addresses: make(map[servedAt][]*row)},
	}
}

// EntriesVersion grows with each change of what Entries returns.
func (t *Table) EntriesVersion() uint64 { return t.entriesVersion }

// changed notes that what is believed of a VM changed.
func (t *Table) changed(vm published.VM) {
	if isEntry(vm) {
		t.entriesVersion++
	}
}

// isPeer reports whether a VM is an entry of this one's region, and not this one.
func (t *Table) isPeer(vm published.VM) bool {
	return isEntry(vm) && vm.Incarnation != t.cfg.Self && vm.Region == t.cfg.Region
}

func isEntry(vm published.VM) bool { return vm.Role == published.EntryRole }

// kindFor picks the change kind by the role of the VM.
func kindFor(vm published.VM, endpoint, entry ChangeKind) ChangeKind {
	if isEntry(vm) {
		return entry
	}
	return endpoint
}

// add inserts a row for a VM that was not known.
func (t *Table) add(now time.Duration, vm published.VM, why string) []Change {
	r := &row{vm: vm, seenAt: now}
	r.vm.State = published.Live
	r.peer = t.isPeer(vm)
	t.rows[vm.Name] = r
	at, _ := slices.BinarySearchFunc(t.order, vm.Name, compareName)
	t.order = slices.Insert(t.order, at, r)
	t.index.add(r)
	t.changed(vm)
	changes := []Change{{Kind: kindFor(vm, EndpointAdded, EntryAdded), VM: r.vm, Why: why}}
	if t.departures.isLeaving(vm.Name, vm.Incarnation) {
		changes = append(changes, t.leave(now, r, "it was known to leave before it was listed")...)
	}
	return changes
}

// leave marks a row as leaving; final for the incarnation.
func (t *Table) leave(now time.Duration, r *row, why string) []Change {
	if r.leaving {
		return nil
	}
	r.leaving = true
	r.vm.State = published.Leaving
	if isEntry(r.vm) && r.state < message.EntryLeaving {
		r.state = message.EntryLeaving
	}
	r.inactiveAt = now
	t.changed(r.vm)
	return []Change{{Kind: kindFor(r.vm, EndpointLeaving, EntryLeaving), VM: r.vm, Why: why}}
}

// drop removes a row.
func (t *Table) drop(r *row, why string) []Change {
	delete(t.rows, r.vm.Name)
	if at, found := slices.BinarySearchFunc(t.order, r.vm.Name, compareName); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.index.remove(r)
	t.changed(r.vm)
	return []Change{{Kind: kindFor(r.vm, EndpointGone, EntryGone), VM: r.vm, Why: why}}
}

// end drops a row for good: its incarnation is never believed live again.
func (t *Table) end(now time.Duration, r *row, kind message.EvidenceKind, why string) []Change {
	if isEntry(r.vm) && kind == message.EvidenceReplaced {
		// The record of what took its place tells all others.
		t.departures.note(now, now, message.Evidence{VM: r.vm.Name, Incarnation: r.vm.Incarnation, Kind: kind})
		return t.drop(r, why)
	}
	t.recordEvidence(now, message.Evidence{VM: r.vm.Name, Incarnation: r.vm.Incarnation, Kind: kind})
	return t.drop(r, why)
}

// recordEvidence remembers evidence and queues it for spreading if it is news.
func (t *Table) recordEvidence(now time.Duration, e message.Evidence) bool {
	since := now - time.Duration(e.AgeMillis)*time.Millisecond
	if !t.departures.note(now, since, e) {
		return false
	}
	t.newEvidence = append(t.newEvidence, e)
	return true
}

// byAddress returns the row of another VM of the same role at the address of vm.
func (t *Table) byAddress(vm published.VM) *row {
	for _, r := range t.index.addresses[servedAtOf(vm)] {
		if r.vm.Name != vm.Name {
			return r
		}
	}
	return nil
}

// entry returns the row of an entry by its incarnation.
func (t *Table) entry(incarnation uint64) *row {
	if rows := t.index.entries[incarnation]; len(rows) > 0 {
		return rows[0]
	}
	return nil
}

// add takes in a row.
func (x *index) add(r *row) {
	insertRow(x.addresses, servedAtOf(r.vm), r)
	if isEntry(r.vm) {
		insertRow(x.entries, r.vm.Incarnation, r)
	}
}

// remove takes out a row, which must be as it was when it was added.
func (x *index) remove(r *row) {
	removeRow(x.addresses, servedAtOf(r.vm), r)
	if isEntry(r.vm) {
		removeRow(x.entries, r.vm.Incarnation, r)
	}
}

func compareName(r *row, name string) int { return strings.Compare(r.vm.Name, name) }

// insertRow adds a row under a key in the order of names.
func insertRow[K comparable](rows map[K][]*row, key K, r *row) {
	list := rows[key]
	at, _ := slices.BinarySearchFunc(list, r.vm.Name, compareName)
	rows[key] = slices.Insert(list, at, r)
}

// removeRow takes a row out from under a key.
func removeRow[K comparable](rows map[K][]*row, key K, r *row) {
	list := slices.DeleteFunc(rows[key], func(other *row) bool { return other == r })
	if len(list) == 0 {
		delete(rows, key)
		return
	}
	rows[key] = list
}

// rowOf returns the row of one incarnation, or nil.
func (t *Table) rowOf(name string, incarnation uint64) *row {
	if r := t.rows[name]; r != nil && r.vm.Incarnation == incarnation {
		return r
	}
	return nil
}

// rowProblems returns what is wrong with a VM's row, or "".
func rowProblems(vm published.VM) string {
	var problems []string
	if vm.Name == "" {
		problems = append(problems, "no name")
	}
	if vm.Incarnation == 0 {
		problems = append(problems, "no incarnation")
	}
	if vm.Address == "" {
		problems = append(problems, "no address")
	}
	if vm.Role != published.EntryRole && vm.Role != published.EndpointRole {
		problems = append(problems, "unknown role "+string(vm.Role))
	}
	return strings.Join(problems, ", ")
}
