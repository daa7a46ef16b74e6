package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// listState is the state of the platform's list.
type listState struct {
	revision uint64
	applied  bool
	// appliedAt is when a list was last applied or confirmed.
	appliedAt time.Duration
	// vms holds the usable rows of the latest list by name.
	vms map[string]published.VM
	// held reports that the losses of the latest list do not count yet.
	held   bool
	heldAt time.Duration
	// skipped holds the names of unusable rows of the latest list.
	skipped map[string]bool
	// conflicting holds the names of rows that are not used because of another VM at their address.
	conflicting map[string]bool
	// owners holds the endpoints that have answered at addresses which several rows name.
	owners map[servedAt]addressOwner
	// evacuated holds the failure domains that the latest list evacuates.
	evacuated []string
}

// ListRevision returns the revision of the latest list, when it was last applied or confirmed, and
// whether its losses are held back. ok is false before the first list, and after a pause until a
// list is applied again.
func (t *Table) ListRevision() (revision uint64, at time.Duration, held, ok bool) {
	return t.list.revision, t.list.appliedAt, t.list.held, t.list.applied
}

// ApplyList applies the platform's list. A list older than the latest one is refused; the same list
// again confirms it.
//
// What a list says about a VM counts at once: that it exists, that it is leaving, that another
// incarnation replaced it. A VM that the list does not name counts as missing only later, and not
// at all while too many are missing at once. This guards against a list that was truncated or made
// while the configuration service itself was failing, which would leave the whole fleet without
// endpoints.
func (t *Table) ApplyList(now time.Duration, l published.VMList) []Change {
	if l.Revision < t.list.revision {
		why := fmt.Sprintf("list revision %s is older than %s", published.RevisionText(l.Revision), published.RevisionText(t.list.revision))
		return []Change{{Kind: ListRefused, Why: why}}
	}
	vms, skipped, changes := t.usableRows(l)
	isNew := l.Revision > t.list.revision || t.list.vms == nil
	if !isNew {
		changes = nil // already reported with this revision
	}
	t.list.revision, t.list.appliedAt, t.list.applied = l.Revision, now, true
	t.list.vms, t.list.skipped = vms, skipped
	maps.DeleteFunc(t.list.conflicting, func(name string, _ bool) bool { _, listed := vms[name]; return !listed })
	t.forgetOwners()
	// Evacuation comes before the rows: endpoints that this list adds may be in an evacuated
	// domain.
	changes = append(changes, t.setEvacuated(l.Evacuated)...)
	for _, vm := range l.VMs {
		if kept, ok := vms[vm.Name]; ok && kept.Incarnation == vm.Incarnation {
			changes = append(changes, t.applyRow(now, kept)...)
		}
	}
	return append(changes, t.applyAbsences(now, isNew)...)
}

// ApplyDifference applies the changes from the list that the table has to a later one.
func (t *Table) ApplyDifference(now time.Duration, d *published.Difference) []Change {
	changedRows := published.VMList{Revision: d.Revision, VMs: d.Rows}
	vms, skipped, changes := t.usableRows(changedRows)
	for _, vm := range d.Rows {
		t.unlist(vm.Name)
	}
	for _, name := range d.Gone {
		t.unlist(name)
	}
	maps.Copy(t.list.vms, vms)
	maps.Copy(t.list.skipped, skipped)
	t.forgetOwners()
	t.list.revision, t.list.appliedAt, t.list.applied = d.Revision, now, true
	changes = append(changes, t.setEvacuated(d.Evacuated)...)
	for _, vm := range d.Rows {
		if kept, ok := vms[vm.Name]; ok && kept.Incarnation == vm.Incarnation {
			changes = append(changes, t.applyRow(now, kept)...)
		}
	}
	changes = append(changes, t.retryConflicting(now)...)
	if !t.cfg.ListIsFinal {
		return append(changes, t.applyAbsences(now, true)...)
	}
	// Without held losses, only a changed row can be lost.
	t.list.held = false
	changes = append(changes, t.markMissing(now, t.lostOf(d))...)
	t.dateMissing(now, d)
	return changes
}

