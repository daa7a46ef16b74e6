package intake

import (
	"net/http"
	"time"
)

// bodyTimeout bounds the time for the body of a request to a server that expects none.
const bodyTimeout = time.Second

// Bound bounds the connections of s, a server of requests without bodies, and the time for a body that a
// client sends nevertheless. It must be called before s serves.
func Bound(s *http.Server, connections int) *Connections {
	start := time.Now()
	c := NewConnections(connections, func() time.Duration { return time.Since(start) }, nil)
	s.ConnState = c.State
	s.Handler = limitBody(s.Handler)
	return c
}

// limitBody bounds the time in which the server reads the body of a request that its handler leaves
// unread. The deadline must not be set for a request without a body, since net/http takes its expiry for
// the client's departure.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
