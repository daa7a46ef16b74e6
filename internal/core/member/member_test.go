package member

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/platform"
	"pgregory.net/rapid"
)

// parseVM reads "e1/3 domain state": names that start with "entry" are
// entries, the others endpoints of pool "p". An "@address" overrides the
// address, which otherwise is the name.
func parseVM(line string) platform.VM {
	fields := strings.Fields(line)
	name, incarnation, _ := strings.Cut(fields[0], "/")
	vm := platform.VM{Name: name, Role: platform.EndpointRole, Pool: "p", Region: "r1", Address: name, State: platform.Live}
	vm.Incarnation, _ = strconv.ParseUint(incarnation, 10, 64)
	if strings.HasPrefix(name, "entry") {
		vm.Role, vm.Pool = platform.EntryRole, ""
	}
	for _, field := range fields[1:] {
		switch {
		case field == "leaving":
			vm.State = platform.Leaving
		case strings.HasPrefix(field, "@"):
			vm.Address = field[1:]
		default:
			vm.Region = field
		}
	}
	return vm
}

func show(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.Kind.String())
		if c.VM.Name != "" {
			fmt.Fprintf(&b, " %s/%d", c.VM.Name, c.VM.Incarnation)
		}
		fmt.Fprintf(&b, ": %s\n", c.Why)
	}
	return b.String()
}

func showView(t *Table) string {
	var b strings.Builder
	for _, e := range t.Endpoints(nil) {
		fmt.Fprintf(&b, "%s/%d %s missing=%v\n", e.VM.Name, e.VM.Incarnation, e.VM.State, e.Missing)
	}
	for _, e := range t.Entries(nil) {
		fmt.Fprintf(&b, "%s/%d %s usable=%v suspected=%v\n", e.VM.Name, e.VM.Incarnation, e.VM.State, e.Usable(), e.Suspected)
	}
	return b.String()
}

// session runs one command of a golden file at the time of its "at" argument.
func session(t *testing.T, table *Table, d *datadriven.TestData) string {
	var seconds float64
	var vm string
	var number uint64
	d.MaybeScanArgs(t, "at", &seconds)
	d.MaybeScanArgs(t, "vm", &vm)
	now := time.Duration(seconds * float64(time.Second))
	who := platform.VM{}
	if vm != "" {
		who = parseVM(vm)
	}
	switch d.Cmd {
	case "list":
		d.ScanArgs(t, "rev", &number)
		l := platform.VMList{Revision: number}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			if line != "" {
				l.VMs = append(l.VMs, parseVM(line))
			}
		}
		return show(table.ApplyList(now, l))
	case "leaving", "replaced", "stopped":
		kinds := map[string]message.EvidenceKind{"leaving": message.EvidenceLeaving, "replaced": message.EvidenceReplaced, "stopped": message.EvidenceStopped}
		return show(table.Claim(now, message.Evidence{VM: who.Name, Incarnation: who.Incarnation, Kind: kinds[d.Cmd]}))
	case "heard":
		var state uint64 = uint64(message.EntryServing)
		d.MaybeScanArgs(t, "state", &state)
		return show(table.Heard(now, who.Incarnation, message.EntryState(state)))
	case "introduce":
		return show(table.Introduce(now, who))
	case "answered":
		return show(table.Answered(now, who.Name, who.Incarnation))
	case "unreachable":
		table.Unreachable(who.Incarnation)
		return ""
	case "tick":
		return show(table.Tick(now))
	case "pause":
		var gap float64
		d.ScanArgs(t, "gap", &gap)
		table.Pause(now, time.Duration(gap*float64(time.Second)))
		return ""
	case "view":
		return showView(table)
	case "evidence":
		var b strings.Builder
		for _, e := range table.TakeEvidence(nil) {
			fmt.Fprintf(&b, "%s/%d kind=%d\n", e.VM, e.Incarnation, e.Kind)
		}
		return b.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := New(Config{Self: 1, Region: "r1"})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return session(t, table, d)
		})
	})
}

// A user would see work go to an endpoint that drains. Whatever lists, claims
// and pauses come in whatever order, an incarnation that left or ended must
// never be shown live again; the cause would be one kind of evidence
// overruling another.
func TestNeverBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := New(Config{Self: 1, Region: "r1"})
		final := make(map[string]bool)
		var now time.Duration
		var revision uint64
		names := []string{"a", "b", "c", "entry-x", "entry-y"}
		drawVM := func() platform.VM {
			vm := parseVM(rapid.SampledFrom(names).Draw(rt, "name"))
			vm.Incarnation = rapid.Uint64Range(1, 4).Draw(rt, "incarnation")*10 + uint64(len(vm.Name))
			vm.State = rapid.SampledFrom([]platform.State{platform.Live, platform.Leaving}).Draw(rt, "state")
			return vm
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second
			var changes []Change
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				revision += rapid.Uint64Range(0, 2).Draw(rt, "growth")
				list := platform.VMList{Revision: revision}
				for range rapid.IntRange(0, 5).Draw(rt, "size") {
					list.VMs = append(list.VMs, drawVM())
				}
				changes = table.ApplyList(now, list)
			case 2:
				vm := drawVM()
				kind := message.EvidenceKind(rapid.IntRange(1, 3).Draw(rt, "kind"))
				changes = table.Claim(now, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: kind})
				final[fmt.Sprint(vm.Name, vm.Incarnation)] = true
			case 3:
				changes = table.Heard(now, drawVM().Incarnation, message.EntryState(rapid.IntRange(0, 3).Draw(rt, "state")))
			case 4:
				changes = table.Introduce(now, drawVM())
			case 5:
				vm := drawVM()
				changes = table.Answered(now, vm.Name, vm.Incarnation)
			case 6:
				table.Pause(now, time.Second)
			}
			changes = append(changes, table.Tick(now)...)
			for _, c := range changes {
				if c.Kind == EndpointLeaving || c.Kind == EntryLeaving {
					final[fmt.Sprint(c.VM.Name, c.VM.Incarnation)] = true
				}
			}
			for _, e := range table.Endpoints(nil) {
				if final[fmt.Sprint(e.VM.Name, e.VM.Incarnation)] && e.VM.State == platform.Live {
					rt.Fatalf("%s/%d is live again", e.VM.Name, e.VM.Incarnation)
				}
			}
			for _, e := range table.Entries(nil) {
				if final[fmt.Sprint(e.VM.Name, e.VM.Incarnation)] && e.Usable() {
					rt.Fatalf("%s/%d is usable again", e.VM.Name, e.VM.Incarnation)
				}
			}
		}
	})
}
