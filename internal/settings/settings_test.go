package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/fault"
)

// TestLoadReportsEveryProblem loads the documents in testdata/load and compares the reported
// problems, or some of the resulting values.
func TestLoadReportsEveryProblem(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Load([]byte(d.Input))
		if err == nil {
			return "accepted: caller " + s.Addresses.CallerAdvertised + ", peer " + s.Addresses.PeerAdvertised +
				", admin " + s.Addresses.Admin + ", idle " + s.Timeouts.Idle.String()
		}
		if fault.KindOf(err) != fault.BadSettings {
			t.Errorf("%s: kind %q", d.Pos, fault.KindOf(err))
		}
		var list *Error
		if !errors.As(err, &list) {
			t.Fatalf("%s: %v wraps no *Error", d.Pos, err)
		}
		// The list of policies belongs to package balance and may change there.
		return strings.ReplaceAll(list.Error(), strings.Join(balance.Policies(), ", "), "POLICIES")
	})
}

// Guards against a reference page that lacks a setting or states another default than the code,
// which would mislead operators.
func TestReferencePageMatchesDefaults(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []ReferenceRow
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) < 4 || !strings.HasPrefix(strings.TrimSpace(cells[0]), "`") {
			continue
		}
		cell := func(i int) string { return strings.Trim(strings.TrimSpace(cells[i]), "`") }
		documented = append(documented, ReferenceRow{Field: cell(0), Unit: cell(1), Default: cell(2)})
		if cell(3) == "" {
			t.Errorf("%s has no description", cell(0))
		}
	}
	if diff := cmp.Diff(Reference(), documented); diff != "" {
		t.Errorf("docs/SETTINGS.md differs from the code (-code +page):\n%s", diff)
	}
}

func TestExampleOnReferencePageLoads(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```toml\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("docs/SETTINGS.md has no example")
	}
	s, err := Load([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.CallsPerSecond != 5 || s.Timeouts.StopUpload.Duration != 20*time.Minute {
		t.Errorf("unexpected values: %+v", s)
	}
}
