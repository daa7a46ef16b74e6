package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
)

// call is one parsed request or probe.
type call struct {
	id          identity
	probe       bool
	idleOnly    bool          // refuse the call if no slot is idle
	hasDeadline bool          // deadline is set
	deadline    time.Duration // on the endpoint's clock
	answer      answerSpec
	work        time.Duration // replaces the service time when above zero
}

// answerSpec describes the answer that the request asks for.
type answerSpec struct {
	id      string
	size    int64
	status  int
	chunked bool
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := e.parseCall(r)
	if err != nil {
		e.fail(w, http.StatusBadRequest)
		return
	}
	if call.id.request != "" {
		w.Header().Set(contract.HeaderRequest, call.id.request)
	}
	faults := e.faults.Load() // before the arrival is counted: tests change faults after the count
	e.countArrival(call)
	switch {
	case faults.Hang:
		e.hang(r.Context())
		panic(http.ErrAbortHandler) // no answer
	case e.draining.Load():
		e.refuse(w, contract.NotRunDraining)
	case faults.FailFast > 0 && !call.probe:
		e.fail(w, faults.FailFast)
	case faults.Shed:
		if faults.RetryAfter > 0 {
			w.Header().Set(contract.HeaderRetryAfter, strconv.FormatFloat(faults.RetryAfter, 'f', -1, 64))
		}
		e.refuse(w, contract.NotRunOverload)
	default:
		e.admit(w, r, call)
	}
}

func (e *Endpoint) parseCall(r *http.Request) (call, error) {
	query := r.URL.Query()
	c := call{probe: r.URL.Path == contract.ProbePath}
	c.id.key = r.Header.Get(contract.HeaderIdempotencyKey)
	c.id.request = r.Header.Get(contract.HeaderRequest)
	c.idleOnly = r.Header.Get(contract.HeaderIdleOnly) == contract.IdleOnlyValue
	if text := r.Header.Get(contract.HeaderDeadline); text != "" {
		left, ok := contract.ParseDeadline(text)
		if !ok {
			return c, errors.New("malformed deadline")
		}
		c.hasDeadline, c.deadline = true, e.cfg.Clock.Now()+left
	}
	var err error
	if query.Has(WorkParameter) {
		c.work, err = time.ParseDuration(query.Get(WorkParameter))
		if err != nil {
			return c, err
		}
	}
	c.answer, err = parseAnswerSpec(query, c.id.request)
	return c, err
}

func parseAnswerSpec(query url.Values, request string) (answerSpec, error) {
	spec := answerSpec{id: query.Get(IDParameter), status: http.StatusOK, chunked: query.Has(ChunkedParameter)}
	if spec.id == "" {
		spec.id = request
	}
	spec.size = AnswerSize(spec.id)
	var err error
	if query.Has(BytesParameter) {
		spec.size, err = strconv.ParseInt(query.Get(BytesParameter), 10, 64)
		if err != nil || spec.size < 0 {
			return spec, errors.New("malformed size")
		}
	}
	if query.Has(StatusParameter) {
		spec.status, err = strconv.Atoi(query.Get(StatusParameter))
		if err != nil || spec.status < 200 || spec.status > 599 {
			return spec, errors.New("malformed status")
		}
	}
	if spec.status == http.StatusNoContent || spec.status == http.StatusNotModified {
		spec.size, spec.chunked = 0, true // these statuses have neither a body nor a Content-Length
	}
	return spec, nil
}

func (e *Endpoint) countArrival(c call) {
	if c.probe {
		e.count(func(s *EndpointStats) { s.Probes++ })
		return
	}
	e.cfg.Ledger.arrived(c.id)
	e.count(func(s *EndpointStats) { s.Requests++ })
}

