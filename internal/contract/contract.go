// Package contract defines the HTTP headers and paths that callers, entries and endpoints agree on,
// and formats and parses their values. docs/ENDPOINTS.md and docs/CALLERS.md describe the same
// contract.
//
// The functions of this package run for every request: for well-formed input they allocate at most
// the string that they return, and they report malformed input by a bool or, for a rate limit, by
// zero instead of an error.
package contract

import (
	"net/http"
	"strconv"
	"time"
)

// Headers that an entry sends to an endpoint with every attempt. All names in this package are in
// canonical form, so they may index an http.Header directly.
const (
	// HeaderDeadline is the time left for the attempt in whole milliseconds.
	HeaderDeadline = "Tealhall-Deadline-Ms"
	// HeaderAttempt counts the attempts at a request; the first is 1.
	HeaderAttempt = "Tealhall-Attempt"
	// HeaderDepth is the depth to which the call is nested in other calls. A caller sends 0 to
	// MaxDepth, or omits the header for 0; the entry sends the endpoint one more.
	HeaderDepth = "Tealhall-Depth"
	// HeaderRequest identifies the caller's request; all attempts at the request carry the same
	// value.
	HeaderRequest = "Tealhall-Request"
	// HeaderIdempotencyKey is the caller's idempotency key, if the request has one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService names the service that the request is for. Callers send it to the entry, and
	// the entry sends it to the endpoint.
	HeaderService = "Tealhall-Service"
)

// Headers of an endpoint's answer.
const (
	// HeaderLoad reports the endpoint's load, see Load. Every answer has it.
	HeaderLoad = "Tealhall-Load"
	// HeaderIncarnation is the endpoint's incarnation, a decimal uint64.
	HeaderIncarnation = "Tealhall-Incarnation"
	// HeaderDraining is DrainingValue on every answer of an endpoint that is leaving.
	HeaderDraining = "Tealhall-Draining"
	// HeaderRateLimit is the number of requests per second that the endpoint accepts from all
	// entries together, a decimal number. Every answer has it while the limit applies.
	HeaderRateLimit = "Tealhall-Rate-Limit"
	// HeaderNotRun states that the endpoint did not run the request, and the reason, see
	// NotRunReason. It counts only on an answer with status 503.
	HeaderNotRun = "Tealhall-Not-Run"
)

// Headers between a caller and an entry, besides HeaderService and HeaderIdempotencyKey.
const (
	// HeaderCaller names the caller, for fairness between callers.
	HeaderCaller = "Tealhall-Caller"
	// HeaderOutcome is the typed outcome of an answer, see Outcome.
	HeaderOutcome = "Tealhall-Outcome"
	// HeaderReason gives the reason for the outcome in a word or two.
	HeaderReason = "Tealhall-Reason"
	// HeaderRevision is the newest profile revision known to the sender.
	HeaderRevision = "Tealhall-Revision"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "Tealhall-Entry"
	// HeaderForwarded marks a request that one entry forwarded to another.
	HeaderForwarded = "Tealhall-Forwarded"
	// HeaderCounted is CountedValue on a relayed request that another entry has counted for the fleet's
	// bound on repeats.
	HeaderCounted = "Tealhall-Counted"
)

// Reserved paths. Requests below ReservedPrefix are never passed to a service.
const (
	ReservedPrefix = "/.tealhall/"
	// EntriesPath returns the entries that a caller may use.
	EntriesPath = "/.tealhall/entries"
	// ProbePath is the path of load probes at an endpoint. Each probe occupies one of its slots for
	// about 6 ms.
	ProbePath = "/.tealhall/probe"
	// HealthPath returns whether an entry is ready.
	HealthPath = "/.tealhall/health"
)

// DrainingValue is the value of HeaderDraining at an endpoint that is leaving.
const DrainingValue = "1"

// MaxDepth is the deepest nesting of calls that an entry accepts.
const MaxDepth = 6

// maxDeadline is the largest deadline that ParseDeadline accepts: no request may wait longer than a
// day, and a duration of so many milliseconds does not overflow.
const maxDeadline = 24 * time.Hour

// Outcome states to the caller whether its request ran.
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

// NotRunReason is the reason for which an endpoint did not run a request.
type NotRunReason string

// The reasons accepted in HeaderNotRun.
const (
	// NotRunBusy: all slots are in use and the queue is full.
	NotRunBusy NotRunReason = "busy"
	// NotRunDraining: the endpoint is leaving and accepts no new requests.
	NotRunDraining NotRunReason = "draining"
	// NotRunDeadline: the deadline passed before the request got a slot.
	NotRunDeadline NotRunReason = "deadline"
	// NotRunOverload: the endpoint sheds load for another reason.
	NotRunOverload NotRunReason = "overload"
)

// ParseNotRunReason parses the value of HeaderNotRun.
func ParseNotRunReason(value string) (NotRunReason, bool) {
	switch reason := NotRunReason(value); reason {
	case NotRunBusy, NotRunDraining, NotRunDeadline, NotRunOverload:
		return reason, true
	}
	return "", false
}

// ProvedNotRun reports whether an endpoint's answer proves that the endpoint did not run the
// request: status 503 with exactly one HeaderNotRun and a known reason. Any other answer proves
// nothing, including a 503 without the header.
func ProvedNotRun(status int, header http.Header) (NotRunReason, bool) {
	values := header[HeaderNotRun]
	if status != http.StatusServiceUnavailable || len(values) != 1 {
		return "", false
	}
	return ParseNotRunReason(values[0])
}

// FormatDeadline returns left in whole milliseconds, rounded down so that an endpoint never assumes
// more time than is left. It returns "0" for a negative duration.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// ParseDeadline parses the value of HeaderDeadline.
func ParseDeadline(value string) (time.Duration, bool) {
	millis, ok := parseUint(value, uint64(maxDeadline.Milliseconds()))
	return time.Duration(millis) * time.Millisecond, ok
}

// ParseAttempt parses the value of HeaderAttempt, which is 1 or more.
func ParseAttempt(value string) (int, bool) {
	attempt, ok := parseUint(value, maxCount)
	return int(attempt), ok && attempt > 0
}

// ParseDepth parses the value of HeaderDepth that a caller sends, 0 to MaxDepth.
func ParseDepth(value string) (int, bool) {
	depth, ok := parseUint(value, MaxDepth)
	return int(depth), ok
}

// FormatIncarnation returns the value of HeaderIncarnation.
func FormatIncarnation(incarnation uint64) string {
	return strconv.FormatUint(incarnation, 10)
}

// ParseIncarnation parses the value of HeaderIncarnation; 0 is malformed.
func ParseIncarnation(value string) (uint64, bool) {
	incarnation, err := strconv.ParseUint(value, 10, 64)
	return incarnation, err == nil && incarnation > 0
}

// parseUint parses a decimal number without a sign, at most limit. Unlike strconv it allocates no
// error for malformed input.
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
