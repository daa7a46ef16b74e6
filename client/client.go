// Package client sends requests to services behind tealhall. It asks an entry which entries to use,
// caches the list for its time to live, picks an entry, fails over to others, makes idempotency
// keys and reports each outcome as a typed value.
//
// Callers in other languages can use the same HTTP interface: see docs/CALLERS.md.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/headcheck"
)

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	// Done means that an endpoint answered; the Result has its response.
	Done Outcome = "done"
	// NotRun means that no endpoint ran the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run. The caller can repeat a read; for a request that
	// must run once, it has to ask the application whether the request ran.
	Unknown Outcome = "unknown"
)

// Options configure a Client.
type Options struct {
	// Seeds are addresses (IP:port) of entries from which the client requests its first list.
	Seeds []string
	// Caller is the caller's name; required. Entries divide capacity fairly between callers by it.
	Caller string
	// Domain is the caller's failure domain, or "".
	Domain string
	// HTTP sends the requests; nil means a new client that keeps up to 64 idle connections to each
	// entry. Redirects are never followed: they are the endpoint's response.
	HTTP *http.Client
	// TLS, if not nil, makes the client connect to entries over TLS and says how to verify their
	// certificates. If HTTP is set, its transport needs the same configuration.
	TLS *tls.Config
	// MaxAnswer is the largest response body in bytes; 0 means 64 MiB. If a response body is
	// larger, the outcome is Unknown and Result.Err says why.
	MaxAnswer int64
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Wait waits for d before another try; nil means a timer. When the context ends, Wait returns
	// early with the context's error.
	Wait func(ctx context.Context, d time.Duration) error
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path with the query, as the endpoint receives it.
	Path   string
	Header http.Header
	Body   []byte
	// Once sends the request with an idempotency key, so that it runs at most once over all tries
	// of one Do.
	Once bool
}

// body returns a new reader of the body, or nil if there is none.
func (r *Request) body() io.Reader {
	if len(r.Body) == 0 {
		return nil
	}
	return bytes.NewReader(r.Body)
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the response: the endpoint's if Outcome is Done, otherwise the
	// entry's explanation, if one arrived.
	Status int
	Header http.Header
	Body   []byte
	// Reason is the entry's reason for the outcome, or "" if an endpoint answered.
	Reason string
	// RetryAfter is the delay after which the caller should try again; 0 if the entry gave none.
	RetryAfter time.Duration
	// Entry is the name of the entry that the last try was sent to.
	Entry string
	// Key is the idempotency key of the last try, or "".
	Key string
	// Tries is the number of requests sent to entries.
	Tries int
	// Err is the error between the caller and the entry, or nil if an entry's response arrived
	// complete. Its kind is fault.Truncated if the response broke off.
	Err error
}

// Limits of one Do and of the connections to entries.
const (
	maxTries   = 4
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	idleConns  = 64
	// dialTimeout is the longest time to open a connection to an entry.
	dialTimeout = time.Second
	// maxAnswer is the default of Options.MaxAnswer.
	maxAnswer = 64 << 20
)

// Client sends requests through tealhall. It is safe for concurrent use.
type Client struct {
	opts      Options
	http      *http.Client
	directory *directory
}

// New returns a client. It opens no connection yet.
func New(opts Options) (*Client, error) {
	if len(opts.Seeds) == 0 {
		return nil, fault.New(fault.BadSettings, "give the address of at least one entry", "no seeds")
	}
	if opts.Caller == "" {
		return nil, fault.New(fault.BadSettings, "name the caller", "no caller")
	}
	if opts.HTTP == nil {
		opts.HTTP = newHTTP(opts.TLS)
	}
	if opts.MaxAnswer <= 0 {
		opts.MaxAnswer = maxAnswer
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Wait == nil {
		opts.Wait = wait
	}
	httpClient := *opts.HTTP
	httpClient.Transport = headcheck.Transport(httpClient.Transport)
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{opts: opts, http: &httpClient, directory: newDirectory(opts, &httpClient)}, nil
}

// newHTTP returns the HTTP client that is used if Options.HTTP is nil. It does not decompress
// responses, so that their length and digest headers match the body.
func newHTTP(tlsConfig *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: idleConns,
		DialContext:         dial,
		DisableCompression:  true,
	}}
}

// url returns the URL of a path at an entry.
func (o *Options) url(address, path string) string {
	if o.TLS != nil {
		return "https://" + address + path
	}
	return "http://" + address + path
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do sends a request and tries again where that is safe: through another entry when the request was
// not run or may run twice, and with the same key when the response to a request that must run once
// was lost. Do returns an error only if it has no list of entries for the service; NotRun and
// Unknown are outcomes, not errors.
func (c *Client) Do(ctx context.Context, req Request) (Result, error) {
	entries, err := c.directory.entries(ctx, req.Service)
	if err != nil {
		return Result{Outcome: NotRun, Err: err}, err
	}
	session := &session{client: c, request: req, entries: entries}
	return session.run(ctx), nil
}

// NewKey makes an idempotency key from an entry's key prefix.
func NewKey(prefix string) (string, error) {
	const randomBytes = 16
	var random [randomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", fault.Wrap(err, fault.BadKey, "check the system's source of randomness", "cannot read random bytes")
	}
	return prefix + hex.EncodeToString(random[:]), nil
}