// dateMissing sets since when the rows have been missing that a difference has just removed. How long
// they may be used counts from their removal, however late an entry hears of it.
func (t *Table) dateMissing(now time.Duration, d *published.Difference) {
	for i, name := range d.Gone {
		if r := t.rows[name]; r != nil && r.missing && r.missingAt == now {
			r.missingAt = now - d.GoneAge(i)
		}
	}
}

// unlist removes the row of a VM from the latest list.
func (t *Table) unlist(name string) {
	delete(t.list.vms, name)
	delete(t.list.skipped, name)
	delete(t.list.conflicting, name)
}

// retryConflicting applies the rows that another VM at their address kept from being accepted.
func (t *Table) retryConflicting(now time.Duration) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(t.list.conflicting)) {
		changes = append(changes, t.applyRow(now, t.list.vms[name])...)
	}
	return changes
}

// lostOf returns the rows that a difference removes from the list, by name.
func (t *Table) lostOf(d *published.Difference) (lost []*row) {
	consider := func(name string) {
		if r := t.rows[name]; r != nil && r.listed && !r.missing && t.isLost(r) {
			lost = append(lost, r)
		}
	}
	for _, vm := range d.Rows {
		consider(vm.Name)
	}
	for _, name := range d.Gone {
		consider(name)
	}
	slices.SortFunc(lost, func(a, b *row) int { return compareName(a, b.vm.Name) })
	return lost
}

// lists reports whether the latest list names an incarnation.
func (t *Table) lists(key vmKey) bool {
	vm, there := t.list.vms[key.name]
	return there && vm.Incarnation == key.incarnation
}

// isLost reports whether the latest list does not name a VM that an earlier one named.
func (t *Table) isLost(r *row) bool {
	vm, there := t.list.vms[r.vm.Name]
	return !t.list.skipped[r.vm.Name] && (!there || vm.Incarnation != r.incarnationInList())
}

// setEvacuated sets the evacuated failure domains. The change takes effect at once even if the list
// is held, because only the operator writes it.
func (t *Table) setEvacuated(domains []string) []Change {
	before := t.list.evacuated
	t.list.evacuated = slices.Clone(domains)
	var changes []Change
	for _, domain := range domains {
		if !slices.Contains(before, domain) {
			changes = append(changes, Change{Kind: DomainEvacuated, VM: published.VM{Domain: domain}, Why: "the operator evacuated it; its endpoints get no more requests"})
		}
	}
	for _, domain := range before {
		if !slices.Contains(domains, domain) {
			changes = append(changes, Change{Kind: DomainReturned, VM: published.VM{Domain: domain}, Why: "the operator ended the evacuation"})
		}
	}
	return changes
}

// Evacuated returns the failure domains whose endpoints get no requests.
func (t *Table) Evacuated() []string { return t.list.evacuated }

// usableRows returns the usable rows of a list by name, and the names on unusable ones. Of two rows
// with the same name the one with the higher incarnation is used.
func (t *Table) usableRows(l published.VMList) (map[string]published.VM, map[string]bool, []Change) {
	vms := make(map[string]published.VM, len(l.VMs))
	skipped := make(map[string]bool)
	var changes []Change
	for _, vm := range l.VMs {
		problem := rowProblems(vm)
		if other, twice := vms[vm.Name]; problem == "" && twice && other.Incarnation >= vm.Incarnation {
			problem = fmt.Sprintf("incarnation %d has the same name", other.Incarnation)
		}
		if problem != "" {
			skipped[vm.Name] = true
			why := fmt.Sprintf("list revision %s: %s; correct the row at the platform", published.RevisionText(l.Revision), problem)
			changes = append(changes, Change{Kind: RowRefused, VM: vm, Why: why})
			continue
		}
		vms[vm.Name] = vm
	}
	return vms, skipped, changes
}

