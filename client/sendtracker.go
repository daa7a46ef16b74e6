package client

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// sendTracker records whether any part of a request may have been sent.
//
// Guards against a false "not run": net/http retries a request with an Idempotency-Key or a safe
// method by itself when a reused connection breaks. If the retry cannot open a connection, the
// error of the retry looks as if nothing had been sent. The tracker is set when the first header is
// written to any connection.
type sendTracker struct{ sent atomic.Bool }

// withTrace returns a context that makes net/http set the tracker.
func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { t.sent.Store(true) },
	})
}

func (t *sendTracker) anySent() bool { return t.sent.Load() }

// isDialError reports whether err occurred while a connection was opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
