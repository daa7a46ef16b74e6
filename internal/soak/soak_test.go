package soak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against promises that entry processes break under a few faults drawn from a seed, and against
// checks that never run.
func TestShortSoak(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Seed, cfg.Entries, cfg.Endpoints, cfg.Length, cfg.Faults = 4, 4, 6, 5*time.Second, 6
	cfg.Programs, cfg.Logs = t.TempDir(), t.TempDir()
	build := exec.Command("go", "build", "-o", cfg.Programs, "./cmd/tealhalld", "./cmd/tealhallstandin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
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
