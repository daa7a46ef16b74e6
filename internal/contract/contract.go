// Package contract names the HTTP headers and paths that callers, entries and
// endpoints agree on, and reads and writes their values. docs/ENDPOINTS.md and
// docs/CALLERS.md describe the same contract for people.
//
// The functions here run on the request path: they allocate at most the string
// they return and report malformed input by a bool instead of an error.
package contract

import (
	"net/http"
	"strconv"
	"time"
)

// Headers that an entry sends to an endpoint with every attempt. All names in
// this package are in canonical form, so they may index an http.Header directly.
const (
	// HeaderDeadline is the time left for the attempt in whole milliseconds.
	HeaderDeadline = "Tealhall-Deadline-Ms"
	// HeaderAttempt counts the attempts at a request; the first is 1.
	HeaderAttempt = "Tealhall-Attempt"
	// HeaderDepth says how deep the call is nested in other calls. A caller sends
	// 0 (or nothing) to MaxDepth, the entry one more to the endpoint.
	HeaderDepth = "Tealhall-Depth"
	// HeaderRequest identifies the caller's request; all its attempts carry the
	// same value.
	HeaderRequest = "Tealhall-Request"
	// HeaderIdempotencyKey is the caller's idempotency key, if it gave one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService names the service that the request is for. Callers send it
	// to the entry, the entry sends it on.
	HeaderService = "Tealhall-Service"
)

// Headers that an endpoint answers with.
const (
	// HeaderLoad reports the endpoint's load, see Load. It is on every answer.
	HeaderLoad = "Tealhall-Load"
	// HeaderIncarnation is the endpoint's incarnation, a decimal uint64.
	HeaderIncarnation = "Tealhall-Incarnation"
	// HeaderDraining is DrainingValue on every answer of an endpoint that leaves.
	HeaderDraining = "Tealhall-Draining"
	// HeaderRateLimit is how many requests a second the endpoint takes from all entries together, a
	// decimal number. It is on every answer for as long as the limit holds.
	HeaderRateLimit = "Tealhall-Rate-Limit"
	// HeaderNotRun states that the endpoint did not run the request and why, see
	// NotRunReason. It counts only on an answer with status 503.
	HeaderNotRun = "Tealhall-Not-Run"
)

// Headers between a caller and an entry, besides HeaderService and
// HeaderIdempotencyKey.
const (
	// HeaderCaller names the caller, for fairness between callers.
	HeaderCaller = "Tealhall-Caller"
	// HeaderOutcome is the typed outcome of an answer, see Outcome.
	HeaderOutcome = "Tealhall-Outcome"
	// HeaderReason says in a word or two why the outcome is what it is.
	HeaderReason = "Tealhall-Reason"
	// HeaderRevision is the latest profile revision that the sender has seen.
	HeaderRevision = "Tealhall-Revision"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "Tealhall-Entry"
	// HeaderForwarded marks a request that one entry passed to another.
	HeaderForwarded = "Tealhall-Forwarded"
)

// Reserved paths. Requests below ReservedPrefix are never passed to a service.
const (
	ReservedPrefix = "/.tealhall/"
	// EntriesPath answers which entries a caller may use.
	EntriesPath = "/.tealhall/entries"
	// ProbePath is an endpoint's probe; each probe costs it a slot for about 6 ms.
	ProbePath = "/.tealhall/probe"
	// HealthPath answers whether an entry is ready.
	HealthPath = "/.tealhall/health"
)

// DrainingValue is the value of HeaderDraining at an endpoint that leaves.
const DrainingValue = "1"

// MaxDepth is the deepest nesting with which an entry accepts a call.
const MaxDepth = 6

// maxDeadline bounds what ParseDeadline accepts: no request may wait longer
// than a day, and the product with a millisecond can't overflow.
const maxDeadline = 24 * time.Hour

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone: the endpoint ran the request and this is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: no endpoint ran the request, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// NotRunReason is why an endpoint did not run a request.
type NotRunReason string

// The reasons that are accepted in HeaderNotRun.
const (
	// NotRunBusy: all slots are taken and the queue is full.
	NotRunBusy NotRunReason = "busy"
	// NotRunDraining: the endpoint is leaving and takes no new work.
	NotRunDraining NotRunReason = "draining"
	// NotRunDeadline: the deadline passed before the request got a slot.
	NotRunDeadline NotRunReason = "deadline"
	// NotRunOverload: the endpoint sheds load for a reason of its own.
	NotRunOverload NotRunReason = "overload"
)

// ParseNotRunReason returns the reason that value spells.
func ParseNotRunReason(value string) (NotRunReason, bool) {
	switch reason := NotRunReason(value); reason {
	case NotRunBusy, NotRunDraining, NotRunDeadline, NotRunOverload:
		return reason, true
	}
	return "", false
}

// ProvedNotRun reports whether an endpoint's answer proves that the endpoint
// did not run the request: status 503 with exactly one HeaderNotRun that holds
// a known reason. Any other answer, a plain 503 too, proves nothing.
func ProvedNotRun(status int, header http.Header) (NotRunReason, bool) {
	values := header[HeaderNotRun]
	if status != http.StatusServiceUnavailable || len(values) != 1 {
		return "", false
	}
	return ParseNotRunReason(values[0])
}

// FormatDeadline returns left in whole milliseconds, rounded down so that an
// endpoint never believes that it has more time than it has. Negative is "0".
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// ParseDeadline reads the value of HeaderDeadline.
func ParseDeadline(value string) (time.Duration, bool) {
	millis, ok := parseUint(value, uint64(maxDeadline.Milliseconds()))
	return time.Duration(millis) * time.Millisecond, ok
}

// ParseAttempt reads the value of HeaderAttempt, 1 or more.
func ParseAttempt(value string) (int, bool) {
	attempt, ok := parseUint(value, maxCount)
	return int(attempt), ok && attempt > 0
}

// ParseDepth reads the value of HeaderDepth as a caller sends it, 0 to MaxDepth.
func ParseDepth(value string) (int, bool) {
	depth, ok := parseUint(value, MaxDepth)
	return int(depth), ok
}

// FormatIncarnation returns the value of HeaderIncarnation.
func FormatIncarnation(incarnation uint64) string {
	return strconv.FormatUint(incarnation, 10)
}

// ParseIncarnation reads the value of HeaderIncarnation; zero is malformed.
func ParseIncarnation(value string) (uint64, bool) {
	incarnation, err := strconv.ParseUint(value, 10, 64)
	return incarnation, err == nil && incarnation > 0
}

// parseUint reads a decimal number of digits only, at most limit. Unlike
// strconv it makes no error value for malformed input.
func parseUint(value string, limit uint64) (uint64, bool) {
	if value == "" || len(value) > maxDigits {
		return 0, false
	}
	var number uint64
	for i := range len(value) {
		digit := value[i] - '0'
		if digit > 9 {
			return 0, false
		}
		number = number*10 + uint64(digit)
	}
	if number > limit {
		return 0, false
	}
	return number, true
}

// maxDigits keeps parseUint from overflowing.
const maxDigits = 18
