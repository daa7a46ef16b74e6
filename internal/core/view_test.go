package core

import (
	"testing"
	"time"
)

// BenchmarkView is how long an operator's page holds the core's lock at the
// two-year size, during which requests wait.
func BenchmarkView(b *testing.B) {
	c, _ := benchCore(b)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		if v := c.View(time.Hour); len(v.Endpoints) != benchEndpoints {
			b.Fatalf("%d endpoints", len(v.Endpoints))
		}
	}
}
