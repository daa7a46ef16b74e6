package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

// Guards against an entry at rest that looks at each endpoint of a large fleet many times a second.
func TestListedEndpointsAreNotAged(t *testing.T) {
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true, MissingAfter: time.Second, KeepLast: time.Second})
	listOf := func(revision uint64, endpoints int) published.VMList {
		l := published.VMList{Revision: revision}
		for i := range endpoints {
			l.VMs = append(l.VMs, parseVM(fmt.Sprintf("endpoint-%04d/1", i)))
		}
		return l
	}
	check := func(when string, want int) {
		t.Helper()
		if got := len(table.rowsToAge()); got != want {
			t.Errorf("%s: %d rows are aged, want %d", when, got, want)
		}
	}
	table.ApplyList(0, listOf(1, 1000))
	check("all are listed", 0)
	table.ApplyList(time.Second, listOf(2, 999))
	check("one is missing", 1)
	table.Tick(3 * time.Second)
	check("the missing one was dropped", 0)
	table.ApplyList(4*time.Second, listOf(3, 998))
	table.ApplyList(5*time.Second, listOf(4, 999))
	check("the missing one is listed again", 0)
}

// Guards against an entry that is taken for a listed one again because its process has restarted: the
// list has stopped naming its VM.
func TestRestartedEntryStaysMissing(t *testing.T) {
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true, MissingAfter: time.Second, KeepLast: time.Second, GoneAfter: time.Hour})
	vm := parseVM("entry-a/7")
	table.ApplyList(0, published.VMList{Revision: 1, VMs: []published.VM{vm}})
	table.ApplyList(time.Second, published.VMList{Revision: 2})
	vm.Incarnation = 8
	table.HelloReceived(2*time.Second, vm)
	if entries := table.Entries(nil); len(entries) != 1 || !entries[0].Missing {
		t.Errorf("entries %+v, want one that is missing from the list", entries)
	}
}
