package core

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/published"
)

var largest = flag.Int("largest", 0, "a further size of fleet to simulate, such as 472; that takes minutes")

// fleetSizes returns the sizes of the simulated fleets.
func fleetSizes(t *testing.T) []int {
	t.Helper()
	if *largest > 0 {
		return []int{*largest}
	}
	return []int{15, 141}
}

// Guards against audit lines that are lost when many changes come at once. The platform's first
// list names 421 endpoints, and three entries are suspected at the same moment. With one line for
// each endpoint from each of 141 entries, the bound on the log left out the three lines that an
// operator needs.
func TestManyChangesAreAuditedInOneLine(t *testing.T) {
	var changes []member.Change
	for i := range 424 {
		kind := member.EndpointAdded
		if i%150 == 10 {
			kind = member.EntrySuspected
		}
		changes = append(changes, member.Change{Kind: kind, VM: published.VM{Name: fmt.Sprint("vm-", i), Role: published.EndpointRole}, Why: "listed"})
	}
	var out Actions
	auditChanges(changes, "list", &out)
	var lines []string
	for _, n := range out.Notes {
		lines = append(lines, n.Action+" "+n.Subject)
	}
	want := []string{"endpoint-added endpoint vm-0", "entry-suspected endpoint vm-10", "entry-suspected endpoint vm-160", "entry-suspected endpoint vm-310"}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if why := out.Notes[0].Why; why != "listed; with 420 others, among them vm-1, vm-2, vm-3, vm-4, vm-5, vm-6, vm-7, vm-8" {
		t.Error(why)
	}
}

// A failure domain has ten entries with 0.8 of a core and eighteen with less. When callers were
// sent to all of them, each entry saw a few requests a second, knew little of the endpoints and
// opened a connection for nearly each request. Callers must be sent to the eight strongest entries,
// whichever entry they ask. Others replace entries that die, and more are named when the request
// rate needs them.
func TestCallersAreSentToStrongestEntries(t *testing.T) {
	t.Parallel()
	f := newLargeFleet(t, 141)
	f.run(10 * sec)
	named := f.vms[0].EntriesNear("d0", 64)
	for _, e := range f.vms {
		if diff := cmp.Diff(named, e.EntriesNear("d0", 64)); diff != "" {
			t.Fatalf("%s names other entries (-entry-000 +it):\n%s", e.hello.Name, diff)
		}
	}
	if len(named) != minNamedEntries {
		t.Fatalf("%d entries are named: %v", len(named), named)
	}
	byAddress := map[string]*largeEntry{}
	for _, e := range f.vms {
		byAddress[e.hello.CallerAddress] = e
	}
	for i, address := range named {
		if e := byAddress[address]; f.cpuShare(e.vm) != 0.8 || e.hello.Domain != "d0" {
			t.Errorf("%s of %s with %v of a core is named", e.hello.Name, e.hello.Domain, f.cpuShare(e.vm))
		} else if i%2 == 0 {
			e.dead = true
		}
	}
	f.run(4 * sec)
	for _, e := range f.vms {
		again := e.EntriesNear("d0", 64)
		dead := slices.ContainsFunc(again, func(address string) bool { return byAddress[address].dead })
		if !e.dead && (len(again) != minNamedEntries || dead) {
			t.Errorf("%s names %v, dead ones among them: %v", e.hello.Name, again, dead)
		}
	}
	asked := f.vms[1]
	for _, address := range asked.EntriesNear("d0", 64) {
		asked.fleet.peers[byAddress[address].hello.Incarnation].update.Rate = 300
	}
	if got := len(asked.EntriesNear("d0", 64)); got <= minNamedEntries {
		t.Errorf("only %d entries are named for 2,400 requests a second", got)
	}
}

