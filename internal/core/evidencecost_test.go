package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// newHarnessWithFleet returns a harness whose first entry knows a fleet and its endpoints.
func newHarnessWithFleet(t testing.TB, entries, endpoints int) (*clusterHarness, published.VMList) {
	h := newClusterHarness(t, entries)
	list := published.VMList{Revision: 1}
	for i := range endpoints {
		list.VMs = append(list.VMs, published.VM{Name: fmt.Sprintf("i-%04d", i), Incarnation: 1, Role: published.EndpointRole,
			State: published.Live, Region: "r", Domain: fmt.Sprintf("d%d", i%3), Pool: "counts", Slots: 2,
			Address: fmt.Sprintf("10.1.%d.%d:80", i/200, 1+i%200)})
	}
	h.publish(published.VMsValue, 1, string(published.EncodeVMs(list)))
	n := h.nodes[0]
	for _, name := range []string{published.ProfilesValue, published.VMsValue} {
		h.offer(n, h.values[name], 0)
	}
	for _, other := range h.nodes[1:] {
		h.do(n, func(now time.Duration, out *Actions) { n.HelloReceived(now, other.currentHello(), out) })
	}
	return h, list
}

// Guards against evidence on any one VM whose cost grows with the fleet: each piece made an entry
// assign all services anew and sort all endpoints. That took 3.7 ms of a whole core at 141 entries
// and 421 endpoints, against 0.08 ms at 15 and 33. The departure of 26 endpoints at once, first
// leaving and then gone, took 1.2 s of an entry with 0.16 of a core. Such an entry spread evidence
// so late that one of 141 entries sent a read to an endpoint that had reported 2.6 s before that it
// was leaving. The test counts allocations, which do not depend on the machine.
func TestEvidenceCostDoesNotGrowWithFleet(t *testing.T) {
	cost := func(entries, endpoints int) float64 {
		h, list := newHarnessWithFleet(t, entries, endpoints)
		n, from := h.nodes[0], h.nodes[1].hello.Incarnation
		next := 0
		var out Actions
		return testing.AllocsPerRun(20, func() {
			vm := list.VMs[next]
			next++
			u := message.Update{From: from, Sequence: uint64(next), State: message.EntryServing,
				Evidence: []message.Evidence{{VM: vm.Name, Incarnation: 1, Kind: message.EvidenceLeaving}}}
			n.PeerUpdate(time.Second, &u, &out)
			out.Reset()
		})
	}
	small, large := cost(15, 33), cost(141, 421)
	t.Logf("%.0f allocations at 15 entries, %.0f at 141", small, large)
	if large > 2*small || large > 60 {
		t.Errorf("%.0f allocations for one piece of evidence at 141 entries and 421 endpoints, %.0f at 15 and 33", large, small)
	}
}
