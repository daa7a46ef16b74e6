package core

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// manyRoutes returns a snapshot of n routes to two services each.
func manyRoutes(tb testing.TB, n int, revision uint64, timeout route.Millis) *profile.Snapshot {
	tb.Helper()
	text, err := os.ReadFile("../../deploy/profiles.toml")
	if err != nil {
		tb.Fatal(err)
	}
	profiles, err := profile.Parse(text, 1)
	if err != nil {
		tb.Fatal(err)
	}
	d := route.Document{Services: []route.Service{{Name: "cotiza"}, {Name: "ordenes"}}}
	for i := range n {
		d.Routes = append(d.Routes, route.Route{
			Name: fmt.Sprintf("r%05d", i), Host: fmt.Sprintf("h%d.example", i%7), Prefix: fmt.Sprintf("/p%d/", i), Kind: route.Idempotent, Timeout: timeout, MaxAttempts: 3,
			Parts: []route.Part{{Service: "cotiza", Weight: 7}, {Service: "ordenes", Weight: 3}},
		})
	}
	table, err := route.Parse(route.Encode(d))
	if err != nil {
		tb.Fatal(err)
	}
	bound, err := profiles.Bind(table, revision, revision)
	if err != nil {
		tb.Fatal(err)
	}
	return bound
}

// coreWithEntries returns a core that knows n other entries in three failure domains.
func coreWithEntries(n int) *Core {
	c := New(DefaultConfig(message.Hello{Name: "self", Incarnation: 1, Region: "r", Domain: "d0", PeerAddress: "10.0.0.1:81", CallerAddress: "10.0.0.1:80"}), rand.New(rand.NewPCG(1, 2)))
	var out Actions
	for i := range n {
		id := uint64(i + 10)
		c.HelloReceived(time.Second, message.Hello{Name: fmt.Sprint("entry-", i), Incarnation: id, Region: "r", Domain: fmt.Sprint("d", i%3),
			PeerAddress: fmt.Sprintf("10.0.1.%d:81", i), CallerAddress: fmt.Sprintf("10.0.1.%d:80", i), Status: message.Update{From: id, State: message.EntryServing}}, &out)
	}
	c.Tick(time.Second, time.Time{}, &out)
	return c
}

// BenchmarkManyRoutesInForce measures how long the lock of the core is held while a configuration
// with many routes is put in force, and while services are assigned after a change of entries.
func BenchmarkManyRoutesInForce(b *testing.B) {
	for _, n := range []int{600, 1200, 2400} {
		few, many, changed := manyRoutes(b, 10, 2, 100), manyRoutes(b, n, 3, 100), manyRoutes(b, n, 4, 101)
		offer := func(c *Core, s *profile.Snapshot) {
			var out Actions
			c.Offer(2*time.Second, OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: s.Revision(), Digest: 1}, Source: 10, Profiles: s}, &out)
		}
		b.Run(fmt.Sprint("added/", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := coreWithEntries(215)
				offer(c, few)
				b.StartTimer()
				offer(c, many)
			}
		})
		b.Run(fmt.Sprint("changed/", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := coreWithEntries(215)
				offer(c, many)
				b.StartTimer()
				offer(c, changed)
			}
		})
		b.Run(fmt.Sprint("assigned/", n), func(b *testing.B) {
			c := coreWithEntries(215)
			offer(c, many)
			for b.Loop() {
				c.assignServices(3 * time.Second)
			}
		})
	}
}

// Guards against a configuration whose use takes a time that grows with the square of its routes,
// or with routes times entries.
func TestAssignmentOfManyRoutesLooksAtEachEntryOnce(t *testing.T) {
	const entries = 60
	allocations := func(routes int) float64 {
		c := coreWithEntries(entries)
		var out Actions
		c.Offer(2*time.Second, OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: 2, Digest: 1}, Source: 10, Profiles: manyRoutes(t, routes, 2, 100)}, &out)
		for _, p := range c.poolRows {
			if len(p.services) != routes || len(p.deciders) != entries+1 {
				t.Fatalf("pool %s has %d services and %d deciders, want %d and %d", p.Name, len(p.services), len(p.deciders), routes, entries+1)
			}
			for _, sv := range p.services {
				if want := len(c.serviceEntries(sv)); sv.entries != want {
					t.Fatalf("service %s counts %d entries, want %d", sv.name, sv.entries, want)
				}
				if c.rowsByService[sv.name] != sv || c.serviceRows[sv.index] != sv {
					t.Fatalf("service %s is not at its row", sv.name)
				}
			}
		}
		return testing.AllocsPerRun(3, func() { c.assignServices(3 * time.Second) })
	}
	few, many := allocations(500), allocations(1500)
	if many > 1.25*few {
		t.Errorf("an assignment allocates %v times for 500 routes and %v times for 1,500", few, many)
	}
}
