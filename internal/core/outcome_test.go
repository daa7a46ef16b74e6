package core

import (
	"strings"
	"testing"
	"time"
)

// reactions lists what an endpoint, or the connection to it, can do with a request.
var reactions = map[string]reaction{
	"answers":     {after: 10 * ms},
	"answers 500": {after: 10 * ms, head: Head{Status: 500}},
	"answers 503": {after: 10 * ms, head: Head{Status: 503}},
	"refuses":     {after: 10 * ms, head: Head{Status: 503, NotRun: true}},
	"not dialled": {after: 10 * ms, ignores: true, end: End{Kind: EndNotWritten, DialFailed: true}},
	"not sent":    {after: 10 * ms, ignores: true, end: End{Kind: EndNotWritten}},
	"lost":        {after: 10 * ms, end: End{Kind: EndLost}},
	"silent":      {after: 10 * ms, end: End{Kind: EndLost, ConnSilent: true}},
	"breaks off":  {after: 10 * ms, end: End{Kind: EndTruncated}},
	"slow":        {after: 300 * ms},
	"slowly lost": {after: 300 * ms, end: End{Kind: EndLost}},
	"never":       {after: time.Hour},
	"bad body":    {after: 10 * ms, end: End{Kind: EndLost, BodyFailed: true}},
}

// runScript sends request a. Its attempts get the reactions that script lists, in order, and every
// later attempt is answered. It returns the caller's reply and the number of attempts.
func runScript(t *testing.T, a Arrival, script string) (reply, int) {
	h := newServingCluster(t, 1, "counts/c1", "counts/c2", "counts/c3", "counts/c4",
		"waste/w1", "waste/w2", "waste/w3", "shared/s1", "shared/s2", "shared/s3")
	n := h.nodes[0]
	for range 100 {
		n.services[a.Service].retry.Earn()
	}
	steps := strings.Split(script, ", ")
	sent := 0
	h.endpoint = func(string, Arrival) reaction {
		sent++
		if sent > len(steps) {
			return reactions["answers"]
		}
		re, known := reactions[steps[sent-1]]
		if !known {
			t.Fatalf("unknown reaction %q", steps[sent-1])
		}
		return re
	}
	if a.Service == "waste" {
		a.Key, a.HasKey = h.key(n), true
	}
	id := h.sendRequest(n, a)
	if a.Digest[0] == unreplayable {
		n.arrivals[id] = Arrival{Service: a.Service}
	}
	h.run(12 * sec)
	got, answered := n.replies[id]
	if !answered || got.repliedTwice || n.InFlight() != 0 {
		t.Errorf("answered %v, twice %v, %d requests still in flight", answered, got.repliedTwice, n.InFlight())
	}
	return got, sent
}

// unreplayable marks a request whose body can be sent only once.
const unreplayable = 255

