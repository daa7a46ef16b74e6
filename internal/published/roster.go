package published

import (
	"maps"
	"slices"
)

// A Roster records the latest removedPerVM removals for each of its VMs, so that all may be replaced
// at once, and at least minRemoved.
const (
	removedPerVM = 2
	minRemoved   = 4096
)

// Roster is the set of VMs and evacuated failure domains of a service, maintained by single
// changes. It is kept when the service is restored from a copy, because its content is newer than
// the copy. It has no lock or clock. NewRoster returns an empty one.
type Roster struct {
	vms       map[string]VM
	evacuated map[string]bool
	// reports is the number of reports that each VM had made when Put last recorded it.
	reports map[string]int64
	// removed are the VMs that were removed most recently, the oldest first.
	removed []removal
	// log has the changed rows since the list was read, sum the digest of the rows.
	log changeLog
	sum digest
	// carriedVMs and carriedDomains are those VMs and evacuated failure domains of the roster that
	// the service lacks since its restoration.
	carriedVMs, carriedDomains map[string]bool
}

// removal is a removed VM with the number of reports that it had made.
type removal struct {
	name    string
	reports int64
}

// NewRoster returns an empty roster with capacity for size VMs.
func NewRoster(size int) Roster {
	return Roster{
		vms: make(map[string]VM, size), reports: make(map[string]int64, size), evacuated: make(map[string]bool),
		carriedVMs: make(map[string]bool), carriedDomains: make(map[string]bool),
	}
}

// Put records a VM of the service and the number of reports that the VM has made. It returns
// whether the VM is new or changed.
func (r *Roster) Put(vm VM, reports int64) bool {
	known, found := r.vms[vm.Name]
	r.set(vm, reports)
	delete(r.carriedVMs, vm.Name)
	return !found || known != vm
}

// Remove removes a VM and records it as removed, with the reports that it had made by then.
func (r *Roster) Remove(name string) {
	if _, found := r.vms[name]; found {
		r.recordRemoval(name, r.reports[name])
	}
	r.drop(name)
}

// set records a VM in place of the one with the same name.
func (r *Roster) set(vm VM, reports int64) {
	if known, found := r.vms[vm.Name]; found {
		r.sum.toggle(known)
	}
	r.sum.toggle(vm)
	r.vms[vm.Name], r.reports[vm.Name] = vm, reports
}

// drop removes a VM without recording it as removed.
func (r *Roster) drop(name string) {
	if known, found := r.vms[name]; found {
		r.sum.toggle(known)
	}
	delete(r.vms, name)
	delete(r.reports, name)
	delete(r.carriedVMs, name)
}

// Evacuate records whether a failure domain is evacuated, and returns whether that is a change.
func (r *Roster) Evacuate(domain string, evacuated bool) bool {
	was := r.evacuated[domain]
	delete(r.evacuated, domain)
	if evacuated {
		r.evacuated[domain] = true
	}
	delete(r.carriedDomains, domain)
	return was != evacuated
}

// List returns the list of VMs, sorted by name.
func (r *Roster) List() VMList { return listOf(r.vms, r.evacuatedDomains()) }

func (r *Roster) evacuatedDomains() []string { return slices.Sorted(maps.Keys(r.evacuated)) }

// Restart makes the list at a revision the earliest one to which Since returns differences.
func (r *Roster) Restart(revision uint64) { r.log.reset(revision) }

// RecordChange records that Put, Remove or Evacuate changed the list at a revision. The name is
// that of the changed VM, "" if only the evacuated failure domains changed.
func (r *Roster) RecordChange(revision uint64, name string) {
	if name == "" {
		r.log.record(revision)
		return
	}
	r.log.record(revision, change{name: name})
}

// Since returns the difference from the list of an earlier revision, if the recorded changes reach
// back to it.
func (r *Roster) Since(revision uint64) (Difference, bool) {
	domains := r.evacuatedDomains()
	return r.log.difference(0, revision, r.vms, domains, r.sum.withDomains(domains))
}

// RecordRemoved records the VMs of the earlier roster that are missing in r, which was read anew,
// as removed, after those that were removed before.
func (r *Roster) RecordRemoved(before *Roster) {
	if len(r.removed) == 0 {
		r.removed = slices.Clone(before.removed)
	}
	for name := range before.vms {
		if _, found := r.vms[name]; !found {
			r.recordRemoval(name, before.reports[name])
		}
	}
}

func (r *Roster) recordRemoval(name string, reports int64) {
	r.removed = append(r.removed, removal{name, reports})
	// The oldest half goes at once, so that each removal takes constant time on average.
	if limit := max(minRemoved, removedPerVM*len(r.vms)); len(r.removed) > 2*limit {
		r.removed = slices.Clone(r.removed[len(r.removed)-limit:])
	}
}

// CarryOver completes r, which was read from a service that was restored from a copy, with the
// earlier roster. The copy is older, so a VM that was leaving stays leaving in the same
// incarnation, and a removed VM stays removed unless it has reported since. VMs and evacuated
// domains that the copy lacks are kept until the service has them again or Settle removes them.
func (r *Roster) CarryOver(before *Roster) {
	r.removed = slices.Clone(before.removed)
	for _, removed := range before.removed {
		if reports, found := r.reports[removed.name]; found && reports <= removed.reports {
			r.drop(removed.name)
		}
	}
	for name, vm := range before.vms {
		restored, found := r.vms[name]
		switch {
		case !found:
			r.set(vm, before.reports[name])
			r.carriedVMs[name] = true
		case vm.State == Leaving && restored.Incarnation == vm.Incarnation:
			r.set(vm, r.reports[name])
		}
	}
	for domain := range before.evacuated {
		if !r.evacuated[domain] {
			r.evacuated[domain], r.carriedDomains[domain] = true, true
		}
	}
}

// Settled reports whether the service has everything that is in the roster.
func (r *Roster) Settled() bool { return len(r.carriedVMs)+len(r.carriedDomains) == 0 }

// Settle removes the VMs and evacuated failure domains that the service still lacks.
func (r *Roster) Settle() {
	for name := range r.carriedVMs {
		r.Remove(name)
	}
	for domain := range r.carriedDomains {
		r.Evacuate(domain, false)
	}
}
