package published

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
)

// History is the list of VMs in force with the changes between the latest lists, so that a peer
// with an earlier list can get the difference. The zero value is empty. It is not safe for
// concurrent use.
type History struct {
	// Clock, if not nil, tells for how long VMs have been gone.
	Clock func() time.Duration

	rows      map[string]VM
	evacuated []string
	sum       digest
	log       changeLog
}

// Revision returns the revision of the list, 0 before the first one.
func (h *History) Revision() uint64 { return h.log.latest }

// Digest returns the digest of the list.
func (h *History) Digest() uint64 { return h.sum.withDomains(h.evacuated) }

func (h *History) now() time.Duration {
	if h.Clock == nil {
		return 0
	}
	return h.Clock()
}

// Replace records a whole list of a later revision.
func (h *History) Replace(list VMList) {
	before, sum, now := h.rows, digest(0), h.now()
	h.rows = make(map[string]VM, len(list.VMs))
	var changed []change
	for _, vm := range list.VMs {
		h.rows[vm.Name] = vm
		sum.toggle(vm)
		if old, found := before[vm.Name]; before != nil && (!found || old != vm) {
			changed = append(changed, change{vm.Name, now})
		}
	}
	for name := range before {
		if _, found := h.rows[name]; !found {
			changed = append(changed, change{name, now})
		}
	}
	h.sum, h.evacuated = sum, list.Evacuated
	if before == nil {
		h.log.reset(list.Revision)
		return
	}
	h.log.record(list.Revision, changed...)
}

// CheckFit returns an error if the difference does not lead from the list to the list that its
// maker has; the caller then needs the whole list.
func (h *History) CheckFit(d *Difference) error {
	if h.rows == nil || d.After > h.Revision() || d.Revision <= h.Revision() || h.digestWith(d) != d.Digest {
		return fault.New(fault.BadMessage, remedyDifference,
			"the difference from revision %s to %s does not fit the VM list of revision %s",
			RevisionText(d.After), RevisionText(d.Revision), RevisionText(h.Revision()))
	}
	return nil
}

// digestWith returns the digest that the list has after a difference.
func (h *History) digestWith(d *Difference) uint64 {
	sum := h.sum
	replaced := make(map[string]bool, len(d.Rows)+len(d.Gone))
	remove := func(name string) {
		if old, found := h.rows[name]; found && !replaced[name] {
			sum.toggle(old)
		}
		replaced[name] = true
	}
	for _, vm := range d.Rows {
		remove(vm.Name)
		sum.toggle(vm)
	}
	for _, name := range d.Gone {
		remove(name)
	}
	return sum.withDomains(d.Evacuated)
}

// Apply applies a difference that fits.
func (h *History) Apply(d *Difference) {
	now, changes := h.now(), make([]change, 0, len(d.Rows)+len(d.Gone))
	remove := func(name string, age time.Duration) {
		if old, found := h.rows[name]; found {
			h.sum.toggle(old)
			delete(h.rows, name)
		}
		changes = append(changes, change{name, now - age})
	}
	for _, vm := range d.Rows {
		remove(vm.Name, 0)
		h.rows[vm.Name] = vm
		h.sum.toggle(vm)
	}
	for i, name := range d.Gone {
		remove(name, d.GoneAge(i))
	}
	h.evacuated = d.Evacuated
	h.log.record(d.Revision, changes...)
}

// Since returns the difference between the list of an earlier revision and the current one, and
// whether that difference exists and has fewer rows than the list. A list doesn't tell for how long
// VMs have been gone, so the difference may name more of these.
func (h *History) Since(revision uint64) (Difference, bool) {
	d, ok := h.log.difference(h.now(), revision, h.rows, h.evacuated, h.Digest())
	return d, ok && (len(d.Rows) < len(h.rows) || len(d.Gone) > 0)
}

// List returns the whole list, sorted by name.
func (h *History) List() VMList {
	list := listOf(h.rows, h.evacuated)
	list.Revision = h.Revision()
	return list
}

// listOf returns a list of the given rows, sorted by name.
func listOf(rows map[string]VM, evacuated []string) VMList {
	list := VMList{VMs: make([]VM, 0, len(rows)), Evacuated: evacuated}
	for _, vm := range rows {
		list.VMs = append(list.VMs, vm)
	}
	slices.SortFunc(list.VMs, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
