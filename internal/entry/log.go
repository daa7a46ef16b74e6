package entry

import (
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/logging"
)

// logReply writes one line for an answer of the entry's own.
func logReply(r *http.Request, d core.Directive) {
	klog.InfoS("answered", "method", r.Method, "path", r.URL.Path, "outcome", d.Outcome.String(), "reason", d.Reason.String())
}

// traceFields are the fields of the line of a request, in their order.
// docs/OPERATIONS.md explains each; a test compares the two.
var traceFields = []string{
	"request", "service", "content", "revision", "outcome", "reason", "status", "retry_after_ms", "gone", "age_ms", "took_ms",
	"objective_ms", "looks", "held", "late", "endpoints", "full", "queued", "attempts",
}

// logTrace writes the line of a request that failed, was late, or is a sample.
func logTrace(s *core.RequestTrace) {
	values := []any{
		s.Name, s.Service, strconv.FormatUint(s.Content, 16), s.Revision, s.Outcome.String(), s.Reason.String(), s.Status, s.RetryAfter.Milliseconds(), s.CallerGone,
		s.CallerAge.Milliseconds(), s.Took.Milliseconds(), s.Objective.Milliseconds(), s.LoadProbes, s.NoRoom, s.Late, s.Endpoints, s.Full, s.Queued, s.Attempts,
	}
	pairs := make([]any, 0, 2*len(values)+2)
	for i, value := range values {
		pairs = append(pairs, traceFields[i], value)
	}
	if s.Sampled {
		pairs = append(pairs, logging.LowPriority, true)
	}
	klog.InfoS("request", pairs...)
}
