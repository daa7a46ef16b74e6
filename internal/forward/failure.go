package forward

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/tealhall/tealhall/internal/fault"
)

// Failure classifies why a request did not get a whole answer.
type Failure uint8

// The failures.
const (
	// None: there was no failure, or the error is not of this package.
	None Failure = iota
	// DialRefused: the address refused the connection; no process listens there.
	DialRefused
	// DialTimeout: no connection could be set up in time.
	DialTimeout
	// DialFailed: the connection could not be set up for another reason, such as an unreachable
	// network or no file descriptors left.
	DialFailed
	// NoConnection: all allowed connections to the address are busy.
	NoConnection
	// ConnectionLost: the connection ended before the head of the answer.
	ConnectionLost
	// Silent: nothing came back, not even acknowledgements of the bytes that were sent. The
	// connection is dead; the endpoint may be healthy.
	Silent
	// AnswerTimeout: the endpoint's kernel acknowledged the request, but the head of the answer did
	// not arrive within Config.HeaderTimeout.
	AnswerTimeout
	// Truncated: the answer ended before its body was complete.
	Truncated
	// BadAnswer: the answer is malformed or unframed, its head is too large, or it belongs to
	// another request.
	BadAnswer
	// BadBody: reading the caller's body failed or returned too few bytes.
	BadBody
	// BadRequest: the request cannot be written as HTTP/1.1.
	BadRequest
	// Cancelled: the context of the request was cancelled.
	Cancelled
	// Deadline: the deadline of the request's context passed.
	Deadline
	// Closed: Connections.Close was called.
	Closed
	// Withdrawn: Outgoing.MaySend returned false before the first byte was written.
	Withdrawn
)

// failureText describes a failure: name and remedy for operators, kind for programs.
type failureText struct {
	name   string
	kind   fault.Kind
	remedy string
}

var failureTexts = [...]failureText{
	None:           {"none", "", ""},
	DialRefused:    {"connection refused", fault.Unavailable, "start the endpoint or take it off the platform's list"},
	DialTimeout:    {"dial timed out", fault.Unavailable, "check the network to the endpoint"},
	DialFailed:     {"dial failed", fault.Unavailable, "check routes to the endpoint and this process's limits"},
	NoConnection:   {"no connection free", fault.RateLimited, "wait for a request to end or raise the bound on connections"},
	ConnectionLost: {"connection ended before the answer", fault.Unavailable, "look into the endpoint's log for a crash or a restart"},
	Silent:         {"connection went silent", fault.Unavailable, "try another connection and check the path to the endpoint"},
	AnswerTimeout:  {"no answer in time", fault.Unavailable, "look for load on the endpoint"},
	Truncated:      {"answer was cut off", fault.Truncated, "ask again if the request may run twice"},
	BadAnswer:      {"answer is not usable", fault.Unavailable, "make the endpoint send a whole HTTP/1.1 answer with a length or in chunks"},
	BadBody:        {"request body ended early", fault.BadRequest, "send the whole body"},
	BadRequest:     {"request cannot be written", fault.BadRequest, "correct the method, the target or the headers"},
	Cancelled:      {"request was cancelled", fault.Unavailable, "ask again if the answer is still wanted"},
	Deadline:       {"deadline passed", fault.Unavailable, "allow more time or lower the load"},
	Closed:         {"connections are closed", fault.Unavailable, "ask another entry"},
	Withdrawn:      {"request was withdrawn before it was sent", fault.Unavailable, "ask again if the answer is still wanted"},
}

// String returns the failure's name, such as "dial timed out".
func (f Failure) String() string { return failureTexts[f].name }

// Error is the error type of this package. It is cheap to create: its text and its fault are built
// only on demand.
type Error struct {
	// Failure is the class of the error.
	Failure Failure
	// Address is the endpoint's address.
	Address string
	// Cause is the underlying error; may be nil.
	Cause error
}

// Error describes the failure and its remedy.
func (e *Error) Error() string {
	text := failureTexts[e.Failure]
	message := e.Address + ": " + text.name
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	return message + "; " + text.remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// As lets fault.KindOf and fault.Remedy see the typed fault. The fault is created only here,
// because it records a stack, which is too expensive for each failed attempt.
func (e *Error) As(target any) bool {
	text := failureTexts[e.Failure]
	return errors.As(fault.New(text.kind, text.remedy, "%s: %s", e.Address, text.name), target)
}

// FailureOf returns the class of err, or None if err is not of this package.
func FailureOf(err error) Failure {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Failure
	}
	return None
}

// contextFailure returns the class of a context that has ended.
func contextFailure(ctx context.Context) Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Deadline
	}
	return Cancelled
}

// dialFailure classifies an error of the dialer.
func dialFailure(err error) Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT),
		errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}
