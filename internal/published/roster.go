package published

import (
	"maps"
	"slices"
)

// maxRemoved bounds how many VMs that went away a Roster remembers.
const maxRemoved = 4096

// Roster is the VMs and the evacuated failure domains that a service holds, as single changes
// bring them. It outlives a restoration of the service from a copy: what it knew is later than the
// copy. It is a plain value without lock or clock; NewRoster makes an empty one.
type Roster struct {
	vms       map[string]VM
	evacuated map[string]bool
	// reports is how many reports each VM had made at its latest change.
	reports map[string]int64
	// removed are the VMs that went away lately, the oldest first.
	removed []removal
	// carriedVMs and carriedDomains are what the service lacks since it was restored.
	carriedVMs, carriedDomains map[string]bool
}

// removal is a VM that went away, and how many reports it had made.
type removal struct {
	name    string
	reports int64
}

// NewRoster returns an empty roster with room for some VMs.
func NewRoster(size int) Roster {
	return Roster{
		vms: make(map[string]VM, size), reports: make(map[string]int64, size), evacuated: make(map[string]bool),
		carriedVMs: make(map[string]bool), carriedDomains: make(map[string]bool),
	}
}

// Clone returns a copy that changes by itself.
func (r Roster) Clone() Roster {
	r.vms, r.reports, r.evacuated = maps.Clone(r.vms), maps.Clone(r.reports), maps.Clone(r.evacuated)
	r.carriedVMs, r.carriedDomains = maps.Clone(r.carriedVMs), maps.Clone(r.carriedDomains)
	return r
}

// Put takes in what the service says of a VM, and how many reports the VM has made. It reports
// whether that is new.
func (r *Roster) Put(vm VM, reports int64) bool {
	known, found := r.vms[vm.Name]
	r.vms[vm.Name], r.reports[vm.Name] = vm, reports
	delete(r.carriedVMs, vm.Name)
	return !found || known != vm
}

// Remove takes out a VM.
func (r *Roster) Remove(name string) {
	delete(r.vms, name)
	delete(r.reports, name)
	delete(r.carriedVMs, name)
}

// Evacuate takes in whether a failure domain is evacuated, and reports whether that is new.
func (r *Roster) Evacuate(domain string, evacuated bool) bool {
	was := r.evacuated[domain]
	delete(r.evacuated, domain)
	if evacuated {
		r.evacuated[domain] = true
	}
	delete(r.carriedDomains, domain)
	return was != evacuated
}

// List returns the list of VMs in the order of their names.
func (r *Roster) List() VMList { return listOf(r.vms, slices.Sorted(maps.Keys(r.evacuated))) }

// RememberRemoved notes which VMs of the roster before are there no more.
func (r *Roster) RememberRemoved(before *Roster) {
	for name := range before.vms {
		if _, found := r.vms[name]; !found {
			r.removed = append(r.removed, removal{name, before.reports[name]})
		}
	}
	if excess := len(r.removed) - maxRemoved; excess > 0 {
		r.removed = slices.Clone(r.removed[excess:])
	}
}

// CarryOver completes what was read from a service that was restored from a copy with what was known
// before. The copy is older: who had left has left, and what it lacks is kept until it
// is written again, or Settle gives it up.
func (r *Roster) CarryOver(before *Roster) {
	r.removed = slices.Clone(before.removed)
	for _, removed := range before.removed {
		if reports, found := r.reports[removed.name]; found && reports <= removed.reports {
			r.Remove(removed.name)
		}
	}
	for name, vm := range before.vms {
		restored, found := r.vms[name]
		switch {
		case !found:
			r.vms[name], r.reports[name] = vm, before.reports[name]
			r.carriedVMs[name] = true
		case vm.State == Leaving && restored.Incarnation == vm.Incarnation:
			r.vms[name] = vm
		}
	}
	for domain := range before.evacuated {
		if !r.evacuated[domain] {
			r.evacuated[domain], r.carriedDomains[domain] = true, true
		}
	}
}

// Settled reports whether the service holds all that is in the roster.
func (r *Roster) Settled() bool { return len(r.carriedVMs)+len(r.carriedDomains) == 0 }

// Settle gives up what the service lacks.
func (r *Roster) Settle() {
	for name := range r.carriedVMs {
		r.Remove(name)
	}
	for domain := range r.carriedDomains {
		r.Evacuate(domain, false)
	}
}
