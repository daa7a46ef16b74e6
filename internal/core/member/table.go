package member

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// ChangeKind is the kind of a change in the view of a VM or a list.
type ChangeKind uint8

// The kinds of changes.
const (
	EndpointAdded ChangeKind = iota + 1
	// EndpointLeaving: the endpoint gets no new requests; those in flight complete.
	EndpointLeaving
	EndpointGone
	EntryAdded
	// EntrySuspected: the entry has been silent for too long. The cause may be the network between
	// it and this entry.
	EntrySuspected
	// EntryReturned: a suspected entry was heard from again.
	EntryReturned
	EntryLeaving
	EntryGone
	// ListRefused: the list is older than one already applied; nothing changed.
	ListRefused
	// ListHeld: the list loses too many VMs at once; only its additions and the VMs that it marks
	// as leaving were applied.
	ListHeld
	// ListConfirmed: a held list lasted for HoldFor; its losses now count.
	ListConfirmed
	// RowRefused: a row of the list is unusable; the view of its VM is unchanged.
	RowRefused
	// EndpointMissing: the list no longer names the endpoint. Only with Config.ListIsFinal.
	EndpointMissing
	// EndpointListed: the list names the endpoint again. Only with Config.ListIsFinal.
	EndpointListed
	// EndpointCold: the list says that the endpoint is cold again.
	EndpointCold
	// DomainEvacuated: the endpoints of a failure domain get no more requests. The change's VM has
	// only its Domain set.
	DomainEvacuated
	// DomainReturned: the endpoints of an evacuated failure domain may get requests again.
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

// Change is a change in the view of a VM. VM is zero for changes that concern a list.
type Change struct {
	Kind ChangeKind
	VM   published.VM
	Why  string
}

// row is this entry's view of the current incarnation of a VM.
type row struct {
	vm published.VM
	// peer reports that the VM is another entry of this entry's region. Rows are aged many times a
	// second, and comparing the region texts each time was half of the work of an idle entry among
	// hundreds.
	peer    bool
	leaving bool
	// listed reports that an applied list named this incarnation.
	listed bool
	// missing reports that the list stopped naming the VM at missingAt.
	missing   bool
	missingAt time.Duration
	// seenAt is when the VM last showed directly that it is alive, or when the row was added.
	seenAt time.Duration
	// answered reports that the endpoint has answered, and is reset by a pause of the process.
	answered bool
	// otherIncarnation is the different incarnation that the latest answer gave, or 0.
	otherIncarnation uint64

	// The remaining fields are for entries only. The list numbers VMs, while an entry draws its own
	// number each time its process starts; vm.Incarnation is the latter from selfReportedAt on, and
	// listedAs is the number of the VM in the list.
	selfReported   bool
	selfReportedAt time.Duration
	listedAs       uint64
	// state is assumed until the entry has reported it.
	state         message.EntryState
	stateReported bool
	suspected     bool
	unreachable   bool
	// version is the latest known version of the entry's record.
	version uint32
	// watched reports that this entry has sent heartbeats to it since watchedAt, so that its
	// silence is noticed here.
	watched   bool
	watchedAt time.Duration
	// heardByOthers reports that other entries heard from it while it was suspected here: the path
	// between it and this entry is broken.
	heardByOthers bool
	// reportedSilent reports that an entry that watches it reported it as silent, as of the known
	// version of its record. The report arrived at reportedSilentAt.
	reportedSilent   bool
	reportedSilentAt time.Duration
	// inactiveAt is when it was suspected, or when it reported that it is leaving.
	inactiveAt time.Duration
}

// Table is this entry's view of every VM.
type Table struct {
	cfg         Config
	rows        map[string]*row
	order       []*row // the rows by name
	entries     []*row // the rows of entries by name
	missing     []*row // the rows by name of endpoints that the list has stopped naming
	departures  departures
	newEvidence []message.Evidence
	list        listState
	// pools are those that services use, nil as long as that is not known.
	pools map[string]bool
	// entriesVersion grows with each change of the result of Entries.
	entriesVersion uint64
	index          index
	// relays reports that some entries are watched only by other entries.
	relays bool
	// ageAt is when the rows are aged next; agedRows is scratch memory for that, and unlisted has what
	// isUnlisted has found in this tick.
	ageAt    time.Duration
	agedRows []*row
	unlisted map[string]bool
	// silent holds the entries whose silence was noticed here since the last TakeSilences.
	silent []Silence
}

// Silence is an entry that does not answer this one, with the known version of its record.
type Silence struct {
	Name        string
	Incarnation uint64
	Version     uint32
}

// index finds rows by keys other than the name. It is updated with each change of a row: rebuilding
// it after each change made applying a list quadratic in its rows.
type index struct {
	// entries maps incarnations to entries, addresses maps role and address to all VMs. Rows under
	// one key are ordered by name.
	entries   map[uint64][]*row
	addresses map[servedAt][]*row
}

// servedAt is an address at which VMs of a role serve.
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
		unlisted:   make(map[string]bool),
		departures: newDepartures(),
		list:       listState{conflicting: make(map[string]bool), owners: make(map[servedAt]addressOwner)},
		index:      index{entries: make(map[uint64][]*row), addresses: make(map[servedAt][]*row)},
	}
}

