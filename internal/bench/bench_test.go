package bench

import (
	"strings"
	"testing"
	"time"
)

// A short run must serve everything, keep the oracle's ratios at one and report
// every cell. The figures themselves are not judged: that is loadbench's work.
func TestRunServesEveryRequest(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Endpoints, cfg.Rounds, cfg.Loads = 4, 1, []float64{0.5}
	cfg.Warmup, cfg.Duration = 50*time.Millisecond, 200*time.Millisecond
	var err error
	if cfg.Variants, err = PickVariants([]string{"random", "claims@3+5ms"}); err != nil {
		t.Fatal(err)
	}
	report, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := report.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Cells {
		if c.Requests == 0 || c.Unserved != 0 {
			t.Errorf("%s: %d requests, %d unserved", c.Variant, c.Requests, c.Unserved)
		}
		if !strings.Contains(out.String(), c.Variant) {
			t.Errorf("%s is missing in the table", c.Variant)
		}
	}
	if a, b := report.Cells[0].Ratio99, report.Cells[1].Ratio99; min(a, b) != 1 {
		t.Errorf("the ratios of the oracles to the better of them are %v and %v", a, b)
	}
}

func TestTraceIsTheSameForAllVariants(t *testing.T) {
	cfg := DefaultConfig()
	a, b := makeTrace(cfg, Faults{Variation: 1}, 0.7, 1), makeTrace(cfg, Faults{Variation: 1}, 0.7, 1)
	if len(a) == 0 || len(a) != len(b) || a[len(a)-1] != b[len(b)-1] {
		t.Fatalf("two draws of one round differ: %d and %d arrivals", len(a), len(b))
	}
}
