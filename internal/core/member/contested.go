package member

import (
	"maps"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

// A list may name two endpoints at one address, of which only one is there. Which one is known once
// it answers; until then the order of registration decides.

// addressOwner is the endpoint that answered at an address which several rows of the list name.
type addressOwner struct {
	key vmKey
	// listRevision is the revision of the list at that time. Rows that were registered later may have
	// got the address since.
	listRevision uint64
}

// proves reports whether the answer shows that vm has the address and other has not.
func (o addressOwner) proves(vm, other *published.VM) bool {
	return o.key == vmKey{vm.Name, vm.Incarnation} && other.Registered <= o.listRevision
}

// Contested returns the listed endpoints that are not used because of another one at their address,
// by name.
func (t *Table) Contested() (vms []published.VM) {
	for _, name := range slices.Sorted(maps.Keys(t.list.conflicting)) {
		vms = append(vms, t.list.vms[name])
	}
	return vms
}

// AnsweredAt records that the endpoint of a name answered at an address. If another row keeps the
// endpoint from its address, it takes the address over.
func (t *Table) AnsweredAt(now time.Duration, name, address string) []Change {
	vm, listed := t.list.vms[name]
	if !t.list.conflicting[name] || !listed || vm.Address != address {
		return nil
	}
	t.list.owners[servedAtOf(vm)] = addressOwner{key: vmKey{vm.Name, vm.Incarnation}, listRevision: t.list.revision}
	return t.applyRow(now, vm)
}

// forgetOwners drops the owners of addresses that the latest list does not name any more.
func (t *Table) forgetOwners() {
	maps.DeleteFunc(t.list.owners, func(_ servedAt, o addressOwner) bool { return !t.lists(o.key) })
}