// EntriesVersion grows with each change of the result of Entries.
func (t *Table) EntriesVersion() uint64 { return t.entriesVersion }

// changed records that the view of a VM changed.
func (t *Table) changed(vm published.VM) {
	if isEntry(vm) {
		t.entriesVersion++
	}
}

// isPeer reports whether a VM is another entry of this entry's region.
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

// add inserts a row for a VM that has none.
func (t *Table) add(now time.Duration, vm published.VM, why string) []Change {
	r := &row{vm: vm, seenAt: now}
	r.vm.State = published.Live
	r.peer = t.isPeer(vm)
	t.rows[vm.Name] = r
	insertByName(&t.order, r)
	if isEntry(vm) {
		insertByName(&t.entries, r)
	}
	t.index.add(r)
	t.changed(vm)
	changes := []Change{{Kind: kindFor(vm, EndpointAdded, EntryAdded), VM: r.vm, Why: why}}
	if t.departures.isLeaving(vm.Name, vm.Incarnation) {
		changes = append(changes, t.leave(now, r, "evidence that it is leaving arrived before it was listed")...)
	}
	return changes
}

func insertByName(rows *[]*row, r *row) {
	at, _ := slices.BinarySearchFunc(*rows, r.vm.Name, compareName)
	*rows = slices.Insert(*rows, at, r)
}

func deleteByName(rows *[]*row, r *row) {
	if at, found := slices.BinarySearchFunc(*rows, r.vm.Name, compareName); found {
		*rows = slices.Delete(*rows, at, at+1)
	}
}

// setMissing records whether the list has stopped naming a VM.
func (t *Table) setMissing(r *row, missing bool) {
	if r.missing == missing {
		return
	}
	r.missing = missing
	switch {
	case isEntry(r.vm):
	case missing:
		insertByName(&t.missing, r)
	default:
		deleteByName(&t.missing, r)
	}
}

// leave marks a row as leaving, which is final for the incarnation.
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
	deleteByName(&t.order, r)
	if isEntry(r.vm) {
		deleteByName(&t.entries, r)
	} else {
		deleteByName(&t.missing, r)
	}
	t.index.remove(r)
	t.changed(r.vm)
	return []Change{{Kind: kindFor(r.vm, EndpointGone, EntryGone), VM: r.vm, Why: why}}
}

// end drops a row and records that its incarnation is gone, so that it never counts as live again.
func (t *Table) end(now time.Duration, r *row, kind message.EvidenceKind, why string) []Change {
	if isEntry(r.vm) && kind == message.EvidenceReplaced {
		// All other entries learn of the replacement from the new incarnation's record.
		t.departures.note(now, now, message.Evidence{VM: r.vm.Name, Incarnation: r.vm.Incarnation, Kind: kind})
		return t.drop(r, why)
	}
	t.recordEvidence(now, message.Evidence{VM: r.vm.Name, Incarnation: r.vm.Incarnation, Kind: kind})
	return t.drop(r, why)
}

// recordEvidence stores evidence, queues it for spreading if it says something new, and reports
// whether it does.
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

// add indexes a row.
func (x *index) add(r *row) {
	insertRow(x.addresses, servedAtOf(r.vm), r)
	if isEntry(r.vm) {
		insertRow(x.entries, r.vm.Incarnation, r)
	}
}

// remove removes a row from the index. The row must not have changed since it was added.
func (x *index) remove(r *row) {
	removeRow(x.addresses, servedAtOf(r.vm), r)
	if isEntry(r.vm) {
		removeRow(x.entries, r.vm.Incarnation, r)
	}
}

func compareName(r *row, name string) int { return strings.Compare(r.vm.Name, name) }

// insertRow adds a row under a key, ordered by name.
func insertRow[K comparable](rows map[K][]*row, key K, r *row) {
	list := rows[key]
	at, _ := slices.BinarySearchFunc(list, r.vm.Name, compareName)
	rows[key] = slices.Insert(list, at, r)
}

// removeRow removes a row from under a key.
func removeRow[K comparable](rows map[K][]*row, key K, r *row) {
	list := slices.DeleteFunc(rows[key], func(other *row) bool { return other == r })
	if len(list) == 0 {
		delete(rows, key)
		return
	}
	rows[key] = list
}

// rowOf returns the row of an incarnation, or nil.
func (t *Table) rowOf(name string, incarnation uint64) *row {
	if r := t.rows[name]; r != nil && r.vm.Incarnation == incarnation {
		return r
	}
	return nil
}

// rowProblems returns what makes a VM's row unusable, or "".
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
