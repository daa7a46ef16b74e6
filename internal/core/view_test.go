package core

import (
	"testing"
	"time"
)

// BenchmarkView measures how long an operator's page locks the core, during which requests wait, at
// the size expected in two years.
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
