package published

import "testing"

// Guards against a VM that reported once more, left in the same batch of changes, and is live again
// after a restoration from a copy made between the two.
func TestVMRemovedRightAfterReportStaysRemoved(t *testing.T) {
	vm := VM{Name: "i-1", Incarnation: 1, Role: EndpointRole, State: Live}
	before := NewRoster(1)
	before.Put(vm, 1)
	next := before.Clone()
	next.Put(vm, 2)
	next.Remove(vm.Name)
	restored := NewRoster(1)
	restored.Put(vm, 2)
	restored.CarryOver(&next)
	if vms := restored.List().VMs; len(vms) != 0 {
		t.Errorf("%+v, want no VM", vms)
	}
}

// Guards against a removal from a copy of a roster that shows in another copy.
func TestClonesRecordRemovalsSeparately(t *testing.T) {
	original := NewRoster(4)
	for _, name := range []string{"a", "b", "c", "d"} {
		original.Put(VM{Name: name, Incarnation: 1}, 1)
	}
	for _, name := range []string{"a", "b"} {
		original.Remove(name)
	}
	first, second := original.Clone(), original.Clone()
	first.Remove("c")
	second.Remove("d")
	if got := first.removed[len(first.removed)-1].name; got != "c" {
		t.Errorf("the first copy recorded %q as removed, want \"c\"", got)
	}
}
