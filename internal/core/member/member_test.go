package member

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
	"pgregory.net/rapid"
)

// parseVM parses "name/incarnation,option": VMs with names that start with "entry" are entries, all
// others endpoints of pool "p". The option "@x" is an address, which otherwise is the name;
// "leaving" is a state and any other option a region.
func parseVM(text string) published.VM {
	options := strings.Split(text, ",")
	name, incarnation, _ := strings.Cut(options[0], "/")
	vm := published.VM{Name: name, Role: published.EndpointRole, Pool: "p", Region: "r1", Address: name, State: published.Live}
	vm.Incarnation, _ = strconv.ParseUint(incarnation, 10, 64)
	if strings.HasPrefix(name, "entry") {
		vm.Role, vm.Pool = published.EntryRole, ""
	}
	for _, option := range options[1:] {
		switch {
		case option == "leaving":
			vm.State = published.Leaving
		case strings.HasPrefix(option, "@"):
			vm.Address = option[1:]
		default:
			vm.Region = option
		}
	}
	return vm
}

func show(changes []Change) (lines []string) {
	for _, c := range changes {
		line := c.Kind.String()
		if c.VM.Name != "" {
			line += fmt.Sprintf(" %s/%d", c.VM.Name, c.VM.Incarnation)
		}
		lines = append(lines, line+": "+c.Why)
	}
	return lines
}

func showView(t *Table) (lines []string) {
	for _, e := range t.Endpoints(nil) {
		lines = append(lines, fmt.Sprintf("%s/%d %s missing=%v", e.VM.Name, e.VM.Incarnation, e.VM.State, e.Missing))
	}
	for _, e := range t.Entries(nil) {
		lines = append(lines, fmt.Sprintf("%s/%d %s usable=%v suspected=%v", e.VM.Name, e.VM.Incarnation, e.VM.State, e.Usable(), e.Suspected))
	}
	return lines
}

var evidenceKinds = map[string]message.EvidenceKind{
	"leaving": message.EvidenceLeaving, "replaced": message.EvidenceReplaced, "stopped": message.EvidenceStopped,
}

// runCommand runs the command of one line of a golden file, followed by VMs and key=value pairs.
func runCommand(t *testing.T, table *Table, now time.Duration, fields []string) []string {
	numbers := map[string]uint64{"state": uint64(message.EntryServing)}
	var vms []published.VM
	for _, field := range fields[1:] {
		if key, value, pair := strings.Cut(field, "="); pair {
			numbers[key], _ = strconv.ParseUint(value, 10, 64)
		} else {
			vms = append(vms, parseVM(field))
		}
	}
	vm := append(vms, published.VM{})[0]
	switch fields[0] {
	case "list":
		return show(table.ApplyList(now, published.VMList{Revision: numbers["rev"], VMs: vms}))
	case "leaving", "replaced", "stopped":
		return show(table.ApplyEvidence(now, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: evidenceKinds[fields[0]]}))
	case "heard":
		return show(table.Heard(now, vm.Incarnation, message.EntryState(numbers["state"])))
	case "hello":
		return show(table.HelloReceived(now, vm))
	case "answered":
		return show(table.Answered(now, vm.Name, vm.Incarnation))
	case "unreachable":
		table.Unreachable(vm.Incarnation)
	case "tick":
		return show(table.Tick(now))
	case "pause":
		table.Pause(now, time.Duration(numbers["gap"])*time.Second)
	case "view":
		return showView(table)
	case "evidence":
		var lines []string
		for _, e := range table.TakeEvidence(nil) {
			lines = append(lines, fmt.Sprintf("%s/%d kind=%d", e.VM, e.Incarnation, e.Kind))
		}
		return lines
	default:
		t.Fatalf("unknown command %s", fields[0])
	}
	return nil
}

func TestMemberScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := New(Config{Self: 1, Region: "r1"})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				fields := strings.Fields(line)
				seconds, _ := strconv.ParseFloat(fields[0], 64)
				for _, result := range runCommand(t, table, time.Duration(seconds*float64(time.Second)), fields[1:]) {
					fmt.Fprintf(&b, "%s %s: %s\n", fields[0], fields[1], result)
				}
			}
			return b.String()
		})
	})
}

// Guards against one kind of evidence overruling another, which would send requests to an endpoint
// that drains. For lists, evidence and pauses in any order, an incarnation that left or ended is
// never shown as live again.
func TestDepartedIncarnationIsNeverLiveAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := New(Config{Self: 1, Region: "r1"})
		final := make(map[string]bool)
		var now time.Duration
		var revision uint64
		names := []string{"a", "b", "c", "entry-x", "entry-y"}
		drawVM := func() published.VM {
			vm := parseVM(rapid.SampledFrom(names).Draw(rt, "name"))
			vm.Incarnation = rapid.Uint64Range(1, 4).Draw(rt, "incarnation")*10 + uint64(len(vm.Name))
			vm.State = rapid.SampledFrom([]published.State{published.Live, published.Leaving}).Draw(rt, "state")
			return vm
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second
			var changes []Change
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				revision += rapid.Uint64Range(0, 2).Draw(rt, "growth")
				list := published.VMList{Revision: revision}
				for range rapid.IntRange(0, 5).Draw(rt, "size") {
					list.VMs = append(list.VMs, drawVM())
				}
				changes = table.ApplyList(now, list)
			case 2:
				vm := drawVM()
				kind := message.EvidenceKind(rapid.IntRange(1, 3).Draw(rt, "kind"))
				changes = table.ApplyEvidence(now, message.Evidence{VM: vm.Name, Incarnation: vm.Incarnation, Kind: kind})
				final[fmt.Sprint(vm.Name, vm.Incarnation)] = true
			case 3:
				changes = table.Heard(now, drawVM().Incarnation, message.EntryState(rapid.IntRange(0, 3).Draw(rt, "state")))
			case 4:
				changes = table.HelloReceived(now, drawVM())
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
				if final[fmt.Sprint(e.VM.Name, e.VM.Incarnation)] && e.VM.State == published.Live {
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
