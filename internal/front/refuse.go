package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
)

// Refusal is an answer that the entry makes itself.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is what became of the request.
	Outcome contract.Outcome
	// Reason is one or two words for programs.
	Reason string
	// Message says what is wrong and what the caller can do.
	Message string
	// RetryAfter, if positive, is rounded up to whole seconds.
	RetryAfter time.Duration
	// Close asks the caller to close the connection.
	Close bool
}

// Refuse answers with a refusal. Nothing may have been written to w before.
func Refuse(w http.ResponseWriter, refusal Refusal) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(refusal.Message)+1))
	header.Set(contract.HeaderOutcome, string(refusal.Outcome))
	header.Set(contract.HeaderReason, refusal.Reason)
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if refusal.Close {
		header.Set("Connection", "close")
	}
	w.WriteHeader(refusal.Status)
	w.Write([]byte(refusal.Message + "\n"))
}

// refuseShape answers a request whose head was refused.
func refuseShape(w http.ResponseWriter, shape Shape) {
	Refuse(w, Refusal{
		Status:  shape.Status(),
		Outcome: contract.OutcomeNotRun,
		Reason:  "bad request",
		Message: "the request was refused: " + shape.String(),
		Close:   true,
	})
}

// RefuseTooLarge answers a request whose body is larger than limit bytes.
// sentOn is set when a byte of the request was written to an endpoint.
func RefuseTooLarge(w http.ResponseWriter, limit int64, sentOn bool) {
	outcome := contract.OutcomeNotRun
	if sentOn {
		outcome = contract.OutcomeUnknown
	}
	Refuse(w, Refusal{
		Status:  http.StatusRequestEntityTooLarge,
		Outcome: outcome,
		Reason:  "body too large",
		Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes; send less at a time",
		Close:   true,
	})
}
