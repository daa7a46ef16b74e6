package profile

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/tealhall/tealhall/internal/fault"
)

// TestRefusedDocumentsListEveryProblem compares the problems reported for a document with testdata.
func TestRefusedDocumentsListEveryProblem(t *testing.T) {
	datadriven.RunTest(t, "testdata/refused", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input), 1)
		if err == nil {
			return "accepted\n" + formatLines(s.Warnings())
		}
		if kind := fault.KindOf(err); kind != fault.BadProfile {
			t.Errorf("kind = %q", kind)
		}
		var refused *DocumentError
		if !errors.As(err, &refused) {
			t.Fatalf("%v wraps no DocumentError", err)
		}
		return formatLines(refused.Problems)
	})
}

// TestDiffOfSuccessiveDocuments parses one document after another and compares the changes with
// testdata.
func TestDiffOfSuccessiveDocuments(t *testing.T) {
	var inForce *Snapshot
	datadriven.RunTest(t, "testdata/diff", func(t *testing.T, d *datadriven.TestData) string {
		next, err := Parse([]byte(d.Input), 1)
		if err != nil {
			t.Fatal(err)
		}
		changes := Diff(inForce, next)
		inForce = next
		return formatLines(changes)
	})
}

func formatLines[T interface{ String() string }](items []T) string {
	var b strings.Builder
	for _, item := range items {
		b.WriteString(item.String() + "\n")
	}
	return b.String()
}
