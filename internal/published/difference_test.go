package published

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/fault"
)

func rowOf(n, version int) VM {
	return VM{Name: fmt.Sprintf("i-%03d", n), Incarnation: uint64(1 + version), Role: EndpointRole, State: Live, Region: "r", Domain: "d",
		Address: fmt.Sprintf("10.0.0.%d:%d", n%200+1, 1000+version), Pool: "p", Slots: 2}
}

// Entries apply lists at different revisions: one has seen 4, 7 and 9, another 5 and 9. Guards
// against an entry that applies a difference made for another revision and then has a row that no
// other entry has, or lacks an existing row. Whichever revisions the two have seen, a difference
// gives exactly the newer list, or an error that makes the entry request the whole list.
func TestDifferenceGivesNewerListOrIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := map[string]VM{}
		var evacuated []string
		var ahead, behind History
		behindAt, whole, applied := uint64(0), 0, 0
		for revision := uint64(1); revision <= 40; revision++ {
			for range rapid.IntRange(1, 4).Draw(rt, "changes") {
				vm := rowOf(rapid.IntRange(0, 30).Draw(rt, "row"), rapid.IntRange(0, 3).Draw(rt, "version"))
				if rapid.IntRange(0, 3).Draw(rt, "gone") == 0 {
					delete(rows, vm.Name)
				} else {
					rows[vm.Name] = vm
				}
			}
			if rapid.IntRange(0, 3).Draw(rt, "evacuates") == 0 {
				evacuated = [][]string{nil, {"d"}, {"d", "e"}}[rapid.IntRange(0, 2).Draw(rt, "domains")]
			}
			text := EncodeVMs(listOf(rows, evacuated))
			list, err := ParseVMs(Value{Revision: revision, Data: text})
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "ahead gets list") {
				ahead.Replace(list)
			}
			if rapid.IntRange(0, 4).Draw(rt, "behind gets list") == 0 {
				behind.Replace(list)
				behindAt = revision
			}
			made, ok := ahead.Since(behindAt)
			if !ok {
				whole++
				continue
			}
			sent, err := UnpackDifference(made.Revision, PackDifference(&made))
			if err != nil {
				rt.Fatal(err)
			}
			if err := behind.CheckFit(&sent); err != nil {
				if fault.KindOf(err) != fault.BadMessage {
					rt.Fatal(err)
				}
				whole++
				continue
			}
			applied++
			behind.Apply(&sent)
			behindAt = sent.Revision
			if got, want := behind.List(), ahead.List(); !sameList(got, want) {
				rt.Fatalf("difference to revision %d from %d:\n%v\n%v", sent.Revision, sent.After, got, want)
			}
			if list := behind.List(); behind.Digest() != list.Digest() || behind.Digest() != ahead.Digest() {
				rt.Fatalf("digest %x after a difference, %x of the list, %x of its maker", behind.Digest(), list.Digest(), ahead.Digest())
			}
		}
		if len(ahead.log.steps) > 0 && behindAt > 0 && applied == 0 && whole == 0 {
			rt.Fatal("no difference was made or refused")
		}
	})
}

// sameList compares lists; no evacuated domains are the same as an empty list of them.
func sameList(a, b VMList) bool {
	return a.Revision == b.Revision && reflect.DeepEqual(a.VMs, b.VMs) && slices.Equal(a.Evacuated, b.Evacuated)
}

// One endpoint of 228 leaves: the difference is a single row instead of 34 KB. No difference
// exists for lists from before the history.
func TestDifferenceOfOneRowIsSmall(t *testing.T) {
	rows := map[string]VM{}
	for n := range 228 {
		rows[rowOf(n, 0).Name] = rowOf(n, 0)
	}
	var h History
	addList := func(revision uint64) {
		list := listOf(rows, nil)
		list.Revision = revision
		h.Replace(list)
	}
	addList(10)
	vm := rowOf(7, 0)
	vm.State = Leaving
	rows[vm.Name] = vm
	addList(12)
	d, ok := h.Since(10)
	if data := PackDifference(&d); !ok || len(data) > 300 {
		t.Errorf("difference exists: %v, %d bytes: %s", ok, len(data), data)
	}
	if _, ok := h.Since(9); ok {
		t.Error("a difference from a list that was never added")
	}
	if _, ok := h.Since(12); ok {
		t.Error("a difference from the current list")
	}
	for n := range 2 * maxSteps {
		rows[rowOf(n, 1).Name] = rowOf(n, 1)
		addList(uint64(13 + n))
	}
	if len(h.log.steps) > maxSteps {
		t.Errorf("%d steps are recorded", len(h.log.steps))
	}
}

