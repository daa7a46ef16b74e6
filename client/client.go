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
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
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
	// 64 connections to each entry.
	HTTP *http.Client
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
}

// The bounds of one Do.
const (
	maxTries   = 4
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	idleConns  = 64
	maxAnswer  = 64 << 20
)

// Client sends requests through tealhall. It is safe for concurrent use.
type Client struct {
	opts      Options
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
		opts.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConns,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Wait == nil {
		opts.Wait = wait
	}
	return &Client{opts: opts, directory: newDirectory(opts)}, nil
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
		return Result{Outcome: NotRun}, err
	}
	session := &session{client: c, request: req, entries: entries}
	return session.run(ctx)
}

// session is one Do.
type session struct {
	client  *Client
	request Request
	entries []contract.EntryAddress
	key     string
	// sent is set once a byte of the current key's request may have left.
	sent bool
}

func (s *session) run(ctx context.Context) (Result, error) {
	result := Result{Outcome: NotRun}
	pause := firstPause
	for try := 0; try < maxTries; try++ {
		entry := s.entries[try%len(s.entries)]
		if try >= len(s.entries) {
			if s.client.opts.Wait(ctx, pause) != nil {
				return result, nil
			}
			pause = min(2*pause, maxPause)
		}
		if err := s.ensureKey(entry); err != nil {
			return result, err
		}
		next := s.try(ctx, entry)
		next.Tries = try + 1
		result = weaker(result, next)
		if !s.goesOn(ctx, next) {
			return result, nil
		}
	}
	return result, nil
}

// weaker keeps an earlier Unknown: a later "not run" of another entry says
// nothing about the try before it, unless the same key was asked about.
func weaker(earlier, later Result) Result {
	if earlier.Outcome == Unknown && later.Outcome == NotRun && later.Key != earlier.Key {
		later.Outcome = Unknown
	}
	return later
}

// ensureKey makes a key whose home is entry, unless a key is already in use.
func (s *session) ensureKey(entry contract.EntryAddress) error {
	if !s.request.Once || s.key != "" {
		return nil
	}
	key, err := NewKey(entry.KeyPrefix)
	if err != nil {
		return err
	}
	s.key = key
	s.sent = false
	return nil
}

// goesOn decides whether another try can help and is safe.
func (s *session) goesOn(ctx context.Context, r Result) bool {
	if ctx.Err() != nil {
		return false
	}
	switch r.Outcome {
	case Done:
		return false
	case NotRun:
		s.key = ""
		return entryCannot[r.Reason]
	default:
		lost := r.Status == 0 || r.Reason == "home-unreachable"
		return lost && (s.request.Once || idempotent(s.request.Method))
	}
}

// idempotent reports whether HTTP defines the method as safe to repeat.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// entryCannot holds the reasons for which another entry may do better. For all
// others the answer is the service's, and asking again at once adds load.
var entryCannot = map[string]bool{
	"":               true,
	"starting":       true,
	"stopping":       true,
	"overload":       true,
	"home-stopped":   true,
	"key-table-full": true,
}

// try sends the request to one entry.
func (s *session) try(ctx context.Context, entry contract.EntryAddress) Result {
	req, err := s.build(ctx, entry)
	if err != nil {
		return Result{Outcome: NotRun, Reason: "bad-request", Body: []byte(err.Error())}
	}
	resp, err := s.client.opts.HTTP.Do(req)
	if err != nil {
		return s.afterError(entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	s.sent = true
	if err != nil {
		return Result{Outcome: Unknown, Entry: entry.Name, Key: s.key}
	}
	return s.read(resp, body, entry)
}

func (s *session) build(ctx context.Context, entry contract.EntryAddress) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.request.Method, "http://"+entry.Address+s.request.Path, bytes.NewReader(s.request.Body))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "give a method and a path that starts with a slash", "cannot build the request")
	}
	for name, values := range s.request.Header {
		req.Header[name] = values
	}
	req.Header.Set(contract.HeaderService, s.request.Service)
	req.Header.Set(contract.HeaderCaller, s.client.opts.Caller)
	if revision := s.client.directory.revision(); revision > 0 {
		req.Header.Set(contract.HeaderRevision, strconv.FormatUint(revision, 10))
	}
	if s.key != "" {
		req.Header.Set(contract.HeaderIdempotencyKey, s.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(contract.HeaderDeadline, contract.FormatDeadline(deadline.Sub(s.client.opts.Clock())))
	}
	return req, nil
}

// afterError tells what a failed exchange proves. Only a connection that could
// not be opened proves that nothing was sent.
func (s *session) afterError(entry contract.EntryAddress, err error) Result {
	s.client.directory.failed(entry)
	var op *net.OpError
	neverSent := errors.As(err, &op) && op.Op == "dial"
	if neverSent && !s.sent {
		return Result{Outcome: NotRun, Entry: entry.Name}
	}
	s.sent = s.sent || !neverSent
	return Result{Outcome: Unknown, Entry: entry.Name, Key: s.key}
}

// read turns an entry's answer into a Result.
func (s *session) read(resp *http.Response, body []byte, entry contract.EntryAddress) Result {
	r := Result{
		Outcome: Outcome(resp.Header.Get(contract.HeaderOutcome)),
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Reason:  resp.Header.Get(contract.HeaderReason),
		Entry:   entry.Name,
		Key:     s.key,
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	if r.Outcome != Done && r.Outcome != NotRun {
		r.Outcome = Unknown
	}
	return r
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
