package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkContentHash measures the cost of ContentHash, which every request pays.
func BenchmarkContentHash(b *testing.B) {
	for _, c := range []struct {
		name string
		size int
	}{{"no body", 0}, {"2 KB", 2 << 10}, {"60 KB", 60 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			r, _ := http.NewRequest("POST", "http://tray.example/counts/hall-7?day=3&sort=new", strings.NewReader(strings.Repeat("x", c.size)))
			body, err := NewReplayBody(httptest.NewRecorder(), r, BodyLimits{Buffer: 1 << 20})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				ContentHash(r, body)
			}
		})
	}
}
