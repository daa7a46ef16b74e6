package published

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a VM that reported once more, left in the same batch of changes, and is live again
// after a restoration from a copy made between the two.
func TestVMRemovedRightAfterReportStaysRemoved(t *testing.T) {
	vm := VM{Name: "i-1", Incarnation: 1, Role: EndpointRole, State: Live}
	before := NewRoster(1)
	before.Put(vm, 1)
	before.Put(vm, 2)
	before.Remove(vm.Name)
	restored := NewRoster(1)
	restored.Put(vm, 2)
	restored.CarryOver(&before)
	if vms := restored.List().VMs; len(vms) != 0 {
		t.Errorf("%+v, want no VM", vms)
	}
}

// Guards against endpoints that were removed and are live again after the store was restored from a
// copy, where more were replaced than the roster remembered.
func TestManyRemovedVMsStayRemoved(t *testing.T) {
	const replaced = 12_000
	before, copied := NewRoster(replaced), NewRoster(replaced)
	for i := range replaced {
		vm := VM{Name: fmt.Sprint("old-", i), Incarnation: 1}
		before.Put(vm, 1)
		copied.Put(vm, 1)
	}
	for i := range replaced {
		before.Put(VM{Name: fmt.Sprint("new-", i), Incarnation: 1}, 1)
		before.Remove(fmt.Sprint("old-", i))
	}
	copied.CarryOver(&before)
	for _, vm := range copied.List().VMs {
		if strings.HasPrefix(vm.Name, "old-") {
			t.Fatalf("%s was removed and is listed again", vm.Name)
		}
	}
}

// Guards against a removal from a restored roster that shows in the roster before it, or in another
// one that was restored from it.
func TestRestoredRostersRecordRemovalsSeparately(t *testing.T) {
	original := NewRoster(4)
	for _, name := range []string{"a", "b", "c", "d"} {
		original.Put(VM{Name: name, Incarnation: 1}, 1)
	}
	for _, name := range []string{"a", "b"} {
		original.Remove(name)
	}
	first, second := NewRoster(4), NewRoster(4)
	first.CarryOver(&original)
	second.CarryOver(&original)
	first.Remove("c")
	second.Remove("d")
	if got := first.removed[len(first.removed)-1].name; got != "c" {
		t.Errorf("the first roster recorded %q as removed, want \"c\"", got)
	}
	if got := len(original.removed); got != 2 {
		t.Errorf("the original recorded %d removals, want 2", got)
	}
}
