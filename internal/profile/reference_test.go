package profile

import (
	"flag"
	"os"
	"strings"
	"testing"
)

const (
	referenceFile  = "../../docs/PROFILES.md"
	referenceBegin = "<!-- reference: begin -->\n"
	referenceEnd   = "<!-- reference: end -->\n"
)

// TestReferencePageMatchesFields compares the reference in docs/PROFILES.md with the fields in the
// code. With -rewrite, the flag of the golden files, it updates the page instead.
func TestReferencePageMatchesFields(t *testing.T) {
	data, err := os.ReadFile(referenceFile)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, found := strings.Cut(string(data), referenceBegin)
	table, tail, ended := strings.Cut(rest, referenceEnd)
	if !found || !ended {
		t.Fatal("the markers around the reference are missing")
	}
	want := "\n" + Reference() + "\n"
	if table == want {
		return
	}
	if flag.Lookup("rewrite").Value.String() != "true" {
		t.Fatalf("%s is out of date; run: go test ./internal/profile -rewrite", referenceFile)
	}
	text := head + referenceBegin + want + referenceEnd + tail
	if err := os.WriteFile(referenceFile, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}
