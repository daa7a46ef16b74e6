package admin

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Guards against a name or a number that collectors cannot parse: a collector would then discard
// all metrics of the page.
func TestMetricsTextFormat(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("service.r-1/t.done", registry).Inc(3)
	metrics.GetOrRegisterGaugeFloat64("profiles.confirmed_age_s", registry).Update(-1.5)
	h := metrics.GetOrRegisterHistogram("entry.added_us", registry, metrics.NewUniformSample(10))
	h.Update(7)
	w := httptest.NewRecorder()
	writeText(w, MetricViews(registry))
	for _, line := range []string{
		"tealhall_service_r_1_t_done_count 3",
		"tealhall_profiles_confirmed_age_s -1.5",
		`tealhall_entry_added_us{quantile="0.99"} 7`,
		"tealhall_entry_added_us_max 7",
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("missing %s in\n%s", line, w.Body)
		}
	}
}