// applyRow applies one row of a list.
func (t *Table) applyRow(now time.Duration, vm published.VM) []Change {
	t.departures.mention(now, vm.Name, vm.Incarnation)
	if t.departures.isGone(vm.Name, vm.Incarnation) {
		return nil
	}
	if isEntry(vm) {
		return t.applyEntryRow(now, vm)
	}
	var changes []Change
	if r := t.rows[vm.Name]; r != nil && r.vm.Incarnation != vm.Incarnation {
		changes = t.replaced(now, r, vm)
	}
	superseded, accepted := t.takeAddress(vm)
	changes = append(changes, superseded...)
	if !accepted {
		return changes
	}
	r := t.rows[vm.Name]
	if r == nil {
		changes = append(changes, t.add(now, vm, "listed by the platform")...)
		r = t.rows[vm.Name]
	}
	if r.missing && t.cfg.ListIsFinal {
		changes = append(changes, Change{Kind: EndpointListed, VM: r.vm, Why: "listed again by the platform"})
	}
	r.listed = true
	t.setMissing(r, false)
	if vm.Cold && !r.vm.Cold {
		changes = append(changes, Change{Kind: EndpointCold, VM: r.vm, Why: "the platform's list marks it as cold"})
	}
	t.refresh(r, vm)
	if vm.State == published.Leaving {
		t.recordEvidence(now, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: message.EvidenceLeaving})
		changes = append(changes, t.leave(now, r, "the platform's list marks it as leaving")...)
	}
	return changes
}

// applyEntryRow applies the row of an entry in a list. The list says where entries are before they
// are heard from, and that a VM is leaving or was replaced.
func (t *Table) applyEntryRow(now time.Duration, vm published.VM) []Change {
	r := t.rows[vm.Name]
	var changes []Change
	if r != nil && r.listedAs != 0 && r.listedAs != vm.Incarnation && !t.heardRecently(now, r) {
		changes = t.replaced(now, r, vm)
		r = nil
	}
	if r == nil {
		changes = append(changes, t.add(now, vm, "listed by the platform")...)
		r = t.rows[vm.Name]
	}
	r.listed, r.missing, r.listedAs = true, false, vm.Incarnation
	if !r.selfReported {
		t.refresh(r, vm)
	}
	if vm.State != published.Leaving {
		return changes
	}
	return append(changes, t.applyEntryLeaving(now, r, vm)...)
}

// heardRecently reports whether an entry that has reported itself was heard from within
// SuspectAfter.
func (t *Table) heardRecently(now time.Duration, r *row) bool {
	return r.selfReported && (r.vm.Incarnation == t.cfg.Self || now-r.seenAt < t.SuspectAfter())
}

// applyEntryLeaving applies a list that marks an entry's VM as leaving. This guards against a list
// that lags: a process that reported itself after the list had first marked the VM as leaving runs
// on the VM that replaced it.
func (t *Table) applyEntryLeaving(now time.Duration, r *row, vm published.VM) []Change {
	t.departures.note(now, now, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: message.EvidenceLeaving})
	known := t.departures.known[vmKey{vm.Name, vm.Incarnation}]
	if r.selfReported && r.selfReportedAt > known.since {
		return nil
	}
	t.recordEvidence(now, message.Evidence{VM: vm.Name, Incarnation: r.vm.Incarnation, Kind: message.EvidenceLeaving})
	return t.leave(now, r, "the platform's list marks it as leaving")
}

// takeAddress drops the row of another endpoint at the address of a listed one, or reports that the
// other one keeps the address.
//
// Neither is final: a list may name an endpoint that has ended beside the one that got its address,
// and it does not always tell which of them is live. The end of an endpoint is known only from its
// own row or its own answers.
func (t *Table) takeAddress(vm published.VM) (changes []Change, accepted bool) {
	r := t.byAddress(vm)
	if r == nil {
		delete(t.list.conflicting, vm.Name)
		return nil, true
	}
	if t.lists(vmKey{r.vm.Name, r.vm.Incarnation}) {
		if t.supersedes(&r.vm, &vm) || t.list.conflicting[vm.Name] && !t.supersedes(&vm, &r.vm) {
			t.list.conflicting[vm.Name] = true
			return nil, false
		}
		t.list.conflicting[r.vm.Name] = true
	}
	delete(t.list.conflicting, vm.Name)
	return t.drop(r, replacedBy(vm)), true
}

// supersedes reports whether vm has taken over the address of another VM. A row of a pool that no service
// uses names no endpoint to use, so it takes no address from one of a pool in use. Of two others, the one
// that answers at the address has it.
func (t *Table) supersedes(vm, other *published.VM) bool {
	if used := t.isUsed(vm); used != t.isUsed(other) {
		return used
	}
	if owner, known := t.list.owners[servedAtOf(*vm)]; known {
		switch {
		case owner.proves(vm, other):
			return true
		case owner.proves(other, vm):
			return false
		}
	}
	return vm.Supersedes(other)
}

