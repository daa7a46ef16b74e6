// Package client is for callers of services behind tealhall. It asks an entry
// for the entries to use, keeps the answer for its time to live, picks one,
// fails over, makes idempotency keys and reports each outcome as a typed value.
//
// Callers in other languages can do the same by HTTP: see docs/CALLERS.md.
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
)

// Outcome is what is known of a request.
type Outcome string

// The outcomes of a request.
const (
	// Done: an endpoint answered; the Result holds its answer.
	Done Outcome = "done"
	// NotRun: no endpoint ran the request and none will.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run. A read can be asked again; for a
	// request that must run once, ask the application what became of it.
	Unknown Outcome = "unknown"
)

// Options configure a Client.
type Options struct {
	// Seeds are addresses (IP:port) of entries to ask first.
	Seeds []string
	// Caller names the caller, for fairness between callers; required.
	Caller string
	// Domain is the caller's failure domain, or "".
	Domain string
	// HTTP sends the requests; nil means a client of its own that keeps up to
	// 64 connections to each entry. Redirects are never followed: they are the
	// endpoint's answer.
	HTTP *http.Client
	// TLS, if not nil, says that entries serve callers over TLS, and how their
	// certificates are checked. An HTTP of the caller's own needs the same.
	TLS *tls.Config
	// MaxAnswer is the largest answer in bytes; 0 means 64 MiB. Of a larger one
	// the outcome is Unknown and the Err says so.
	MaxAnswer int64
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Wait waits before another try; nil waits on a timer. It returns early
	// with the context's error.
	Wait func(ctx context.Context, d time.Duration) error
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path with query, as the endpoint will see it.
	Path   string
	Header http.Header
	Body   []byte
	// Once asks for an idempotency key: the request runs at most once over all
	// tries of one Do.
	Once bool
}

// body returns a fresh reader of the body, nil for none.
func (r *Request) body() io.Reader {
	if len(r.Body) == 0 {
		return nil
	}
	return bytes.NewReader(r.Body)
}

// Result is what became of a request.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the answer: the endpoint's if Outcome is
	// Done, else tealhall's own explanation, if one arrived.
	Status int
	Header http.Header
	Body   []byte
	// Reason is tealhall's word for why, "" if an endpoint answered.
	Reason string
	// RetryAfter says when to come back; 0 if nothing was said.
	RetryAfter time.Duration
	// Entry is the name of the entry that answered.
	Entry string
	// Key is the idempotency key of the last try, or "".
	Key string
	// Tries counts the requests sent to entries.
	Tries int
	// Err says what went wrong between the caller and the entry, nil if an
	// entry answered whole. Its kind is fault.Truncated if the answer broke off.
	Err error
}

// The bounds of one Do.
const (
	maxTries   = 4
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	idleConns  = 64
	// dialTimeout bounds the opening of a connection to an entry.
	dialTimeout = time.Second
	maxAnswer   = 64 << 20
)

// Client sends requests through tealhall. It is safe for concurrent use.
type Client struct {
	opts      Options
	http      *http.Client
	directory *directory
}

// New returns a client. It contacts nobody yet.
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
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{opts: opts, http: &httpClient, directory: newDirectory(opts, &httpClient)}, nil
}

// newHTTP returns the client that is used where Options name none. Answers are
// given as they come, so that their length and digest headers fit.
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

// Do sends a request and tries again where that is safe: through another
// entry when the request was not run or may run twice, and with the same key
// when the answer of a request that must run once was lost. The error is nil
// whenever the Result tells the outcome, also when that is NotRun or Unknown.
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
		return "", fault.Wrap(err, fault.BadKey, "check the system's source of randomness", "no random bytes")
	}
	return prefix + hex.EncodeToString(random[:]), nil
}
