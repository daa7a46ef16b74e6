package entry

import (
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/logging"
)

// logReply logs an answer of the entry itself.
func logReply(r *http.Request, d core.Directive) {
	klog.InfoS("answered", "method", r.Method, "path", r.URL.Path, "outcome", d.Outcome.String(), "reason", d.Reason.String())
}

// traceFields are the fields of a request trace in the log, in their order. docs/OPERATIONS.md
// explains each; a test compares the two.
var traceFields = []string{
	"request", "service", "content", "revision", "outcome", "reason", "status", "retry_after_ms", "gone", "age_ms", "took_ms",
	"objective_ms", "looks", "held", "late", "endpoints", "full", "backing_off", "unanswered", "unheard_ms", "queued", "relayed", "window_requests", "window_repeats", "attempts",
}

// logTrace logs the trace of a request that failed, was late, or is sampled.
func logTrace(trace *core.RequestTrace) {
	values := []any{
		trace.Name, trace.Service, strconv.FormatUint(trace.Content, 16), trace.Revision, trace.Outcome.String(), trace.Reason.String(), trace.Status, trace.RetryAfter.Milliseconds(), trace.CallerGone,
		trace.CallerAge.Milliseconds(), trace.Took.Milliseconds(), trace.Objective.Milliseconds(), trace.LoadProbes, trace.NoRoom, trace.Late, trace.Endpoints, trace.Full, trace.BackingOff, trace.Unanswered, trace.Unheard.Milliseconds(), trace.Queued, trace.Relayed, trace.WindowRequests, trace.WindowRepeats, trace.Attempts,
	}
	pairs := make([]any, 0, 2*len(values)+2)
	for i, value := range values {
		pairs = append(pairs, traceFields[i], value)
	}
	if trace.Sampled {
		pairs = append(pairs, logging.LowPriority, true)
	}
	klog.InfoS("request", pairs...)
}
