package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// A process short of processor time returns its connections late: the endpoint has a
// free slot, and yet all connections to it are in use. Requests were told that there is
// no endpoint. They wait for one that comes free, whether it ends well or breaks off; a
// caller that leaves is let go at once.
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
			eventually(t, "someone waits", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.freed != nil
			})
			leave()
			if err := <-left; FailureOf(err) != Cancelled {
				t.Errorf("the caller that left got %v", err)
			}
			ends.end(busy)
			for range 3 {
				if err := <-answered; err != nil {
					t.Errorf("one that waited got %v", err)
				}
			}
		})
	}
}
