package core

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against bounds that are too small for a fleet of 1,000 entries and 2,000 endpoints, all of
// which are replaced within minutes. With bounds of 256 peers and 1,024 pieces of evidence, nearly
// half of 472 entries heard nothing from one of the entries, and the oldest evidence was lost.
func TestThousandEntriesFitAllBounds(t *testing.T) {
	const entries, endpoints = 1000, 2000
	self := message.Hello{Name: "entry-0", Incarnation: 1, Region: "r", Domain: "d0", CallerAddress: "10.0.0.0:80", PeerAddress: "10.0.0.0:81"}
	c := New(DefaultConfig(self), rand.New(rand.NewPCG(1, 1)))
	var records []message.Record
	for i := 1; i < entries; i++ {
		records = append(records, message.Record{Name: fmt.Sprint("front-of-a-long-name-", i), Incarnation: uint64(i)<<40 + 1, Version: 1, Region: "r",
			Domain: fmt.Sprint("d", i%8), CallerAddress: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.9.%d.%d:8081", i/250, i%250),
			State: message.EntryServing, Capacity: 160})
	}
	var out Actions
	c.PullDone(sec, Pull{From: 2}, records, true, &out)
	offer := func(revision, incarnation uint64) {
		l := published.VMList{Revision: revision}
		for i := range endpoints {
			l.VMs = append(l.VMs, published.VM{Name: fmt.Sprint("endpoint-", i), Incarnation: incarnation, Role: published.EndpointRole, State: published.Live,
				Region: "r", Domain: "d0", Pool: "p", Address: fmt.Sprintf("10.10.%d.%d:80", i/250, i%250), Slots: 2})
		}
		c.Offer(2*sec, OfferedValue{Name: published.VMsValue, Mark: message.Mark{Revision: revision, Digest: revision}, VMs: l}, &out)
	}
	offer(1, 1)
	offer(2, 2)
	c.Tick(3*sec, c.wall, &out)
	c.Tick(4*sec, c.wall, &out)
	if got := len(c.PeerAddresses(nil)); got != entries-1 {
		t.Errorf("%d other entries are known, want all", got)
	}
	if got := c.RecordSet(); got.Count != entries {
		t.Errorf("the record set counts %d entries", got.Count)
	}
	links := c.LinkAddresses(nil)
	if t.Logf("%d links", len(links)); len(links) == 0 || len(links) > 50 {
		t.Errorf("%d links", len(links))
	}
	if got := len(c.fleet.rows); got != endpoints {
		t.Errorf("%d endpoints have a row, want all", got)
	}
	// Each endpoint's first incarnation is gone, and the fleet has to be notified of that.
	if got := c.fleet.gossip.Stats().Stored; got < endpoints {
		t.Errorf("only %d pieces of evidence are stored", got)
	}
	data, err := wire.MarshalRecords(c.UnmarkedRecords(nil))
	if t.Logf("all records take %d bytes, their marks %d", len(data), 5*len(c.fleet.gossip.Marks(nil))); err != nil || len(data) > 1<<20 {
		t.Errorf("all records take %d bytes, %v", len(data), err)
	}
	if got := len(c.EntriesNear("d1", 64)); got != minNamedEntries {
		t.Errorf("the directory returns %d entries", got)
	}
}
