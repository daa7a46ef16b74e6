package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// BenchmarkTick is one tick of 10 ms of one entry in a calm fleet: who is due,
// the messages composed and acked.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{15, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(5 * time.Second)
			node, now := f.nodes[f.ids[0]], f.now
			sightings := make([]message.Sighting, 19)
			for i := range sightings {
				sightings[i].Endpoint = fmt.Sprint("endpoint-", i)
			}
			var due []uint64
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += step
				sightings[i%len(sightings)].InFlight++
				due = node.Due(now, due[:0])
				for _, to := range due {
					if u, ok := node.Compose(now, to, sightings); ok {
						node.Done(now, to, u.Sequence, true)
					}
				}
			}
		})
	}
}
