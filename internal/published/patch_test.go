package published

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

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
				ahead.Add(list, text)
			}
			if rapid.IntRange(0, 4).Draw(rt, "behind gets list") == 0 {
				behind.Add(list, text)
				behindAt = revision
			}
			data, ok := ahead.Since(behindAt)
			if !ok {
				whole++
				continue
			}
			patched, got, err := behind.Patched(revision, data)
			if err != nil {
				if fault.KindOf(err) != fault.BadMessage {
					rt.Fatal(err)
				}
				whole++
				continue
			}
			applied++
			if !bytes.Equal(got, ahead.text) {
				rt.Fatalf("difference to revision %d from %d:\n%s\n%s", revision, behindAt, got, ahead.text)
			}
			if read, err := ParseVMs(Value{Revision: revision, Data: got}); err != nil || !reflect.DeepEqual(read, patched) {
				rt.Fatalf("the list differs from its text: %v", err)
			}
		}
		if len(ahead.steps) > 0 && behindAt > 0 && applied == 0 && whole == 0 {
			rt.Fatal("no difference was made or refused")
		}
	})
}

// One endpoint of 228 leaves: the difference is a single row instead of 34 KB. No difference
// exists for texts in another format and for lists from before the history.
func TestDifferenceOfOneRowIsSmall(t *testing.T) {
	rows := map[string]VM{}
	for n := range 228 {
		rows[rowOf(n, 0).Name] = rowOf(n, 0)
	}
	var h History
	addList := func(revision uint64) {
		text := EncodeVMs(listOf(rows, nil))
		list, err := ParseVMs(Value{Revision: revision, Data: text})
		if err != nil {
			t.Fatal(err)
		}
		h.Add(list, text)
	}
	addList(10)
	vm := rowOf(7, 0)
	vm.State = Leaving
	rows[vm.Name] = vm
	addList(12)
	data, ok := h.Since(10)
	if !ok || len(data) > 300 {
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
	if len(h.steps) > maxSteps {
		t.Errorf("%d steps are recorded", len(h.steps))
	}
	h.Add(VMList{Revision: 999}, []byte(`{ "vms": [] }`))
	if _, ok := h.Since(998); ok {
		t.Error("a difference to a text in another format")
	}
}

func FuzzPatched(f *testing.F) {
	var h History
	text := EncodeVMs(listOf(map[string]VM{"i-001": rowOf(1, 0)}, nil))
	list, _ := ParseVMs(Value{Revision: 1, Data: text})
	h.Add(list, text)
	f.Add([]byte(`{"rows":[],"gone":["i-001"],"digest":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, _, err := h.Patched(2, data); err != nil && fault.KindOf(err) != fault.BadMessage {
			t.Errorf("error is not of kind BadMessage: %v", err)
		}
	})
}
