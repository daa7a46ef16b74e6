package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against an entry that drops endpoints too early or keeps them forever after an outage of
// the configuration service, in which the list's rows of most endpoints expired. They are listed
// again two seconds after the service returns. If missing endpoints were dropped at once, all
// requests would go to the first one that is listed again; if they were kept for good, requests
// would go to endpoints that have ended. They stay for a short time, marked as missing, and an
// endpoint that is not listed again is dropped whether it still answers or not.
func TestFinalListDropsMissingEndpointsAfterDelay(t *testing.T) {
	const missing, last = 1400 * time.Millisecond, 1700 * time.Millisecond
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true, MissingAfter: missing, KeepLast: last})
	list := func(revision uint64, names ...string) published.VMList {
		l := published.VMList{Revision: revision}
		for _, name := range names {
			l.VMs = append(l.VMs, parseVM(name+"/1"))
		}
		return l
	}
	kinds := func(changes []Change) string {
		var out []string
		for _, c := range changes {
			out = append(out, c.Kind.String()+" "+c.VM.Name)
		}
		return fmt.Sprint(out)
	}
	table.ApplyList(0, list(1, "a", "b", "c", "d"))
	if got := kinds(table.ApplyList(time.Second, list(2, "a"))); got != "[endpoint-missing b endpoint-missing c endpoint-missing d]" {
		t.Errorf("missing endpoints: %s", got)
	}
	if got := kinds(table.ApplyList(1500*time.Millisecond, list(3, "a", "b"))); got != "[endpoint-listed b]" {
		t.Errorf("endpoints listed again: %s", got)
	}
	table.Answered(2*time.Second, "c", 1)
	if got := kinds(table.Tick(2300 * time.Millisecond)); got != "[]" {
		t.Errorf("dropped too early: %s", got)
	}
	if got := kinds(table.Tick(time.Second + missing)); got != "[endpoint-gone c endpoint-gone d]" {
		t.Errorf("dropped endpoints: %s", got)
	}
	table.ApplyList(10*time.Second, list(4))
	if got := kinds(table.Tick(10*time.Second + missing)); got != "[]" {
		t.Errorf("the last endpoints were dropped too early: %s", got)
	}
	if got := kinds(table.Tick(10*time.Second + last)); got != "[endpoint-gone a endpoint-gone b]" {
		t.Errorf("dropped last endpoints: %s", got)
	}
}

// Guards against requests to the last endpoints of a pool that have left without a notice, at an entry
// that hears of it late: the time for which they are kept counts from their removal.
func TestRemovedEndpointsAreKeptFromTheirRemoval(t *testing.T) {
	const last = 1440 * time.Millisecond
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true, MissingAfter: 1400 * time.Millisecond, KeepLast: last})
	table.ApplyList(0, published.VMList{Revision: 1, VMs: []published.VM{parseVM("a/1"), parseVM("b/1")}})
	const heard = 10 * time.Second
	table.ApplyDifference(heard, &published.Difference{After: 1, Revision: 2, Gone: []string{"a", "b"}, GoneAges: []time.Duration{650 * time.Millisecond, time.Second}})
	for _, c := range []struct {
		at   time.Duration
		live int
	}{{heard, 2}, {heard + last - time.Second, 1}, {heard + last - 651*time.Millisecond, 1}, {heard + last - 600*time.Millisecond, 0}} {
		table.Tick(c.at)
		if live := len(table.Endpoints(nil)); live != c.live {
			t.Errorf("%d endpoints at %v, want %d", live, c.at, c.live)
		}
	}
}

// Guards against requests to endpoints that have left, where more leave at once than departures were
// remembered: a list that lags names the first of them as live.
func TestManyDeparturesAreRemembered(t *testing.T) {
	const endpoints = 12_000
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true})
	l := published.VMList{Revision: 1}
	for i := range endpoints {
		l.VMs = append(l.VMs, parseVM(fmt.Sprintf("e%05d/1", i)))
	}
	table.ApplyList(0, l)
	for _, vm := range l.VMs {
		table.ApplyEvidence(time.Second, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: message.EvidenceStopped})
	}
	table.Tick(2 * time.Second)
	l.Revision++
	table.ApplyList(3*time.Second, l)
	if live := len(table.Endpoints(nil)); live != 0 {
		t.Errorf("%d of %d endpoints that have stopped are listed again", live, endpoints)
	}
}
