package entry

import (
	"testing"
	"time"
)

// BenchmarkInstruments measures the cost of the metrics of one request: those of the head and of
// the end of its answer.
func BenchmarkInstruments(b *testing.B) {
	m := newInstruments()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.recordHead(3*time.Millisecond, 2*time.Millisecond)
			m.countEnding("live-counts", endedDone, 3*time.Millisecond)
		}
	})
}
