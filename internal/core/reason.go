package core

import "net/http"

// Reason says why tealhall answered a caller itself, instead of an endpoint.
type Reason uint8

// The reasons. Each has a name, a status and a remedy for the caller.
const (
	ReasonNone Reason = iota
	ReasonUnknownService
	ReasonStarting
	ReasonBehind
	ReasonQueueFull
	ReasonCallerShare
	ReasonTooLate
	ReasonDeadline
	ReasonNoEndpoint
	ReasonOverload
	ReasonLinkFull
	ReasonEndpointsRefuse
	ReasonBackoff
	ReasonUnreachable
	ReasonEndpointLost
	ReasonQuarantined
	ReasonAnswerBroken
	ReasonKeyRequired
	ReasonKeyBad
	ReasonKeyMismatch
	ReasonKeyExpired
	ReasonKeyFuture
	ReasonKeySpent
	ReasonKeyTableFull
	ReasonKeyDone
	ReasonKeyUnknown
	ReasonHomeLost
	ReasonHomeUnreachable
	ReasonHomeStopped
	ReasonStopping
	ReasonTooDeep
	ReasonBodyTooLarge
	ReasonBadRequest
	ReasonBodyBroken
	ReasonBodyLate
	ReasonMemoryFull
	reasonCount
)

// reasonText describes a reason to callers.
type reasonText struct {
	name   string
	status int
	remedy string
}

var reasonTexts = [reasonCount]reasonText{
	ReasonNone:            {"none", http.StatusOK, ""},
	ReasonUnknownService:  {"unknown-service", http.StatusNotFound, "name a service of the published profiles in the Tealhall-Service header"},
	ReasonStarting:        {"starting", http.StatusServiceUnavailable, "use another entry; this one has no profiles in force yet"},
	ReasonBehind:          {"behind", http.StatusServiceUnavailable, "come back after Retry-After; a later revision of the profiles exists that is not in force here yet"},
	ReasonQueueFull:       {"queue-full", http.StatusServiceUnavailable, "come back after Retry-After"},
	ReasonCallerShare:     {"caller-share", http.StatusTooManyRequests, "send fewer requests at a time; this caller holds its share of the queue"},
	ReasonTooLate:         {"too-late", http.StatusServiceUnavailable, "come back after Retry-After or allow a longer deadline"},
	ReasonDeadline:        {"deadline", http.StatusGatewayTimeout, "allow a longer deadline or come back later"},
	ReasonNoEndpoint:      {"no-endpoint", http.StatusServiceUnavailable, "come back after Retry-After; no endpoint of the service takes work now"},
	ReasonOverload:        {"overload", http.StatusServiceUnavailable, "use another entry; this one has reached its bound of requests in flight"},
	ReasonLinkFull:        {"link-full", http.StatusServiceUnavailable, "use another entry or come back after Retry-After; this one has too many large answers to send"},
	ReasonEndpointsRefuse: {"endpoints-refuse", http.StatusServiceUnavailable, "come back after Retry-After; every endpoint tried refused the request"},
	ReasonBackoff:         {"backoff", http.StatusServiceUnavailable, "come back after Retry-After; all endpoints of the service have asked for a time without requests"},
	ReasonUnreachable:     {"unreachable", http.StatusServiceUnavailable, "come back after Retry-After; this entry reaches no endpoint of the service, nor does any other entry that was asked"},
	ReasonEndpointLost:    {"endpoint-lost", http.StatusBadGateway, "ask again only if running the request twice is harmless, or with the same idempotency key"},
	ReasonQuarantined:     {"quarantined", http.StatusServiceUnavailable, "mend the request or the service; endpoints crashed whenever they ran it, and it is not sent again for minutes"},
	ReasonAnswerBroken:    {"answer-broken", http.StatusBadGateway, "ask again only if running the request twice is harmless, or with the same idempotency key"},
	ReasonKeyRequired:     {"key-required", http.StatusBadRequest, "ask an entry for its key prefix and send an Idempotency-Key made from it"},
	ReasonKeyBad:          {"key-bad", http.StatusBadRequest, "make the Idempotency-Key from the key prefix of an entry and 32 random hexadecimal digits"},
	ReasonKeyMismatch:     {"key-mismatch", http.StatusUnprocessableEntity, "make a new Idempotency-Key; this one names another request"},
	ReasonKeyExpired:      {"key-expired", http.StatusConflict, "check in the application whether the request was run; the key is too old for tealhall to know"},
	ReasonKeyFuture:       {"key-future", http.StatusBadRequest, "make the Idempotency-Key from the key prefix that the entry gives"},
	ReasonKeySpent:        {"key-spent", http.StatusConflict, "ask again with a new key; this one was told not run and will never run"},
	ReasonKeyTableFull:    {"key-table-full", http.StatusServiceUnavailable, "come back after Retry-After with the same or a new key"},
	ReasonKeyDone:         {"key-done", http.StatusConflict, "nothing; the request was run, its answer was too large to keep"},
	ReasonKeyUnknown:      {"key-unknown", http.StatusConflict, "check in the application whether the request was run; tealhall will not run it again"},
	ReasonHomeLost:        {"home-lost", http.StatusConflict, "check in the application whether the request was run; the entry that may have run it is lost"},
	ReasonHomeUnreachable: {"home-unreachable", http.StatusGatewayTimeout, "ask again with the same key after Retry-After"},
	ReasonHomeStopped:     {"home-stopped", http.StatusServiceUnavailable, "ask again with a new key; the entry that could run this one has stopped"},
	ReasonStopping:        {"stopping", http.StatusServiceUnavailable, "use another entry; this one is leaving"},
	ReasonTooDeep:         {"too-deep", http.StatusLoopDetected, "break the cycle of calls; a call may be nested in at most 6 others"},
	ReasonBodyTooLarge:    {"body-too-large", http.StatusRequestEntityTooLarge, "send a smaller body or raise max_body in the profile"},
	ReasonBadRequest:      {"bad-request", http.StatusBadRequest, "send a well-formed request"},
	ReasonBodyBroken:      {"body-broken", http.StatusBadRequest, "send the whole body again"},
	ReasonBodyLate:        {"body-late", http.StatusRequestTimeout, "send the body faster or allow a longer deadline"},
	ReasonMemoryFull:      {"memory-full", http.StatusServiceUnavailable, "use another entry or come back after Retry-After; this one has no memory for another request"},
}

// String returns the reason's name as callers see it.
func (r Reason) String() string { return reasonTexts[r].name }

// Status returns the HTTP status that belongs to the reason.
func (r Reason) Status() int { return reasonTexts[r].status }

// ReasonNamed returns the reason with a name, or ReasonNone.
func ReasonNamed(name string) Reason {
	for r := range reasonCount {
		if reasonTexts[r].name == name {
			return r
		}
	}
	return ReasonNone
}

// Remedy returns what the caller can do about the reason.
func (r Reason) Remedy() string { return reasonTexts[r].remedy }