// isUsed reports whether a service uses the pool of vm, as far as is known.
func (t *Table) isUsed(vm *published.VM) bool { return t.pools == nil || t.pools[vm.Pool] }

// SetPools sets the pools that services use.
func (t *Table) SetPools(now time.Duration, names []string) []Change {
	t.pools = make(map[string]bool, len(names))
	for _, name := range names {
		t.pools[name] = true
	}
	return t.retryConflicting(now)
}

// replacedBy says which VM replaced another one.
func replacedBy(vm published.VM) string {
	return fmt.Sprintf("%s, incarnation %d, replaced it", vm.Name, vm.Incarnation)
}

func (t *Table) replaced(now time.Duration, r *row, by published.VM) []Change {
	return t.end(now, r, message.EvidenceReplaced, replacedBy(by))
}

// refresh updates a row with the list's data on its VM except the state.
func (t *Table) refresh(r *row, vm published.VM) {
	vm.State = r.vm.State
	if r.vm != vm {
		t.index.remove(r)
		r.vm, r.peer = vm, t.isPeer(vm)
		t.index.add(r)
		t.changed(vm)
	}
}

// applyAbsences handles the VMs that the latest list does not name.
func (t *Table) applyAbsences(now time.Duration, isNew bool) []Change {
	lost, lostLive, listedLive := t.lost()
	if t.cfg.ListIsFinal || lostLive < minHeldLosses || float64(lostLive) <= t.cfg.HoldShare*float64(listedLive) {
		t.list.held = false
		return t.markMissing(now, lost)
	}
	if !t.list.held {
		t.list.held, t.list.heldAt = true, now
		isNew = true
	}
	if now-t.list.heldAt >= t.cfg.HoldFor {
		return t.confirmHeld(now)
	}
	if !isNew {
		return nil
	}
	why := fmt.Sprintf("list revision %s loses %d of %d live VMs; held for %v", published.RevisionText(t.list.revision), lostLive, listedLive, t.cfg.HoldFor)
	return []Change{{Kind: ListHeld, Why: why}}
}

// lost returns the rows that were listed before and are not in the latest list. lostLive counts
// those of them that are not leaving, and listedLive all rows that were listed before and are not
// leaving: VMs that are leaving are expected to disappear.
func (t *Table) lost() (lost []*row, lostLive, listedLive int) {
	for _, r := range t.order {
		if !r.listed || r.missing {
			continue
		}
		gone := t.isLost(r)
		if gone {
			lost = append(lost, r)
		}
		if r.leaving {
			continue
		}
		listedLive++
		if gone {
			lostLive++
		}
	}
	return lost, lostLive, listedLive
}

// incarnationInList returns the incarnation under which the list names the VM.
func (r *row) incarnationInList() uint64 {
	if isEntry(r.vm) {
		return r.listedAs
	}
	return r.vm.Incarnation
}

// markMissing starts the ageing of rows that the list no longer names. A leaving endpoint that is
// no longer listed has stopped as announced.
func (t *Table) markMissing(now time.Duration, lost []*row) []Change {
	var changes []Change
	for _, r := range lost {
		if r.leaving && !isEntry(r.vm) {
			changes = append(changes, t.end(now, r, message.EvidenceStopped, "it was leaving and is no longer listed")...)
			continue
		}
		t.setMissing(r, true)
		r.missingAt = now
		if t.cfg.ListIsFinal && !isEntry(r.vm) {
			changes = append(changes, Change{Kind: EndpointMissing, VM: r.vm, Why: "the platform's list no longer names it"})
		}
	}
	return changes
}

// confirmHeld applies the losses of a held list.
func (t *Table) confirmHeld(now time.Duration) []Change {
	lost, lostLive, listedLive := t.lost()
	t.list.held = false
	why := fmt.Sprintf("list revision %s has lost %d of %d live VMs for %v", published.RevisionText(t.list.revision), lostLive, listedLive, t.cfg.HoldFor)
	return append([]Change{{Kind: ListConfirmed, Why: why}}, t.markMissing(now, lost)...)
}
