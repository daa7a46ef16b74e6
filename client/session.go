package client

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
)

// session is the state of one Do.
type session struct {
	client  *Client
	request Request
	entries []contract.EntryAddress
	key     string
	// mayHaveRun is set while an earlier try may have run or may still run, and no later response
	// has settled whether it did.
	mayHaveRun bool
}

func (s *session) run(ctx context.Context) Result {
	var result Result
	pause := firstPause
	for try := 0; try < maxTries; try++ {
		entry := s.entries[try%len(s.entries)]
		if try >= len(s.entries) {
			if s.client.opts.Wait(ctx, pause) != nil {
				return result
			}
			pause = min(2*pause, maxPause)
		}
		if err := s.ensureKey(entry); err != nil {
			return Result{Outcome: NotRun, Err: err}
		}
		result = s.reconcile(s.try(ctx, entry))
		result.Tries = try + 1
		if ctx.Err() != nil || !s.shouldRetry(result) {
			return result
		}
	}
	return result
}

// ensureKey makes a key whose home is entry, unless the request has a key or needs none.
func (s *session) ensureKey(entry contract.EntryAddress) error {
	if !s.request.Once || s.key != "" {
		return nil
	}
	key, err := NewKey(entry.KeyPrefix)
	s.key = key
	return err
}

// reconcile corrects the result of a try by the results of the tries before it.
//
// Guards against a false "not run" and against a second run: a try whose response was lost may have
// run, and "not run" from another entry is about the later try only. If that answer counted for the
// whole request, the caller would repeat the request, or this package would repeat it with a new
// key. So after a lost response, "not run" is accepted only with a reason that is given after the
// home of the key has looked the key up.
func (s *session) reconcile(r Result) Result {
	switch r.Outcome {
	case Done:
		s.mayHaveRun = false
	case NotRun:
		if s.mayHaveRun && (s.key == "" || !settlesKey[r.Reason]) {
			r.Outcome = Unknown
			break
		}
		s.mayHaveRun = false
		s.key = ""
	default:
		s.mayHaveRun = true
	}
	return r
}

// settlesKey has the reasons for "not run" that an entry gives only after the home of the key has
// looked the key up: the request with this key did not run there and never will.
var settlesKey = map[string]bool{
	"key-spent":        true,
	"home-stopped":     true,
	"queue-full":       true,
	"caller-share":     true,
	"too-late":         true,
	"deadline":         true,
	"no-endpoint":      true,
	"endpoints-refuse": true,
	"backoff":          true,
}

// otherEntryMayHelp has the reasons for which another entry may be able to serve the request. All
// other reasons concern the service, and an immediate retry would only add load. The empty reason
// stands for an entry that could not be reached.
var otherEntryMayHelp = map[string]bool{
	"":               true,
	"starting":       true,
	"behind":         true,
	"stopping":       true,
	"overload":       true,
	"unreachable":    true,
	"home-stopped":   true,
	"key-table-full": true,
}

// shouldRetry reports whether another try is safe and may succeed.
func (s *session) shouldRetry(r Result) bool {
	switch {
	case r.Outcome == Done:
		return false
	case r.Outcome == NotRun:
		return otherEntryMayHelp[r.Reason]
	case !s.request.Once && !idempotent(s.request.Method):
		return false
	default:
		return r.Status == 0 || r.Reason == homeUnreachable || otherEntryMayHelp[r.Reason] && r.Reason != ""
	}
}

// homeUnreachable is the reason of an entry that could not reach the home of a key. Another entry
// may reach it.
const homeUnreachable = "home-unreachable"

// idempotent reports whether HTTP defines the method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// try sends the request to one entry.
func (s *session) try(ctx context.Context, entry contract.EntryAddress) Result {
	tracker := new(sendTracker)
	req, err := s.newRequest(tracker.withTrace(ctx), entry)
	if err != nil {
		return Result{Outcome: NotRun, Reason: "bad-request", Err: err}
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return s.failedResult(ctx, entry, tracker, err)
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp.Body, s.client.opts.MaxAnswer)
	if err != nil {
		r := Result{Outcome: Unknown, Entry: entry.Name, Key: s.key, Err: err}
		if fault.KindOf(err) == fault.BadMessage {
			r.Status = resp.StatusCode // prevents a retry, whose response would be as large
		}
		return r
	}
	return s.resultOf(resp, body, entry)
}

// failedResult returns the result of a try that got no response. The outcome is NotRun only if no
// connection could be opened and no header was written before, since net/http may have tried a
// reused connection first. It marks the entry as failed unless the caller's context ended.
func (s *session) failedResult(ctx context.Context, entry contract.EntryAddress, tracker *sendTracker, err error) Result {
	if ctx.Err() == nil {
		s.client.directory.markFailed(entry)
	}
	r := Result{Outcome: Unknown, Entry: entry.Name, Key: s.key}
	r.Err = fault.Wrap(err, fault.Unavailable, "check that the entry runs and can be reached", "entry %s did not respond", entry.Name)
	if isDialError(err) && !tracker.anySent() {
		r.Outcome = NotRun
	}
	return r
}

// readAnswer reads a whole response body of at most limit bytes. It returns an error of kind
// fault.BadMessage if the body is larger.
func readAnswer(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Truncated, "try again if the request may run twice", "the response broke off")
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.BadMessage, "raise Options.MaxAnswer", "the response is larger than %d bytes", limit)
	}
	return data, nil
}

func (s *session) newRequest(ctx context.Context, entry contract.EntryAddress) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.request.Method, s.client.opts.url(entry.Address, s.request.Path), s.request.body())
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "give a method and a path that starts with a slash", "cannot build the request")
	}
	for name, values := range s.request.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
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

// resultOf converts an entry's response to a Result. A response without exactly one outcome that is
// consistent with its status does not come from an entry, so its outcome is Unknown.
func (s *session) resultOf(resp *http.Response, body []byte, entry contract.EntryAddress) Result {
	r := Result{
		Outcome: outcomeOf(resp),
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Reason:  resp.Header.Get(contract.HeaderReason),
		Entry:   entry.Name,
		Key:     s.key,
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}

func outcomeOf(resp *http.Response) Outcome {
	values := resp.Header[contract.HeaderOutcome]
	if len(values) != 1 {
		return Unknown
	}
	switch outcome := Outcome(values[0]); {
	case outcome == Done:
		return Done
	case outcome == NotRun && resp.StatusCode >= http.StatusBadRequest:
		return NotRun
	default:
		return Unknown
	}
}
