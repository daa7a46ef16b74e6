package entry

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/directory"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/intake"
)

// callerHandler passes requests to tealhall's own paths to their handlers, and all other requests
// to services.
func (e *Entry) callerHandler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(contract.EntriesPath, e.serveEntries).Methods(http.MethodGet)
	router.HandleFunc(contract.HealthPath, e.serveHealth).Methods(http.MethodGet, http.MethodHead)
	router.NotFoundHandler = e.refuseWith(http.StatusNotFound, "use a path that docs/CALLERS.md names")
	router.MethodNotAllowedHandler = e.refuseWith(http.StatusMethodNotAllowed, "use GET")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests to services skip the router: their paths belong to the services.
		if strings.HasPrefix(r.URL.Path, contract.ReservedPrefix) {
			router.ServeHTTP(w, r)
			return
		}
		e.serveRequest(w, r)
	})
}

// serveRequest sends a request to an endpoint and its answer back to the caller.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	x, arrival, refusal := e.admit(w, r)
	if refusal != core.ReasonNone {
		outcome := admissionOutcome(r, refusal)
		e.instruments.countRefusal(refusal, outcome)
		e.reply(w, r, core.Directive{Outcome: outcome, Reason: refusal, RetryAfter: admissionRetryAfter(refusal)})
		return
	}
	defer x.close()
	e.engine.arrive(x, arrival)
	x.serve(w)
	e.instruments.countEnding(x.service, x.ending, e.engine.clock()-x.began)
}

// admissionOutcome returns the outcome of a request that is refused before its key is looked up. A
// request with a key may be a retry of one that has run: "not run" would then be false, and the
// caller would send it again under a new key. Only a request with a malformed key cannot have run.
func admissionOutcome(r *http.Request, refusal core.Reason) core.Outcome {
	if hasKey(r) && refusal != core.ReasonKeyBad {
		return core.OutcomeUnknown
	}
	return core.OutcomeNotRun
}

// admissionRetryAfter returns when a caller should send a request again that was refused at admission.
func admissionRetryAfter(reason core.Reason) time.Duration {
	if reason == core.ReasonMemoryFull {
		return intake.StallTime
	}
	return 0
}

func hasKey(r *http.Request) bool { return len(r.Header[contract.HeaderIdempotencyKey]) > 0 }

// admit reads a request, or returns the reason for which it is refused.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) (*exchange, *core.Arrival, core.Reason) {
	admission := e.admission(r)
	if admission.Reason != core.ReasonNone {
		return nil, nil, admission.Reason
	}
	began := e.engine.clock()
	body, err := e.receiveBody(w, r, admission, began)
	if err != nil {
		return nil, nil, reasonOfBody(err)
	}
	x := &exchange{
		entry:   e,
		id:      core.RequestID(e.engine.nextID.Add(1)),
		request: r,
		body:    body,
		service: admission.Service,
		caller:  callerOf(r),
		// A small part of a keyed answer is kept for replay, which reads it before it is sent.
		largeAnswer: admission.LargeAnswer && e.link != nil && !hasKey(r),
		began:       began,
		wake:        make(chan struct{}, 1),
	}
	arrival, reason := x.arrival(admission)
	if reason != core.ReasonNone {
		body.Release()
	}
	return x, arrival, reason
}

// receiveBody receives the part of a request's body that is kept.
func (e *Entry) receiveBody(w http.ResponseWriter, r *http.Request, admission core.Admission, began time.Duration) (*front.ReplayBody, error) {
	limits := front.BodyLimits{
		Buffer:  int64(e.settings.Limits.ReplayBodyBytes),
		Max:     admission.MaxBody,
		Timeout: e.bodyTimeout(r, admission),
		Memory:  e.requestMemory,
	}
	if front.HasBody(r) {
		ctx, remove := e.arriving.add(admission, began+limits.Timeout)
		defer remove()
		limits.Context = ctx
	}
	return front.NewReplayBody(w, r, limits)
}

// bodyTimeout returns how long the part of a body that is kept may take to arrive: as long as its caller
// waits, and at most as long as a request to its service may take.
func (e *Entry) bodyTimeout(r *http.Request, admission core.Admission) time.Duration {
	left, ok := e.dialect.TimeLeft(r.Header)
	if !ok || admission.Deadline > 0 && left > admission.Deadline {
		return admission.Deadline
	}
	return max(left, time.Nanosecond)
}

// reasonOfBody returns the reason for which a request is refused whose body could not be read.
func reasonOfBody(err error) core.Reason {
	if tooLarge := (*front.BodyTooLargeError)(nil); errors.As(err, &tooLarge) {
		return core.ReasonBodyTooLarge
	}
	switch {
	case errors.Is(err, front.ErrBodyLate):
		return core.ReasonBodyLate
	case errors.Is(err, front.ErrNoMemory):
		return core.ReasonMemoryFull
	case errors.Is(err, errStopping):
		return core.ReasonStopping
	}
	return core.ReasonBodyBroken
}

// admission asks the core whether a request may be admitted: by its host and path if routes are
// published, else by the service that it names.
func (e *Entry) admission(r *http.Request) (a core.Admission) {
	e.engine.view(func(_ time.Duration, c *core.Core) {
		if e.options.RouteProfiles != nil {
			a = c.AdmitRoute(r.Host, r.URL.EscapedPath())
			return
		}
		a = c.Admit(serviceOf(r))
	})
	return a
}

