package fleetload

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// largeInstallation is the size of a large existing installation.
var largeInstallation = Size{Entries: 141, Endpoints: 421, Regions: 1, Domains: 4}

// BenchmarkEndpointLeaving measures what it costs an entry to learn from a peer that an endpoint is
// leaving, or to process a list in which one endpoint was replaced.
func BenchmarkEndpointLeaving(b *testing.B) {
	for _, size := range append([]Size{largeInstallation}, benchSizes...) {
		name := fmt.Sprintf("%d entries, %d endpoints", size.Entries, size.Endpoints)
		b.Run("evidence, "+name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				vms := benchVMs(size)
				c := newCore(b, size, vms)
				var out core.Actions
				b.StartTimer()
				for i := range 26 {
					c.PeerUpdate(time.Second, &message.Update{From: vms[size.Endpoints+1].Incarnation, Sequence: uint64(i + 1), State: message.EntryServing,
						Evidence: []message.Evidence{{VM: vms[i].Name, Incarnation: vms[i].Incarnation, Kind: message.EvidenceLeaving}}}, &out)
					out.Reset()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(26*b.N), "us/endpoint")
		})
		b.Run("list, "+name, func(b *testing.B) {
			vms := benchVMs(size)
			c := newCore(b, size, vms)
			var out core.Actions
			revision := uint64(1)
			for b.Loop() {
				revision++
				i := int(revision) % size.Endpoints
				vms[i].Incarnation++
				text := published.EncodeVMs(published.VMList{VMs: vms})
				list, err := published.ParseVMs(published.Value{Revision: revision, Data: text})
				if err != nil {
					b.Fatal(err)
				}
				c.Offer(time.Second, core.OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: revision, Digest: revision}, Source: assign.Platform, VMs: list}, &out)
				out.Reset()
			}
		})
	}
}