// Guards against a wrong outcome or an unsafe repeat when attempts fail: each case ends the
// attempts of one request in different ways. The outcome is "not run" only if every attempt
// provably did not run, and only requests that may run twice, or provably did not run, are sent
// again.
func TestOutcomeIsWeakestOfAllAttempts(t *testing.T) {
	once, bulk, idempotentBulk := Arrival{Service: "waste"}, Arrival{Service: "photos"}, Arrival{Service: "photos", Idempotent: true}
	read, urgent, hedged := Arrival{Service: "counts"}, Arrival{Service: "checks"}, Arrival{Service: "hedged"}
	nested, belowRetry := Arrival{Service: "counts", Depth: 1}, Arrival{Service: "counts", CallerAttempt: 2}
	unreplayableRead := Arrival{Service: "counts", Digest: [32]byte{unreplayable}}
	nestedHedge := Arrival{Service: "hedged", Depth: 3}
	for _, tt := range []struct {
		name    string
		request Arrival
		script  string
		outcome Outcome
		reason  Reason
		sent    int
	}{
		{"a lost read is sent again", read, "lost", OutcomeDone, ReasonNone, 2},
		{"a read refused everywhere did not run", read, "refuses, refuses, refuses", OutcomeNotRun, ReasonEndpointsRefuse, 3},
		{"one lost attempt among refusals is unknown", read, "refuses, lost, refuses", OutcomeUnknown, ReasonEndpointsRefuse, 3},
		{"one lost attempt before failed dials is unknown", read, "lost, not dialled, not dialled", OutcomeUnknown, ReasonNoEndpoint, 3},
		{"a read is sent again after an error", read, "answers 500", OutcomeDone, ReasonNone, 2},
		{"the last error of a read is its answer", read, "answers 500, answers 500, answers 500", OutcomeDone, ReasonNone, 3},
		{"an error among refusals is unknown", read, "answers 500, refuses, refuses", OutcomeUnknown, ReasonEndpointsRefuse, 3},
		{"a read gets no answer", read, "never", OutcomeUnknown, ReasonDeadline, 1},
		{"a body that cannot be sent again", unreplayableRead, "refuses", OutcomeNotRun, ReasonEndpointsRefuse, 1},
		{"a broken body is not sent again", read, "bad body", OutcomeUnknown, ReasonBodyBroken, 1},
		{"a read is sent again after silent connections", read, "silent, silent", OutcomeDone, ReasonNone, 3},
		{"a lost once-only request is unknown", once, "lost", OutcomeUnknown, ReasonEndpointLost, 1},
		{"a once-only request on a silent connection is unknown", once, "silent", OutcomeUnknown, ReasonEndpointLost, 1},
		{"a refused once-only request goes elsewhere", once, "refuses, not dialled", OutcomeDone, ReasonNone, 3},
		{"a once-only request that was refused and then lost is unknown", once, "refuses, lost", OutcomeUnknown, ReasonEndpointLost, 2},
		{"a once-only request refused by all did not run", once, "refuses, not sent, refuses, refuses", OutcomeNotRun, ReasonEndpointsRefuse, 4},
		{"attempts that never left the entry do not count", once, "not sent, not sent, refuses, not sent, refuses", OutcomeDone, ReasonNone, 6},
		{"a read that cannot leave the entry did not run", read, strings.Repeat("not sent, ", 7) + "not sent", OutcomeNotRun, ReasonNoEndpoint, 8},
		{"an error is the answer to a once-only request", once, "answers 500", OutcomeDone, ReasonNone, 1},
		{"a plain 503 does not prove that a once-only request did not run", once, "answers 503", OutcomeUnknown, ReasonNone, 1},
		{"a plain 503 after a refusal does not prove that a once-only request did not run", once, "refuses, answers 503", OutcomeUnknown, ReasonNone, 2},
		{"a lost bulk upload is unknown", bulk, "lost", OutcomeUnknown, ReasonEndpointLost, 1},
		{"a lost idempotent bulk upload is sent again", idempotentBulk, "lost", OutcomeDone, ReasonNone, 2},
		{"a refused bulk upload goes elsewhere", bulk, "refuses", OutcomeDone, ReasonNone, 2},
		{"an urgent check is sent again", urgent, "lost, answers 503", OutcomeDone, ReasonNone, 3},
		{"a nested call that may have run is not sent again", nested, "lost", OutcomeUnknown, ReasonEndpointLost, 1},
		{"a nested call that was refused goes elsewhere", nested, "refuses", OutcomeDone, ReasonNone, 2},
		{"an error is the answer to a call below a retry", belowRetry, "answers 500", OutcomeDone, ReasonNone, 1},
		{"a hedge wins", hedged, "slow, answers", OutcomeDone, ReasonNone, 2},
		{"a hedge loses", hedged, "slow, never", OutcomeDone, ReasonNone, 2},
		{"a hedge fails and the first attempt answers", hedged, "slow, answers 500", OutcomeDone, ReasonNone, 2},
		{"a hedge is refused after the first attempt was lost", hedged, "slowly lost, refuses, refuses", OutcomeUnknown, ReasonEndpointsRefuse, 3},
		{"a nested call gets no hedge", nestedHedge, "slow", OutcomeDone, ReasonNone, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, sent := runScript(t, tt.request, tt.script)
			if got.Outcome != tt.outcome || got.Reason != tt.reason || sent != tt.sent {
				t.Errorf("outcome %v (%v) after %d attempts, want %v (%v) after %d", got.Outcome, got.Reason, sent, tt.outcome, tt.reason, tt.sent)
			}
		})
	}
}