// Guards against a difference that was made from another list than the one it is applied to, whose
// rows happen to fit: the digest shows it.
func TestDifferenceOfAnotherListDoesNotFit(t *testing.T) {
	first, second := listOf(map[string]VM{"i-001": rowOf(1, 0), "i-002": rowOf(2, 0)}, nil), listOf(map[string]VM{"i-001": rowOf(1, 0)}, nil)
	first.Revision, second.Revision = 1, 1
	var a, b History
	a.Replace(first)
	b.Replace(second)
	next := listOf(map[string]VM{"i-001": rowOf(1, 1), "i-002": rowOf(2, 0), "i-003": rowOf(3, 0)}, nil)
	next.Revision = 2
	a.Replace(next)
	d, ok := a.Since(1)
	if !ok {
		t.Fatal("no difference")
	}
	if err := b.CheckFit(&d); fault.KindOf(err) != fault.BadMessage {
		t.Errorf("error %v, want one of kind BadMessage", err)
	}
	if b.Revision() != 1 || len(b.rows) != 1 {
		t.Errorf("the check changed the list: %+v", b.List())
	}
}

// Guards against rows that change, get lost or are mixed up on their way between entries.
func TestPackedListsAreReadAsTheyWere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := map[string]VM{}
		for range rapid.IntRange(0, 40).Draw(rt, "rows") {
			vm := rowOf(rapid.IntRange(0, 99).Draw(rt, "name"), rapid.IntRange(0, 5).Draw(rt, "version"))
			vm.Cold = rapid.Bool().Draw(rt, "cold")
			vm.Registered = rapid.Uint64Range(0, 1<<40).Draw(rt, "registered")
			vm.Pool = rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "pool")
			rows[vm.Name] = vm
		}
		list := listOf(rows, rapid.SampledFrom([][]string{nil, {"d"}, {"d", "e"}}).Draw(rt, "evacuated"))
		list.Revision = 7
		got, err := UnpackList(7, PackList(list))
		if err != nil || !sameList(got, list) || got.Digest() != list.Digest() {
			rt.Fatalf("error %v, read %+v, packed %+v", err, got, list)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	d := Difference{After: 1, Rows: []VM{rowOf(1, 0), rowOf(2, 0)}, Gone: []string{"i-003"}, Digest: 1}
	f.Add(PackDifference(&d))
	f.Add(PackList(VMList{VMs: []VM{rowOf(1, 0)}, Evacuated: []string{"d"}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := UnpackDifference(2, data); err != nil && fault.KindOf(err) != fault.BadMessage {
			t.Errorf("difference: error is not of kind BadMessage: %v", err)
		}
		if list, err := UnpackList(2, data); err == nil {
			for _, vm := range list.VMs {
				if err := CheckVM(vm); err != nil {
					t.Errorf("an unusable row was accepted: %v", err)
				}
			}
		}
	})
}

// Guards against an entry that counts the time since a VM's removal from when it hears of it: the age
// of a removal passes from entry to entry, and does not depend on which revisions each has seen.
func TestAgeOfRemovalPassesBetweenEntries(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	rows := map[string]VM{}
	for n := range 4 {
		rows[rowOf(n, 0).Name] = rowOf(n, 0)
	}
	first, second, third := History{Clock: clock}, History{Clock: clock}, History{Clock: clock}
	put := func(revision uint64, histories ...*History) {
		list := listOf(rows, nil)
		list.Revision = revision
		for _, h := range histories {
			h.Replace(list)
		}
	}
	pass := func(from, to *History) Difference {
		made, ok := from.Since(to.Revision())
		sent, err := UnpackDifference(made.Revision, PackDifference(&made))
		if !ok || err != nil || to.CheckFit(&sent) != nil {
			t.Fatalf("difference %+v, %v, error %v", made, ok, err)
		}
		to.Apply(&sent)
		return sent
	}
	put(1, &first, &second, &third)
	clear(rows) // more VMs than are left
	rows[rowOf(9, 0).Name] = rowOf(9, 0)
	now = 10 * time.Second
	put(2, &first)
	now += 300 * time.Millisecond
	if d := pass(&first, &second); d.GoneAge(0) != 300*time.Millisecond || len(d.Gone) != 4 {
		t.Errorf("after 300 ms the difference is %+v", d)
	}
	rows[rowOf(8, 0).Name] = rowOf(8, 0)
	put(3, &first, &second)
	now += 400 * time.Millisecond
	if d := pass(&second, &third); d.GoneAge(3) != 700*time.Millisecond {
		t.Errorf("after 700 ms and another entry the difference is %+v", d)
	}
}
