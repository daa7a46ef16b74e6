package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
)

// Dialect translates between the core and the headers and statuses of callers and endpoints. It
// makes no decisions. Implementations are safe for concurrent use.
type Dialect interface {
	// TimeLeft returns how long the caller still waits, if it says so.
	TimeLeft(h http.Header) (time.Duration, bool)
	// RequestName returns the caller's name for its request, "" if it gave none.
	RequestName(h http.Header) string
	// AttemptHeader returns the headers that an attempt adds for its endpoint.
	AttemptHeader(a *AttemptInfo) http.Header
	// ReadHead reads what the head of an endpoint's answer says about the request, the endpoint's
	// load and the endpoint itself. expected is the name of the endpoint that is expected at the
	// address, request has the headers that were sent.
	ReadHead(expected string, request, answer http.Header, status int) core.Head
	// BelongsTo returns to which request an answer belongs, by its headers, on a connection to which
	// the request of the given name and headers was sent. name is empty for a probe.
	BelongsTo(name string, request, answer http.Header) Belonging
	// EntryHeaders lists the headers that the entry removes from an endpoint's answer, since they
	// are meant only for the entry or only the entry may send them to a caller.
	EntryHeaders() []string
	// SetAnswerHeaders sets the headers that describe the entry and the outcome on an answer to a
	// caller, whether the answer comes from an endpoint or from the entry itself.
	SetAnswerHeaders(h http.Header, m Mark)
	// Refuse sends a caller an answer of the entry itself.
	Refuse(w http.ResponseWriter, r *http.Request, refusal Refusal)
}

// Belonging says to which request an answer belongs.
type Belonging uint8

const (
	// UnnamedAnswer: the answer names no request. It belongs to the one that was sent, unless the endpoint
	// answers a request twice.
	UnnamedAnswer Belonging = iota
	// OwnAnswer: it belongs to the request that was sent.
	OwnAnswer
	// StrayAnswer: it belongs to another one.
	StrayAnswer
)

// AttemptInfo is what the headers of an attempt may tell its endpoint.
type AttemptInfo struct {
	// Endpoint is the name of the endpoint that is expected at the address.
	Endpoint string
	// Left is the time that the attempt has left.
	Left time.Duration
	// Number counts the attempts, including those made before the request reached this entry.
	Number int
	// Request names the request in all its attempts, Service the service that it is for.
	Request, Service string
	// Caller names the caller, for an entry to which the request is forwarded.
	Caller string
	// Depth is the depth to which the request is nested in other calls.
	Depth int
	// IdleOnly asks the endpoint to refuse the attempt at once if none of its slots is idle.
	IdleOnly bool
	// Forwarded is set if the attempt goes to another entry rather than to an endpoint.
	Forwarded bool
}

// Mark is what an answer says about its entry and the outcome.
type Mark struct {
	Entry    string
	Outcome  core.Outcome
	Reason   core.Reason
	Revision uint64
}

// Refusal is an answer of the entry itself.
type Refusal struct {
	Mark
	Status     int
	Remedy     string
	RetryAfter time.Duration
}

// nativeDialect is tealhall's own contract with callers and endpoints.
type nativeDialect struct{}

// TimeLeft implements Dialect.
func (nativeDialect) TimeLeft(h http.Header) (time.Duration, bool) {
	return contract.ParseDeadline(h.Get(contract.HeaderDeadline))
}

// RequestName implements Dialect.
func (nativeDialect) RequestName(h http.Header) string { return h.Get(contract.HeaderRequest) }

// AttemptHeader implements Dialect. The values share one array to save allocations, since it is
// called for every attempt.
func (nativeDialect) AttemptHeader(a *AttemptInfo) http.Header {
	values := [...]string{
		contract.FormatDeadline(a.Left),
		strconv.Itoa(a.Number),
		a.Request,
		a.Service,
		a.Caller,
		strconv.Itoa(a.Depth),
	}
	h := http.Header{
		contract.HeaderDeadline: values[0:1:1],
		contract.HeaderAttempt:  values[1:2:2],
		contract.HeaderRequest:  values[2:3:3],
		contract.HeaderService:  values[3:4:4],
	}
	if a.IdleOnly {
		h[contract.HeaderIdleOnly] = []string{contract.IdleOnlyValue}
	}
	if a.Forwarded {
		h[contract.HeaderForwarded] = []string{contract.ForwardedValue}
		h[contract.HeaderCaller] = values[4:5:5]
		return h
	}
	h[contract.HeaderDepth] = values[5:6:6]
	return h
}

// ReadHead implements Dialect.
func (nativeDialect) ReadHead(_ string, _, answer http.Header, status int) core.Head {
	h := core.Head{Status: status}
	_, h.NotRun = contract.ProvedNotRun(status, answer)
	h.RetryAfter = contract.ParseRetryAfter(status, answer, time.Now())
	h.Draining = answer.Get(contract.HeaderDraining) == contract.DrainingValue
	h.Incarnation, _ = contract.ParseIncarnation(answer.Get(contract.HeaderIncarnation))
	load, ok := contract.ParseLoad(answer.Get(contract.HeaderLoad))
	h.Load = core.Load{Known: ok, InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots,
		RateLimit: contract.ParseRateLimit(answer.Get(contract.HeaderRateLimit))}
	return h
}

// BelongsTo implements Dialect. Endpoints need not name requests in their answers.
func (nativeDialect) BelongsTo(name string, _, answer http.Header) Belonging {
	switch answer.Get(contract.HeaderRequest) {
	case "":
		return UnnamedAnswer
	case name:
		return OwnAnswer
	}
	return StrayAnswer
}

// entryHeaders are the headers that entries set for callers and endpoints set for entries. An
// endpoint's answer must not carry them to a caller: a stray "not-run" in it would be a false
// statement in tealhall's name.
var entryHeaders = []string{
	contract.HeaderOutcome,
	contract.HeaderReason,
	contract.HeaderEntry,
	contract.HeaderRevision,
	contract.HeaderReplayed,
	contract.HeaderLoad,
	contract.HeaderIncarnation,
	contract.HeaderDraining,
	contract.HeaderRateLimit,
	contract.HeaderNotRun,
}

// EntryHeaders implements Dialect.
func (nativeDialect) EntryHeaders() []string { return entryHeaders }

// SetAnswerHeaders implements Dialect.
func (nativeDialect) SetAnswerHeaders(h http.Header, m Mark) {
	h.Set(contract.HeaderOutcome, m.Outcome.String())
	h.Set(contract.HeaderEntry, m.Entry)
	h.Set(contract.HeaderRevision, strconv.FormatUint(m.Revision, 10))
	if m.Reason != core.ReasonNone {
		h.Set(contract.HeaderReason, m.Reason.String())
	}
}

// Refuse implements Dialect.
func (d nativeDialect) Refuse(w http.ResponseWriter, r *http.Request, refusal Refusal) {
	d.SetAnswerHeaders(w.Header(), refusal.Mark)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(wholeSeconds(refusal.RetryAfter), 10))
	}
	writeJSON(w, r, refusal.Status, contract.ErrorAnswer{
		Outcome:          contract.Outcome(refusal.Outcome.String()),
		Reason:           refusal.Reason.String(),
		Remedy:           refusal.Remedy,
		RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
	})
}
