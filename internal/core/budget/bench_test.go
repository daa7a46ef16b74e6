package budget

import (
	"testing"
	"time"
)

func BenchmarkWatch(b *testing.B) {
	w := NewWatch(WatchConfig{Share: 0.01, LargestFleet: 15})
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		w.TrySpend(now, 32)
	}
}
