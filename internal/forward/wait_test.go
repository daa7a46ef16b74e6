package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// An entry that is short of CPU time releases its connections late: all its connections to an
// endpoint are in use although the endpoint has a free slot. Requests then failed because no
// endpoint was available. They must wait for a connection to become free, whether its answer is
// read whole or dropped. A request whose caller leaves must stop waiting at once.
func TestRequestsWaitForAFreeConnection(t *testing.T) {
	e := newEndpoint(t, answerEvery(okAnswer))
	c := newConnections(t, Config{MaxConnsPerEndpoint: 1, DialTimeout: time.Minute})
	for _, ends := range []struct {
		name string
		end  func(*http.Response)
	}{
		{"an answer that is read", func(r *http.Response) { io.Copy(io.Discard, r.Body); r.Body.Close() }},
		{"an answer that is dropped", func(r *http.Response) { r.Body.Close() }},
	} {
		t.Run(ends.name, func(t *testing.T) {
			busy, _, err := c.Send(t.Context(), outgoing(t, e.address, http.MethodGet, ""))
			if err != nil {
				t.Fatal(err)
			}
			leaving, leave := context.WithCancel(t.Context())
			left, answered := make(chan error), make(chan error)
			go func() {
				_, _, err := c.Send(leaving, outgoing(t, e.address, http.MethodGet, ""))
				left <- err
			}()
			for range 3 {
				go func() {
					_, _, err := exchangeText(c, outgoing(t, e.address, http.MethodGet, ""))
					answered <- err
				}()
			}
			p := c.lookup(e.address)
			eventually(t, "a request waits for a connection", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.freed != nil
			})
			leave()
			if err := <-left; FailureOf(err) != Cancelled {
				t.Errorf("the request of the caller that left got %v, want a cancellation", err)
			}
			ends.end(busy)
			for range 3 {
				if err := <-answered; err != nil {
					t.Errorf("a waiting request got %v", err)
				}
			}
		})
	}
}
