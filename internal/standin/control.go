package standin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Paths of the control interface of a stand-in that runs as a separate process.
const (
	StatsPath     = "/stats"
	FaultsPath    = "/faults"
	DrainPath     = "/drain"
	BlackHolePath = "/black-hole"
)

// maxControlBytes limits the size of the body of a control request.
const maxControlBytes = 4 << 10

// PlatformControl returns a handler that serves the counters of p and sets its faults.
func PlatformControl(p *Platform) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Stats())
	}).Methods(http.MethodGet)
	router.HandleFunc(FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := readJSON[PlatformFaults](w, r); ok {
			p.SetFaults(faults)
		}
	}).Methods(http.MethodPut)
	return router
}

// EndpointControl returns a handler that serves the counters of e, sets its faults, drains it and
// silences its open connections.
func EndpointControl(e *Endpoint) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.Stats())
	}).Methods(http.MethodGet)
	router.HandleFunc(FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := readJSON[EndpointFaults](w, r); ok {
			e.SetFaults(faults)
		}
	}).Methods(http.MethodPut)
	router.HandleFunc(DrainPath, func(http.ResponseWriter, *http.Request) {
		e.Drain()
	}).Methods(http.MethodPost)
	router.HandleFunc(BlackHolePath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"silenced": e.Server().BlackHole()})
	}).Methods(http.MethodPost)
	return router
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return value, false
	}
	return value, true
}
