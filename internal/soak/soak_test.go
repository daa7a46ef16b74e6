package soak

import (
	"strings"
	"testing"
	"time"
)

// Guards against promises that entry processes break under a few faults drawn from a seed, and against
// checks that never run.
func TestShortSoak(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Seed, cfg.Entries, cfg.Endpoints, cfg.Length, cfg.Faults = 4, 4, 6, 5*time.Second, 6
	programs, err := realPrograms()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Programs, cfg.Logs = programs, t.TempDir()
	report, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Print(&text)
	t.Log(text.String())
	if n := report.Violations(); n > 0 {
		t.Errorf("%d violations", n)
	}
	for _, p := range []Promise{WholeAnswers, DoneRan, AtMostOnce, ChangesInForce, NeverBack, Recovery} {
		if report.Results[p].Checked == 0 {
			t.Errorf("never checked: %s", p)
		}
	}
}
