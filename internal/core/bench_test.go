package core

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

// Size of one region expected in two years.
const (
	benchServices  = 46
	benchEndpoints = 560
	benchPeers     = 30
)

// benchCore returns a core in a region of that size, with one pool for each service.
func benchCore(b *testing.B) (*Core, *Actions) {
	var text strings.Builder
	text.WriteString("format = 1\n[profile.read]\nkind = \"read\"\n")
	list := published.VMList{Revision: 1}
	for i := range benchServices {
		fmt.Fprintf(&text, "[service.s%d]\nprofile = \"read\"\n", i)
	}
	for i := range benchEndpoints {
		list.VMs = append(list.VMs, published.VM{Name: fmt.Sprintf("endpoint-%d", i), Incarnation: 1, Role: published.EndpointRole,
			State: published.Live, Region: "r", Domain: fmt.Sprint(i % 3), Address: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200),
			Pool: fmt.Sprintf("s%d", i%benchServices), Slots: 2})
	}
	snapshot, err := profile.Parse([]byte(text.String()), 1)
	if err != nil {
		b.Fatal(err)
	}
	hello := message.Hello{Name: "entry-0", Incarnation: 1, Region: "r", Domain: "0", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}
	c, out := New(DefaultConfig(hello), rand.New(rand.NewPCG(1, 2))), new(Actions)
	for i := range benchPeers {
		peer := message.Hello{Name: fmt.Sprintf("entry-%d", i+1), Incarnation: uint64(i + 2), Region: "r", Domain: fmt.Sprint(i % 3),
			CallerAddress: fmt.Sprintf("10.0.1.%d:80", i), PeerAddress: fmt.Sprintf("10.0.1.%d:81", i)}
		c.HelloReceived(0, peer, out)
	}
	mark := message.Mark{Revision: 1, Digest: 1}
	c.Offer(0, OfferedValue{Name: published.ProfilesValue, Mark: mark, Source: assign.Platform, Profiles: snapshot}, out)
	c.Offer(0, OfferedValue{Name: published.VMsValue, Mark: mark, Source: assign.Platform, VMs: list}, out)
	out.Reset()
	return c, out
}

// BenchmarkRequest measures the core's cost of one request: its arrival, the choice of an endpoint,
// the head of the answer and its end.
func BenchmarkRequest(b *testing.B) {
	c, out := benchCore(b)
	now := 15 * time.Second
	c.Tick(now, time.Time{}, out)
	services := make([]string, benchServices)
	for i := range services {
		services[i] = fmt.Sprintf("s%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := RequestID(i + 1)
		now += 20 * time.Microsecond
		out.Reset()
		c.Arrive(now, Arrival{ID: id, Service: services[i%benchServices], Caller: uint64(i % 97), Replayable: true}, out)
		if len(out.Directives) != 1 || out.Directives[0].Step != StepDispatch {
			b.Fatalf("%+v", out.Directives)
		}
		c.Head(now, Head{ID: id, Attempt: 1, Status: 200, Load: Load{Known: true, Slots: 2}}, out)
		c.End(now, End{ID: id, Attempt: 1, Kind: EndComplete, Replayable: true}, out)
	}
}

// BenchmarkTick measures the mean cost of a tick while peers' heartbeats come in, including the
// work that runs less often than every tick. Ticks are 5 ms apart.
func BenchmarkTick(b *testing.B) {
	c, out := benchCore(b)
	now, sequence := 15*time.Second, uint64(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 5 * time.Millisecond
		out.Reset()
		if i%10 == 0 {
			sequence++
			u := message.Update{From: uint64(2 + sequence%benchPeers), Sequence: sequence, State: message.EntryServing, Epoch: 1,
				Profiles: message.Mark{Revision: 1, Digest: 1}, VMs: message.Mark{Revision: 1, Digest: 1}}
			c.PeerUpdate(now, &u, out)
		}
		c.Tick(now, time.Time{}, out)
		for _, u := range out.Updates {
			c.UpdateDone(now, u.To, u.Update.Sequence, message.Receipt{Acked: true})
		}
	}
}