// Hundreds of entries start together and know three seeds. When each had a link with every other
// one and built its lists again for each hello, 472 entries took half of a machine's memory before
// the first caller came. The number of links, and the bytes sent at the start, must not grow with
// the fleet.
func TestLargeFleetStarts(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newLargeFleet(t, n)
			f.run(300 * ms)
			took := f.until(20*sec, func(e *largeEntry) bool { return e.countUsable() == n })
			links, bytes := 0, 0
			f.run(5 * sec)
			for _, e := range f.vms {
				links, bytes = max(links, len(e.linked)), max(bytes, e.bytes)
			}
			t.Logf("%d entries know each other %v after the last start; at most %d links, %d bytes sent", n, took, links, bytes)
			if took > 2*sec {
				t.Errorf("all entries are known only after %v", took)
			}
			if links > 40 {
				t.Errorf("%d links", links)
			}
			before := make([]int, n)
			for i, e := range f.vms {
				before[i] = e.bytes
			}
			f.run(10 * sec)
			most := 0
			for i, e := range f.vms {
				most = max(most, e.bytes-before[i])
			}
			t.Logf("idle: at most %d bytes a second", most/10)
			if most > 10*9000 {
				t.Errorf("idle: %d bytes in 10 s", most)
			}
		})
	}
}

// An entry's VM loses power, and its connections fall silent. Until all other entries suspect it,
// callers are sent to it and each bound is divided with it: with heartbeats to every peer that took
// 35 s at 141 entries and 117 s at 472. No other entry may be suspected because of it, although a
// third of them have a sixth of a core.
func TestSilentEntryIsSuspectedByAll(t *testing.T) {
	t.Parallel()
	testSilentEntry(t, max(141, *largest))
}

// The same in a fleet where every entry sends to every other. Heartbeats to 14 peers come every
// 1.16 s, so silence that no failed message shows is noticed only after three of them.
func TestSilentEntryIsSuspectedInASmallFleet(t *testing.T) {
	t.Parallel()
	testSilentEntry(t, 15)
}

// The same around the size from which on entries send to some of the others only. In a fleet of 25
// where every entry sent to every other, each peer was heard every two seconds, and a silent one
// was suspected only after 5 s.
func TestSilentEntryIsSuspectedAtEachSize(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 10, 16, 20, 25, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { testSilentEntry(t, n) })
	}
}

// testSilentEntry lets one of n entries die silently.
func testSilentEntry(t *testing.T, n int) {
	const within = 3 * sec
	f := newLargeFleet(t, n)
	f.run(10 * sec)
	victim := n / 2
	f.vms[victim].dead = true
	took := f.until(30*sec, func(e *largeEntry) bool {
		known := e.entryOn(victim)
		return known == nil || known.Suspected
	})
	if t.Logf("%d entries suspect it after %v", n, took); took > within {
		t.Errorf("suspected by all after %v, want %v", took, within)
	}
	f.run(5 * sec)
	for _, e := range f.vms {
		if got := e.countUsable(); !e.dead && got != n-1 {
			t.Errorf("%s counts %d of %d entries as serving", e.hello.Name, got, n-1)
		}
	}
}

