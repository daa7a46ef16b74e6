package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/published"
)

// registered returns an endpoint at address x that was registered at a revision of the platform.
func registered(name string, at uint64) published.VM {
	vm := parseVM(name + "/1,@x")
	vm.Registered = at
	return vm
}

func endpointNames(t *Table) (names []string) {
	for _, e := range t.Endpoints(nil) {
		names = append(names, e.VM.Name)
	}
	return names
}

// Guards against the final loss of a live endpoint whose address an endpoint had that has ended and
// is still listed.
func TestEndpointWithReusedAddressIsKept(t *testing.T) {
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		live, ended := registered(names[0], 20), registered(names[1], 10)
		for _, learned := range []string{"together", "live first", "ended first", "by difference"} {
			t.Run(fmt.Sprint(learned, ", live is ", live.Name), func(t *testing.T) {
				table := New(Config{Self: 1, Region: "r1", ListIsFinal: true})
				both := published.VMList{Revision: 2, VMs: []published.VM{live, ended}}
				slices.SortFunc(both.VMs, func(a, b published.VM) int { return int(a.Name[0]) - int(b.Name[0]) })
				switch learned {
				case "live first":
					table.ApplyList(0, published.VMList{Revision: 1, VMs: []published.VM{live}})
				case "ended first":
					table.ApplyList(0, published.VMList{Revision: 1, VMs: []published.VM{ended}})
				case "by difference":
					table.ApplyList(0, published.VMList{Revision: 1, VMs: []published.VM{ended}})
					table.ApplyDifference(0, &published.Difference{After: 1, Revision: 2, Rows: []published.VM{live}})
				}
				table.ApplyList(0, both)
				table.ApplyDifference(0, &published.Difference{After: 2, Revision: 3})
				if got := endpointNames(table); !slices.Equal(got, []string{live.Name}) {
					t.Errorf("with both listed, the endpoints are %v", got)
				}
				table.ApplyDifference(0, &published.Difference{After: 3, Revision: 4, Gone: []string{ended.Name}})
				table.Tick(0)
				if got := endpointNames(table); !slices.Equal(got, []string{live.Name}) {
					t.Errorf("with the ended one gone, the endpoints are %v", got)
				}
				if evidence := table.TakeEvidence(nil); len(evidence) > 0 {
					t.Errorf("evidence %+v was spread on the word of a shared address", evidence)
				}
			})
		}
	}
}

// Guards against the final loss of a live endpoint where the list does not tell which of two endpoints
// at an address is the later one.
func TestEndpointOfUnknownOrderReturnsToItsAddress(t *testing.T) {
	for _, live := range []string{"a", "b"} {
		ended := map[string]string{"a": "b", "b": "a"}[live]
		table := New(Config{Self: 1, Region: "r1", ListIsFinal: true})
		both := []published.VM{registered("a", 0), registered("b", 0)}
		table.ApplyList(0, published.VMList{Revision: 1, VMs: both})
		used := endpointNames(table)
		table.ApplyList(0, published.VMList{Revision: 2, VMs: both})
		table.ApplyDifference(0, &published.Difference{After: 2, Revision: 3})
		if got := endpointNames(table); len(got) != 1 || !slices.Equal(got, used) {
			t.Errorf("the endpoint at the address changed from %v to %v while the list was the same", used, got)
		}
		table.ApplyDifference(0, &published.Difference{After: 3, Revision: 4, Gone: []string{ended}})
		table.Tick(0)
		if got := endpointNames(table); !slices.Equal(got, []string{live}) {
			t.Errorf("with %s gone, the endpoints are %v", ended, got)
		}
	}
}

// Guards against a live endpoint that is out of use because of a row with its address for a service that
// nothing uses.
func TestRowOfUnusedPoolTakesNoAddress(t *testing.T) {
	live, odd := registered("live", 10), registered("odd", 20)
	live.Pool, odd.Pool = "orders", "elsewhere"
	for _, learned := range []string{"list first", "pools first", "odd first"} {
		t.Run(learned, func(t *testing.T) {
			table := New(Config{Self: 1, Region: "r1", ListIsFinal: true})
			both := []published.VM{live, odd}
			switch learned {
			case "list first":
				table.ApplyList(0, published.VMList{Revision: 1, VMs: both})
				table.SetPools(0, []string{"orders"})
			case "pools first":
				table.SetPools(0, []string{"orders"})
				table.ApplyList(0, published.VMList{Revision: 1, VMs: both})
			case "odd first":
				table.SetPools(0, []string{"orders"})
				table.ApplyList(0, published.VMList{Revision: 0, VMs: []published.VM{odd}})
				table.ApplyDifference(0, &published.Difference{After: 0, Revision: 1, Rows: []published.VM{live}})
			}
			if got := endpointNames(table); !slices.Equal(got, []string{"live"}) {
				t.Errorf("the endpoints are %v", got)
			}
			table.SetPools(0, []string{"elsewhere", "orders"})
			if got := endpointNames(table); !slices.Equal(got, []string{"odd"}) {
				t.Errorf("once its service is used, the endpoints are %v, want the one that was registered later", got)
			}
		})
	}
}

// Guards against a live endpoint that is out of use because of a row with its address, which was
// registered later for a service in use: the endpoint's own answer decides.
func TestEndpointThatAnswersTakesItsAddressBack(t *testing.T) {
	live, odd := registered("live", 10), registered("odd", 20)
	odd.Pool = "other"
	table := New(Config{Self: 1, Region: "r1", ListIsFinal: true})
	uses := func(step, want string) {
		t.Helper()
		if got := endpointNames(table); !slices.Equal(got, []string{want}) {
			t.Errorf("%s: the endpoints are %v, want %s", step, got, want)
		}
	}
	table.ApplyList(0, published.VMList{Revision: 20, VMs: []published.VM{live, odd}})
	uses("both are listed", "odd")
	if got := table.Contested(); len(got) != 1 || got[0].Name != "live" {
		t.Errorf("contested: %v", got)
	}
	table.AnsweredAt(0, "live", "elsewhere")
	table.AnsweredAt(0, "unknown", live.Address)
	uses("answers from elsewhere", "odd")
	table.AnsweredAt(0, "live", live.Address)
	uses("it has answered", "live")
	table.ApplyList(0, published.VMList{Revision: 20, VMs: []published.VM{live, odd}})
	table.ApplyDifference(0, &published.Difference{After: 20, Revision: 25, Rows: []published.VM{odd}})
	uses("the odd row is written again", "live")
	next := registered("next", 30)
	table.ApplyDifference(0, &published.Difference{After: 25, Revision: 30, Rows: []published.VM{next}})
	uses("an endpoint is registered after the answer", "next")
	table.AnsweredAt(0, "next", next.Address)
	table.ApplyDifference(0, &published.Difference{After: 30, Revision: 31, Gone: []string{"next"}})
	uses("that endpoint is gone", "live")
	if evidence := table.TakeEvidence(nil); len(evidence) > 0 {
		t.Errorf("evidence %+v was spread on the word of a shared address", evidence)
	}
}
