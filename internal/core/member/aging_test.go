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
