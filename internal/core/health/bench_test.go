package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

func BenchmarkObserve(b *testing.B) {
	e := &table.Endpoint{Slots: 2}
	o := Observation{Latency: ordinary, Expected: ordinary, Queued: 1}
	b.ReportAllocs()
	for b.Loop() {
		Observe(time.Minute, e, o)
	}
}

func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{6, 19, 560} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := newFleet(n, only(0, 0, Observation{})).run(20 * time.Second)
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				f.events = Sweep(f.now, &f.pool, f.limits, rng, f.events[:0])
			}
		})
	}
}
