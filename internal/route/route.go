// Package route holds the table by which an entry finds what a request is for:
// host and longest path prefix lead to a service, or to several services that
// share the requests by weight. A Table never changes and is safe for concurrent
// use.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent Kind = "non_idempotent"
	// Upload requests have large bodies and run at most once as well.
	Upload Kind = "upload"
)

// Kinds returns every kind, in the order of the reference tables.
func Kinds() []Kind { return []Kind{Idempotent, NonIdempotent, Upload} }

// Part is a service that gets a share of a route's requests.
type Part struct {
	Service string `json:"service"`
	// Weight is the part's share against the other parts' weights. In a Table it is a whole
	// number above 0.
	Weight float64 `json:"weight"`
}

// Route leads requests to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Priority is the rank among routes, 0 the highest.
	Priority int `json:"priority"`
	// Timeout is the longest that a request may stay without its final answer, 0 if the route
	// does not say.
	Timeout Millis `json:"timeout_ms"`
	// Objective is the latency within which an answer has its full value, 0 for none.
	Objective Millis `json:"objective_ms"`
	// MaxAttempts is the most endpoints that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Parts are the services, one unless the requests are split.
	Parts []Part `json:"parts"`
}

// Service is what operators say of a service's endpoints.
type Service struct {
	Name string `json:"name"`
	// ProbePath is where its endpoints tell their health and load.
	ProbePath string `json:"probe_path"`
	// MaxConnections is how many connections one endpoint takes from everybody.
	MaxConnections int `json:"max_connections"`
	// Warmup is how long an endpoint is cold after its start, WarmupRate the requests a second
	// that a cold one bears; 0 for endpoints that need not warm up.
	Warmup     Millis  `json:"warmup_ms,omitempty"`
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// Limits bound what a caller may send, for all routes alike.
type Limits struct {
	// HeaderBytes bounds a request's head, BodyBytes its body.
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// HeaderTimeout bounds the arrival of a head, IdleTimeout the silence on a
	// kept connection.
	HeaderTimeout Millis `json:"header_timeout_ms"`
	IdleTimeout   Millis `json:"idle_timeout_ms"`
}

// Millis is a duration that is written as a whole number of milliseconds.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Table is one accepted document.
type Table struct {
	routes   []Route // sorted by name
	services []Service
	limits   Limits
	problems []string
	// hosts lists each host's routes, the longest prefix first.
	hosts map[string][]*Route
}

// Routes returns all routes, sorted by name. They must not be changed.
func (t *Table) Routes() []Route { return t.routes }

// Services returns all services, sorted by name. They must not be changed.
func (t *Table) Services() []Service { return t.services }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Problems returns what was set right in the document or left out, a bounded number of texts.
func (t *Table) Problems() []string { return t.problems }

// Find returns the route of a request: among those of its host the one with the
// longest prefix that begins the path. A port in the host is ignored.
func (t *Table) Find(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	routes := t.hosts[strings.ToLower(name)]
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// index builds the lists of hosts.
func (t *Table) index() {
	t.hosts = make(map[string][]*Route)
	for i := range t.routes {
		r := &t.routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
}