// refuse answers that the request was not run.
func (e *Endpoint) refuse(w http.ResponseWriter, reason contract.NotRunReason) {
	e.count(func(s *EndpointStats) { s.NotRun[reason]++ })
	e.setLoadHeaders(w.Header())
	w.Header().Set(contract.HeaderNotRun, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers with status and does not state whether the request ran.
func (e *Endpoint) fail(w http.ResponseWriter, status int) {
	e.count(func(s *EndpointStats) { s.Failed++ })
	e.setLoadHeaders(w.Header())
	w.WriteHeader(status)
}

// hang waits until the client disconnects or the fault ends.
func (e *Endpoint) hang(ctx context.Context) {
	for e.faults.Load().Hang {
		e.mu.Lock()
		changed := e.faultsChanged
		e.mu.Unlock()
		if !e.faults.Load().Hang {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// admit runs the request once it has a slot, or refuses it.
func (e *Endpoint) admit(w http.ResponseWriter, r *http.Request, c call) {
	if e.expired(c) {
		e.refuse(w, contract.NotRunDeadline)
		return
	}
	waiter, admitted := e.slots.acquire(c.idleOnly && !e.faults.Load().IgnoreIdleOnly)
	if !admitted {
		e.refuse(w, contract.NotRunBusy)
		return
	}
	if waiter != nil && !e.awaitSlot(w, r, c, waiter) {
		return
	}
	if e.expired(c) {
		e.slots.release()
		e.refuse(w, contract.NotRunDeadline)
		return
	}
	e.run(w, r, c)
}

func (e *Endpoint) expired(c call) bool {
	return c.hasDeadline && e.cfg.Clock.Now() >= c.deadline
}

// awaitSlot waits in the queue and reports whether the request got a slot. It refuses the request
// when its deadline passes.
func (e *Endpoint) awaitSlot(w http.ResponseWriter, r *http.Request, c call, queued *waiter) bool {
	expired, stop := e.deadlineTimer(c)
	defer stop()
	select {
	case <-queued.granted:
		return true
	case <-expired:
		e.slots.cancelWait(queued)
		e.refuse(w, contract.NotRunDeadline)
	case <-r.Context().Done():
		e.slots.cancelWait(queued)
		e.count(func(s *EndpointStats) { s.CancelledQueued++ })
	}
	return false
}

// deadlineTimer returns a timer that fires at the deadline of c; without a deadline it never fires.
func (e *Endpoint) deadlineTimer(c call) (<-chan struct{}, func()) {
	if !c.hasDeadline {
		return nil, func() {}
	}
	return e.cfg.Clock.After(c.deadline - e.cfg.Clock.Now())
}

// run uses the slot for the request's slot time, releases it and answers.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, c call) {
	started := e.cfg.Clock.Now()
	if !c.probe {
		e.cfg.Ledger.ran(c.id)
		e.count(func(s *EndpointStats) { s.Runs++ })
	}
	digest, bytes, err := readBody(r)
	ended := endedAborted
	if err == nil {
		ended = e.work(r.Context(), c)
	}
	e.slots.release()
	e.recordRun(c, e.cfg.Clock.Now()-started, ended)
	switch ended {
	case endedComplete:
		w.Header().Set(BodyDigestHeader, digest)
		w.Header().Set(BodyBytesHeader, strconv.FormatInt(bytes, 10))
		e.answer(w, c)
	case endedPastDeadline:
		e.setLoadHeaders(w.Header())
		w.WriteHeader(http.StatusGatewayTimeout)
	case endedAborted:
		panic(http.ErrAbortHandler) // the client is gone
	}
}

// runEnd says how a run ended.
type runEnd int

const (
	endedComplete runEnd = iota
	endedPastDeadline
	endedAborted
)

// work waits for the request's slot time, or until the client disconnects or the deadline passes.
func (e *Endpoint) work(ctx context.Context, c call) runEnd {
	done, stop := e.cfg.Clock.After(e.nextSlotTime(c.probe, c.work))
	defer stop()
	expired, stopDeadline := e.deadlineTimer(c)
	defer stopDeadline()
	select {
	case <-done:
		return endedComplete
	case <-expired:
		return endedPastDeadline
	case <-ctx.Done():
		return endedAborted
	}
}

// recordRun adds a run's slot time and end to the counters and the ledger.
func (e *Endpoint) recordRun(c call, slotTime time.Duration, ended runEnd) {
	if !c.probe && ended == endedComplete {
		e.cfg.Ledger.finished(c.id)
	}
	e.count(func(s *EndpointStats) {
		if c.probe {
			s.ProbeSlotTime += slotTime
			return
		}
		s.SlotTime += slotTime
		switch ended {
		case endedComplete:
			s.Finished++
		case endedPastDeadline:
			s.Late++
		case endedAborted:
			s.CancelledRunning++
		}
	})
}

// answer writes the answer that the request asks for.
func (e *Endpoint) answer(w http.ResponseWriter, c call) {
	spec := c.answer
	header := w.Header()
	e.setLoadHeaders(header)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if !spec.chunked {
		header.Set("Content-Length", strconv.FormatInt(spec.size, 10))
	}
	w.WriteHeader(spec.status)
	if !e.faults.Load().CutAnswer {
		_ = WriteAnswer(w, spec.id, spec.size)
		return
	}
	_ = WriteAnswer(w, spec.id, spec.size/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // makes the server close the connection
}

// readBody reads the request's body without keeping it and returns its digest and size.
func readBody(r *http.Request) (digest string, bytes int64, err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return "", 0, nil
	}
	hash := sha256.New()
	bytes, err = io.Copy(hash, r.Body)
	return hex.EncodeToString(hash.Sum(nil)), bytes, err
}
