// Package admin is the HTTP interface for operators, served on its own address. It shows the state
// of an entry and the reasons for its decisions. It is read-only: the behaviour of the fleet is
// changed by publishing profiles.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/audit"
)

// Paths of the interface.
const (
	StatusPath    = "/v1/status"
	EntriesPath   = "/v1/entries"
	EndpointsPath = "/v1/endpoints"
	ProfilesPath  = "/v1/profiles"
	RoutesPath    = "/v1/routes"
	AuditPath     = "/v1/audit"
	MetricsPath   = "/v1/metrics"
	// MetricsTextPath serves the metrics in the text format that collectors read.
	MetricsTextPath = "/metrics"
	HealthPath      = "/healthz"
	ReadyPath       = "/readyz"
)

// maxFollowers bounds the number of followed audit streams.
const maxFollowers = 16

// handler serves the admin interface.
type handler struct {
	source    Source
	trail     *audit.Trail
	registry  metrics.Registry
	followers chan struct{}
}

// NewHandler returns the handler of the admin interface.
func NewHandler(source Source, trail *audit.Trail, registry metrics.Registry) http.Handler {
	h := &handler{source: source, trail: trail, registry: registry, followers: make(chan struct{}, maxFollowers)}
	r := mux.NewRouter()
	get := func(path string, f http.HandlerFunc) {
		r.HandleFunc(path, f).Methods(http.MethodGet, http.MethodHead)
	}
	get(StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, source.Status()) })
	get(EntriesPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, source.Entries()) })
	get(EndpointsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, source.Endpoints()) })
	get(ProfilesPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, source.Profiles()) })
	get(RoutesPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, source.Routes()) })
	get(MetricsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, MetricViews(registry)) })
	get(MetricsTextPath, func(w http.ResponseWriter, _ *http.Request) { writeText(w, MetricViews(registry)) })
	get(AuditPath, h.audit)
	get(HealthPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	get(ReadyPath, h.ready)
	r.NotFoundHandler = errorHandler(http.StatusNotFound, "there is no such page", "see docs/design/admin.md for the paths")
	r.MethodNotAllowedHandler = errorHandler(http.StatusMethodNotAllowed, "the admin interface is read-only",
		"publish a profile to change what tealhall does")
	return r
}

func (h *handler) ready(w http.ResponseWriter, r *http.Request) {
	ready, reason := h.source.Ready()
	if !ready {
		errorHandler(http.StatusServiceUnavailable, reason, "wait, or see tealhallctl status").ServeHTTP(w, r)
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

func errorHandler(status int, message, remedy string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, status, ErrorBody{Error: message, Remedy: remedy})
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		klog.ErrorS(err, "a page of the admin interface cannot be encoded; report this as a defect")
		http.Error(w, `{"error":"the page can't be written","remedy":"report this as a defect"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // the client may have disconnected
}