// mayPipeline reports whether a request may be started before earlier requests on its connection
// are answered.
func (e *Entry) mayPipeline(r *http.Request) bool {
	if strings.HasPrefix(r.URL.Path, contract.ReservedPrefix) || hasKey(r) {
		return false
	}
	may := false
	e.engine.view(func(_ time.Duration, c *core.Core) { may = c.MayPipeline(serviceOf(r), r.Host, r.URL.EscapedPath()) })
	return may
}

// unknownServiceReason returns the reason for an unknown service: the service is not published, or
// this entry has no profiles yet.
func (e *Entry) unknownServiceReason() core.Reason {
	if e.revision.Load() == 0 {
		return core.ReasonStarting
	}
	return core.ReasonUnknownService
}

// serviceOf returns the service that a request names in its header, else the first label of its
// host.
func serviceOf(r *http.Request) string {
	if name := r.Header.Get(contract.HeaderService); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.Host, ":")
	label, _, _ := strings.Cut(host, ".")
	return label
}

// callerOf returns the name of the caller, else its IP address.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(contract.HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// arrival describes the request to the core.
func (x *exchange) arrival(admission core.Admission) (*core.Arrival, core.Reason) {
	h := x.request.Header
	a := &core.Arrival{
		ID:            x.id,
		Service:       x.service,
		Admission:     admission,
		LinkBacklog:   x.entry.link.Backlog(),
		Content:       front.ContentHash(x.request, x.body),
		Caller:        xxhash.Sum64String(x.caller),
		Idempotent:    idempotentMethod(x.request.Method),
		Replayable:    x.body.Whole(),
		BodyRemaining: x.body.RemainingTime(x.entry.engine.clock() - x.began),
		CallerAttempt: 1,
		Forwarded:     h.Get(contract.HeaderForwarded) == contract.ForwardedValue,
		Relayed:       isRelayed(x.request),
		Counted:       isRelayed(x.request) && h.Get(contract.HeaderCounted) == contract.CountedValue,
	}
	if left, ok := x.entry.dialect.TimeLeft(h); ok {
		a.Timeout = max(left-(x.entry.engine.clock()-x.began), time.Nanosecond)
	}
	if attempt, ok := contract.ParseAttempt(h.Get(contract.HeaderAttempt)); ok && !a.Forwarded {
		a.CallerAttempt = attempt
	}
	if depth := h.Get(contract.HeaderDepth); depth != "" {
		var ok bool
		// A malformed depth is refused as well: treated as no depth, it would let a cycle of calls
		// go on for ever.
		if a.Depth, ok = contract.ParseDepth(depth); !ok {
			return nil, core.ReasonTooDeep
		}
	}
	a.Revision, _ = strconv.ParseUint(h.Get(contract.HeaderRevision), 10, 64)
	x.depth, x.callerAttempt = a.Depth, a.CallerAttempt
	x.requestName = x.entry.dialect.RequestName(h)
	if x.requestName == "" {
		x.requestName = x.entry.requestPrefix + strconv.FormatUint(uint64(x.id), 10)
	}
	a.Name = x.requestName
	return a, x.readKey(a)
}

// readKey reads the idempotency key of a request.
func (x *exchange) readKey(a *core.Arrival) core.Reason {
	values := x.request.Header[contract.HeaderIdempotencyKey]
	if len(values) == 0 {
		return core.ReasonNone
	}
	key, err := idem.ParseKey(values[0])
	if err != nil || len(values) > 1 {
		return core.ReasonKeyBad
	}
	a.Key, a.HasKey = key, true
	a.Digest, _ = front.Digest(x.caller, x.request, x.body)
	x.keyed = true
	return core.ReasonNone
}

// isRelayed reports whether another entry relayed a request to this one.
func isRelayed(r *http.Request) bool {
	return r.Header.Get(contract.HeaderForwarded) == contract.RelayedValue
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// serveEntries returns the entries that a caller should use.
func (e *Entry) serveEntries(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	req := directory.Request{
		Service: query.Get("service"),
		Caller:  xxhash.Sum64String(query.Get("caller")),
		Domain:  query.Get("domain"),
	}
	answer := contract.EntriesAnswer{Service: req.Service, Revision: e.revision.Load()}
	known := false
	e.engine.view(func(now time.Duration, c *core.Core) {
		choices, ttl, ok := c.EntriesFor(now, req)
		known = ok
		answer.TTLMillis = ttl.Milliseconds()
		answer.Entries = entryAddresses(choices)
	})
	if !known {
		e.reply(w, r, core.Directive{Outcome: core.OutcomeNotRun, Reason: e.unknownServiceReason()})
		return
	}
	writeJSON(w, r, http.StatusOK, answer)
}

func entryAddresses(choices []core.EntryChoice) []contract.EntryAddress {
	out := make([]contract.EntryAddress, 0, len(choices))
	for _, c := range choices {
		out = append(out, contract.EntryAddress{
			Name:        c.Name,
			Address:     c.Address,
			Incarnation: strconv.FormatUint(c.Incarnation, 16),
			Domain:      c.Domain,
			KeyPrefix:   c.KeyPrefix,
			Weight:      float64(c.Weight) / directory.MaxWeight,
		})
	}
	return out
}

// healthAnswer is the JSON answer to contract.HealthPath.
type healthAnswer struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"`
}

// serveHealth reports whether the entry is ready.
func (e *Entry) serveHealth(w http.ResponseWriter, r *http.Request) {
	answer := healthAnswer{Revision: e.revision.Load()}
	e.engine.view(func(now time.Duration, c *core.Core) { answer.Ready, answer.Reason = c.ReadyReason(now) })
	status := http.StatusOK
	if !answer.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, r, status, answer)
}
