// Package route provides the table by which an entry routes requests: host and longest path prefix
// determine a service, or several services that share the requests by weight. A Table is immutable
// and safe for concurrent use.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a route's requests may run more than once.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent Kind = "non_idempotent"
	// Upload requests have large bodies and run at most once as well.
	Upload Kind = "upload"
	// Download requests have large answers and may run more than once.
	Download Kind = "download"
)

// MayRepeat reports whether a request of the kind may run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Download }

// Kinds returns every kind, in the order of the tables in the reference documentation.
func Kinds() []Kind { return []Kind{Idempotent, NonIdempotent, Upload, Download} }

// Part is a service that gets a share of a route's requests.
type Part struct {
	Service string `json:"service"`
	// Weight is the part's share of the requests, relative to the weights of the other parts. In a
	// Table it is a whole number above 0.
	Weight float64 `json:"weight"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Rank orders routes by importance; 0 is the highest.
	Rank int `json:"priority"`
	// Timeout is how long a request may take until its final answer, 0 if the route sets no limit.
	Timeout Millis `json:"timeout_ms"`
	// Objective is the latency within which an answer has its full value, 0 for none.
	Objective Millis `json:"objective_ms"`
	// MaxAttempts is the most endpoints that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Parts are the services: one, or several if the requests are split.
	Parts []Part `json:"parts"`
}

// Service is the configuration of a service's endpoints.
type Service struct {
	Name string `json:"name"`
	// ProbePath is the path at which its endpoints report their health and load.
	ProbePath string `json:"probe_path"`
	// MaxConnections is how many connections one endpoint accepts from all entries together.
	MaxConnections int `json:"max_connections"`
	// Warmup is how long an endpoint is cold after its start. WarmupRate is the requests per second
	// that a cold endpoint can handle. Both are 0 for endpoints that need no warm-up.
	Warmup     Millis  `json:"warmup_ms,omitempty"`
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// Limits bound what a caller may send. They apply to all routes.
type Limits struct {
	// HeaderBytes limits the size of a request's head, BodyBytes that of its body.
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// HeaderTimeout limits the time in which a request's head must arrive, IdleTimeout how long a
	// connection may stay idle between requests.
	HeaderTimeout Millis `json:"header_timeout_ms"`
	IdleTimeout   Millis `json:"idle_timeout_ms"`
}

// Millis is a duration encoded as a whole number of milliseconds.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Table is the compiled form of a document with routes.
type Table struct {
	routes   []Route // sorted by name
	services []Service
	limits   Limits
	problems []string
	// hosts maps each lower-case host to its routes, the longest prefix first.
	hosts map[string][]*Route
}

// Routes returns all routes, sorted by name. The caller must not modify them.
func (t *Table) Routes() []Route { return t.routes }

// Services returns all services, sorted by name. The caller must not modify them.
func (t *Table) Services() []Service { return t.services }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Problems describes the parts of the document that were corrected or left out. The number of
// descriptions is limited.
func (t *Table) Problems() []string { return t.problems }

// Find returns the route of a request: among the routes of its host the one with the longest prefix
// of path. A port in host is ignored.
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

// index builds hosts from routes.
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
