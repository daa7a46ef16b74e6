package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
)

// relayHeaders are the headers that a relayed request has between two entries, in every dialect.
var relayHeaders = []string{contract.HeaderForwarded, contract.HeaderAttempt, contract.HeaderCaller, contract.HeaderRevision, contract.HeaderCounted}

// addRelayHeader adds the headers of a request that is relayed to another entry. An attempt above 1
// keeps the other entry from repeating a request that may have run.
func (x *exchange) addRelayHeader(h http.Header, d core.Directive) {
	attempt := x.callerAttempt
	if d.Repeated {
		attempt++
	}
	h[contract.HeaderForwarded] = []string{contract.RelayedValue}
	h[contract.HeaderAttempt] = []string{strconv.Itoa(attempt)}
	h[contract.HeaderCaller] = []string{x.caller}
	h[contract.HeaderRevision] = []string{strconv.FormatUint(x.entry.revision.Load(), 10)}
	h[contract.HeaderCounted] = nil // the caller's own
	if d.Counted {
		h[contract.HeaderCounted] = []string{contract.CountedValue}
	}
}

// dropRelayHeader keeps the headers between two entries from an endpoint, except for those that the
// dialect sets itself.
func dropRelayHeader(h http.Header) {
	for _, name := range relayHeaders {
		if _, set := h[name]; !set {
			h[name] = nil
		}
	}
}

// markRelayed adds to an answer what the entry that relayed the request needs to know. The outcome
// has no reason if the answer is an endpoint's.
func (e *Entry) markRelayed(h http.Header, r *http.Request, outcome core.Outcome, reason core.Reason) {
	if isRelayed(r) {
		nativeDialect{}.SetAnswerHeaders(h, e.mark(outcome, reason))
	}
}

// relayedHead reads the head of another entry's answer to a relayed request.
func relayedHead(d core.Directive, response *http.Response) core.Head {
	outcome, reason := contract.Outcome(response.Header.Get(contract.HeaderOutcome)), response.Header.Get(contract.HeaderReason)
	h := core.Head{ID: d.ID, Attempt: d.Attempt, Status: response.StatusCode}
	switch {
	case outcome == contract.OutcomeNotRun:
		h.NotRun, h.Reason = true, core.ReasonNamed(reason)
		h.RetryAfter = contract.ParseRetryAfter(response.StatusCode, response.Header, time.Now())
	case outcome == "" || reason != "":
		h.Unusable = true
	}
	return h
}

// dropRelayMarks removes what another entry's answer says about that entry.
func dropRelayMarks(h http.Header) {
	for _, name := range (nativeDialect{}).EntryHeaders() {
		delete(h, name)
	}
}