// A third of the VMs freeze for three seconds, lose what they send, or run at a tenth of their
// speed. Their entries report the peers that they do not hear as silent. A healthy entry must not
// be suspected by another healthy entry because of that, or callers of a failure domain would be
// sent to the few entries left.
func TestHealthyEntriesAreNotSuspected(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"frozen", "mute", "slow", "one direction in eight is cut"} {
		for _, n := range fleetSizes(t) {
			t.Run(fmt.Sprint(fault, " ", n), func(t *testing.T) {
				f := newLargeFleet(t, n)
				f.run(10 * sec)
				faulty := func(vm int) bool { return vm%3 == 1 }
				began := make([]int, n)
				for i, e := range f.vms {
					began[i] = len(e.notes)
					if fault == "frozen" && faulty(i) {
						e.frozenUntil = f.now + 3*sec
					}
				}
				switch fault {
				case "mute":
					f.cut = func(from, _ int) bool { return faulty(from) }
				case "slow":
					healthy := f.cpuShare
					f.cpuShare = func(vm int) float64 {
						if faulty(vm) {
							return healthy(vm) / 10
						}
						return healthy(vm)
					}
				case "one direction in eight is cut":
					faulty = func(int) bool { return false }
					f.cut = func(from, to int) bool { return (from*31+to*17)%4 == 0 && from < to }
				}
				f.run(10 * sec)
				wrong := map[string]int{}
				for i, e := range f.vms {
					if faulty(i) {
						continue
					}
					for _, note := range e.notes[began[i]:] {
						var vm int
						if _, err := fmt.Sscanf(note.Subject, "entry entry-%d", &vm); err == nil && note.Action == "entry-suspected" && !faulty(vm) {
							wrong[strings.TrimRight(note.Why, "0123456789.ms")]++
						}
					}
				}
				if fault == "one direction in eight is cut" {
					t.Logf("suspected meanwhile: %v", wrong) // by entries whose own direction is cut, and for a moment by others
				} else if len(wrong) > 0 {
					t.Errorf("healthy entries suspected: %v", wrong)
				}
				f.cut = func(int, int) bool { return false }
				took := f.until(20*sec, func(e *largeEntry) bool { return e.countUsable() == n })
				t.Logf("all entries know each other %v after the fault", took)
				if took > 10*sec {
					t.Errorf("all entries know each other only %v after the fault", took)
				}
			})
		}
	}
}

// The entries of a failure domain, or more than half of all entries, lose power, and their
// connections fall silent. After six seconds no entry may name any of them to callers: the three
// within which the fleet counts as calm again, and three more.
func TestDirectoryNamesNoDeadEntries(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		for name, dies := range map[string]func(vm int) bool{
			"a failure domain": func(vm int) bool { return vm%5 == 2 },
			"55 of 100":        func(vm int) bool { return vm%20 < 11 },
		} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				f := newLargeFleet(t, n)
				f.run(10 * sec)
				byAddress := map[string]*largeEntry{}
				for vm, e := range f.vms {
					e.dead = dies(vm)
					byAddress[e.hello.CallerAddress] = e
				}
				f.run(6 * sec)
				for _, e := range f.vms {
					for d := range 5 {
						for _, address := range e.EntriesNear(fmt.Sprint("d", d), 64) {
							if !e.dead && byAddress[address].dead {
								t.Fatalf("%s names %s, which died", e.hello.Name, byAddress[address].hello.Name)
							}
						}
					}
				}
			})
		}
	}
}

// A fleet is split into halves for 20 s, and for 90 s, after which each half has forgotten the
// other. If no entry dialled the addresses that were lost, callers of one half would never be sent
// to the other again.
func TestLargePartitionHeals(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		for _, lasts := range []time.Duration{20 * sec, 90 * sec} {
			t.Run(fmt.Sprint(n, " ", lasts), func(t *testing.T) {
				f := newLargeFleet(t, n)
				f.run(10 * sec)
				f.cut = func(from, to int) bool { return from%2 != to%2 }
				f.run(lasts)
				for _, e := range f.vms {
					if got, own := e.countUsable(), (n+1-e.vm%2)/2; got != own {
						t.Fatalf("%s counts %d entries as serving, its half has %d", e.hello.Name, got, own)
					}
				}
				f.cut = func(int, int) bool { return false }
				took := f.until(30*sec, func(e *largeEntry) bool { return e.countUsable() == n })
				t.Logf("%d entries know each other %v after a partition of %v", n, took, lasts)
				if took > 5*sec {
					t.Errorf("all entries are known only after %v", took)
				}
			})
		}
	}
}

// More than half of the entries, seeds among them, are killed at once and start again half a second
// later. The entries that stayed and those that restarted must know each other within seconds.
func TestFleetRecoversFromMassRestart(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newLargeFleet(t, n)
			f.run(10 * sec)
			f.killMany()
			f.run(800 * ms)
			took := f.until(30*sec, func(e *largeEntry) bool { return e.countUsable() == n })
			t.Logf("%d entries know each other %v after the last start", n, took)
			if took > 4*sec {
				t.Errorf("all entries are known only after %v", took)
			}
		})
	}
}
