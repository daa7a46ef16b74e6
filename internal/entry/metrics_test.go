package entry

import (
	"testing"
	"time"
)

// BenchmarkInstruments is what measuring adds to each request: the head and the
// end of one answer.
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
