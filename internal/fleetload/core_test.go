package fleetload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

// wholeFleet is the size of the largest existing installation.
var wholeFleet = Size{Entries: 587, Endpoints: 5999, Regions: 1, Domains: 5}

// benchSizes are the size of an existing installation, the size that the project is designed for,
// and the size of the largest existing installation.
var benchSizes = []Size{
	{Entries: 15, Endpoints: 33, Regions: 1, Domains: 3},
	{Entries: targetEntries, Endpoints: targetEndpoints, Regions: 3, Domains: 8},
	wholeFleet,
}

func benchVMs(size Size) []published.VM {
	var vms []published.VM
	services := servicesFor(size.Endpoints)
	for i := range size.Endpoints {
		region, domain := size.location(i / services)
		vms = append(vms, published.VM{
			Name: fmt.Sprintf("endpoint-%03d", i+1), Incarnation: 1, Role: published.EndpointRole, State: published.Live,
			Region: region, Domain: domain, Pool: serviceName(i % services), Slots: endpointSlots,
			Address: fmt.Sprintf("127.20.0.1:%d", 1000+i),
		})
	}
	for i := range size.Entries {
		region, domain := size.location(i)
		vms = append(vms, published.VM{
			Name: fmt.Sprintf("entry-%02d", i+1), Incarnation: uint64(i + 1), Role: published.EntryRole, State: published.Live,
			Region: region, Domain: domain,
			Address: fmt.Sprintf("127.10.0.1:%d", 1000+i), PeerAddress: fmt.Sprintf("127.10.0.1:%d", 2000+i),
		})
	}
	return vms
}

// newCore returns the core of the first entry. It knows all VMs and has profiles in force.
func newCore(tb testing.TB, size Size, vms []published.VM) *core.Core {
	tb.Helper()
	hello := func(vm published.VM) message.Hello {
		return message.Hello{Version: message.Version, MinVersion: message.MinVersion, Name: vm.Name, Incarnation: vm.Incarnation,
			Region: vm.Region, Domain: vm.Domain, CallerAddress: vm.Address, PeerAddress: vm.PeerAddress}
	}
	self := vms[size.Endpoints]
	c := core.New(core.DefaultConfig(hello(self)), rand.New(rand.NewPCG(1, 2)))
	var out core.Actions
	snapshot, err := profile.Parse(document(servicesFor(size.Endpoints), 1), 1)
	if err != nil {
		tb.Fatal(err)
	}
	c.Offer(0, core.OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: 1, Digest: 1}, Source: assign.Platform, Profiles: snapshot}, &out)
	c.Offer(0, core.OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: 1, Digest: 1}, Source: assign.Platform,
		VMs: published.VMList{Revision: 1, VMs: vms}}, &out)
	for _, vm := range vms[size.Endpoints+1:] {
		c.HelloReceived(0, hello(vm), &out)
	}
	return c
}

// BenchmarkTick measures one tick of an idle entry, together with the heartbeat of one peer.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d entries, %d endpoints", size.Entries, size.Endpoints), func(b *testing.B) {
			vms := benchVMs(size)
			c := newCore(b, size, vms)
			const step = 5 * time.Millisecond
			var out core.Actions
			now, sequence := time.Duration(0), uint64(0)
			wall := time.Unix(1, 0)
			for b.Loop() {
				now += step
				sequence++
				peer := vms[size.Endpoints+1+int(sequence)%(size.Entries-1)]
				c.PeerUpdate(now, &message.Update{From: peer.Incarnation, Sequence: sequence, State: message.EntryServing}, &out)
				c.Tick(now, wall, &out)
				for i := range out.Updates {
					c.UpdateDone(now, out.Updates[i].To, out.Updates[i].Update.Sequence, message.Receipt{Acked: true})
				}
				out.Reset()
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/step.Seconds(), "%-of-a-core")
		})
	}
}

// BenchmarkMemory measures the heap that a core uses for the VMs, peers and profiles that it knows.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d entries, %d endpoints", size.Entries, size.Endpoints), func(b *testing.B) {
			vms := benchVMs(size)
			var used float64
			for b.Loop() {
				before, _ := memoryInUse()
				c := newCore(b, size, vms)
				after, _ := memoryInUse()
				used = float64(after) - float64(before)
				c.InFlight() // keeps c alive until here
			}
			b.ReportMetric(used/1024, "KB")
			b.ReportMetric(used/float64(len(vms)), "B/VM")
		})
	}
}

// BenchmarkParse measures parsing a profile document or a list of VMs. Each entry parses it once
// for each change.
func BenchmarkParse(b *testing.B) {
	for _, services := range []int{minServices, targetServices} {
		b.Run(fmt.Sprintf("%d services", services), func(b *testing.B) {
			text := document(services, 1)
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, err := profile.Parse(text, 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("list of 620 VMs", func(b *testing.B) {
		text := published.EncodeVMs(published.VMList{VMs: benchVMs(benchSizes[1])})
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			if _, err := published.ParseVMs(published.Value{Data: text, Revision: 1}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApply measures how long an entry takes to apply a list in which one VM was replaced, or
// a profile document. The entry makes no other decisions during this time.
func BenchmarkApply(b *testing.B) {
	size := benchSizes[1]
	vms := benchVMs(size)
	b.Run("list of 620 VMs", func(b *testing.B) {
		c := newCore(b, size, vms)
		var out core.Actions
		for i := uint64(2); b.Loop(); i++ {
			vms[0].Incarnation = i
			c.Offer(time.Duration(i)*time.Second, core.OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: i, Digest: i},
				Source: assign.Platform, VMs: published.VMList{Revision: i, VMs: vms}}, &out)
			out.Reset()
		}
	})
	b.Run("46 services", func(b *testing.B) {
		c := newCore(b, size, vms)
		snapshot, err := profile.Parse(document(targetServices, 2), 2)
		if err != nil {
			b.Fatal(err)
		}
		var out core.Actions
		for i := uint64(2); b.Loop(); i++ {
			c.Offer(time.Duration(i)*time.Second, core.OfferedValue{Name: published.ProfilesValue, Mark: message.Mark{Revision: i, Digest: i},
				Source: assign.Platform, Profiles: snapshot}, &out)
			out.Reset()
		}
	})
}
