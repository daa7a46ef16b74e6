package route

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a revision whose routes are those of an earlier one, because they were remembered.
func TestRememberedRoutesAreThoseOfTheDocument(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d Decoder
		for range rapid.IntRange(1, 6).Draw(rt, "revisions") {
			var doc Document
			for i := range rapid.IntRange(0, 8).Draw(rt, "routes") {
				r := Route{
					Name: fmt.Sprint("r", i), Host: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "host"), Prefix: fmt.Sprintf("/%d/", i), Kind: Idempotent,
					Timeout: Millis(rapid.IntRange(-1, 2).Draw(rt, "timeout")), MaxAttempts: 1,
				}
				for range rapid.IntRange(0, 3).Draw(rt, "parts") {
					r.Parts = append(r.Parts, Part{rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "service"), float64(rapid.IntRange(-1, 3).Draw(rt, "weight"))})
				}
				doc.Routes = append(doc.Routes, r)
			}
			data := Encode(doc)
			got, err := d.Parse(data)
			if err != nil {
				rt.Fatal(err)
			}
			want, err := Parse(data)
			if err != nil {
				rt.Fatal(err)
			}
			if diff := cmp.Diff(want.Routes(), got.Routes()); diff != "" {
				rt.Fatal(diff)
			}
			if diff := cmp.Diff(want.Problems(), got.Problems()); diff != "" {
				rt.Fatal(diff)
			}
		}
	})
}

// BenchmarkParse measures 2,400 routes: the first document, and one in which a route has changed.
func BenchmarkParse(b *testing.B) {
	var doc Document
	for i := range 2400 {
		doc.Routes = append(doc.Routes, Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("h%06x.example", i*104729), Prefix: fmt.Sprintf("/p%x/", i), Kind: Idempotent,
			Timeout: 6000, Objective: 1500, MaxAttempts: 3, Parts: []Part{{"cotiza", 70}, {"ordenes", 30}},
		})
	}
	texts := [2][]byte{Encode(doc)}
	doc.Routes[7].Timeout = 5000
	texts[1] = Encode(doc)
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			_, _ = Parse(texts[0])
		}
	})
	b.Run("one changed", func(b *testing.B) {
		var d Decoder
		for i := 0; b.Loop(); i++ {
			_, _ = d.Parse(texts[i%2])
		}
	})
}
