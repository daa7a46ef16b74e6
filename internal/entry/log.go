package entry

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
)

// logReply writes one line for an answer of the entry's own.
func logReply(r *http.Request, d core.Directive) {
	klog.InfoS("answered", "method", r.Method, "path", r.URL.Path, "outcome", d.Outcome.String(), "reason", d.Reason.String())
}
