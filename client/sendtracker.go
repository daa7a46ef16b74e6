package client

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// sendTracker is set once a part of a request may have left.
//
// Guards against a false "not run": net/http sends a request with an
// Idempotency-Key, or one with a safe method, a second time on its own when a
// kept connection dies under it. If the second time no connection can be opened
// at all, the error looks as if nothing had been sent. The first header that is
// written, to whatever connection, sets the mark.
type sendTracker struct{ sent atomic.Bool }

// withTrace returns a context that makes net/http set the mark.
func (m *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { m.sent.Store(true) },
	})
}

func (m *sendTracker) load() bool { return m.sent.Load() }

// isDialError reports whether err is that of opening a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
