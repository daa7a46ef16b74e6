package contract

import "testing"

func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		value string
		want  float64
	}{
		{"1", 1}, {"0.4", 0.4}, {" 10.25 ", 10.25}, {"1e2", 100}, {"0", minRateLimit}, {"0.00001", minRateLimit},
		{"", 0}, {"many", 0}, {"-1", 0}, {"NaN", 0}, {"Inf", 0}, {"1e9", 0}, {"1,5", 0}, {"1 per second", 0},
	} {
		if got := ParseRateLimit(c.value); got != c.want {
			t.Errorf("ParseRateLimit(%q) = %v, want %v", c.value, got, c.want)
		}
	}
}
