package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/idem"
)

// passAnswer sends the caller the answer that the core committed to.
func (x *exchange) passAnswer(w http.ResponseWriter, c *committed) {
	x.ending = c.ending()
	x.entry.instruments.recordHead(x.entry.engine.clock()-x.began, c.waited)
	if !c.forwarded {
		for _, name := range x.entry.dialect.EntryHeaders() {
			delete(c.response.Header, name)
		}
		if c.relayed {
			dropRelayMarks(c.response.Header)
		}
		x.entry.dialect.SetAnswerHeaders(w.Header(), x.entry.mark(c.outcome, core.ReasonNone))
		x.entry.markRelayed(w.Header(), x.request, c.outcome, core.ReasonNone)
	}
	if x.keyed && !c.forwarded {
		x.passKeyedAnswer(w, c)
		return
	}
	x.stream(w, c, nil)
}

// ending returns how the exchange ends if the whole answer reaches the caller.
func (c *committed) ending() ending {
	if !c.forwarded {
		return endingOf(c.outcome)
	}
	switch contract.Outcome(c.response.Header.Get(contract.HeaderOutcome)) {
	case contract.OutcomeDone:
		return endedDone
	case contract.OutcomeNotRun:
		return endedNotRun
	}
	return endedUnknown
}

// stream copies the answer to the caller and reports the end of the attempt to the core.
func (x *exchange) stream(w http.ResponseWriter, c *committed, answer *idem.Answer) {
	size, err := x.copyAnswer(w, c.response)
	end := endOfCopy(err)
	switch end {
	case core.EndTruncated:
		x.ending = endedCutOff
	case core.EndCallerGone:
		x.ending = endedCallerGone
	}
	x.entry.engine.end(core.End{ID: x.id, Attempt: c.attempt, Kind: end, ConnBroken: end == core.EndTruncated, Cause: causeOfCopy(err), Replayable: !x.body.Streamed(), Answer: answer,
		Bytes: max(x.body.Length(), 0) + size})
}

// copyAnswer copies the answer to the caller. A large one takes turns with others on the link, unless
// it fits into one part.
func (x *exchange) copyAnswer(w http.ResponseWriter, response *http.Response) (int64, error) {
	if !x.largeAnswer || response.Body == http.NoBody || response.ContentLength >= 0 && response.ContentLength <= front.SmallAnswer {
		size, err := front.CopyAnswer(w, response)
		x.entry.link.Charge(size)
		return size, err
	}
	t := x.entry.link.Begin(response.ContentLength)
	defer t.End()
	response.Body = &watchedBody{ReadCloser: response.Body, failed: x.stopWatch}
	return front.CopyLargeAnswer(x.callerContext(), w, response, t)
}

// callerContext returns a context that ends when the caller leaves.
func (x *exchange) callerContext() context.Context {
	ctx := x.request.Context()
	if x.body.Interrupted() {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// watchedBody calls failed when an answer breaks off. The connection of its caller is then ended too,
// and must not look as if the caller had left.
type watchedBody struct {
	io.ReadCloser
	failed func() bool
}

// Read reads from the answer.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failed()
	}
	return n, err
}

// causeOfCopy names the fault with which copying an answer ended, for the log; "" if there was none.
func causeOfCopy(err error) string {
	var unread *front.UnreadError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unread):
		return "ended by the endpoint while unread"
	case forward.FailureOf(err) != forward.None:
		return forward.FailureOf(err).String()
	}
	return "caller gone"
}

// endOfCopy distinguishes an answer that broke off from a caller that left: only errors of the
// endpoint's side are errors of package forward.
func endOfCopy(err error) core.EndKind {
	switch {
	case err == nil:
		return core.EndComplete
	case forward.FailureOf(err) != forward.None:
		return core.EndTruncated
	default:
		return core.EndCallerGone
	}
}

// passKeyedAnswer sends the answer of a request with an idempotency key. An answer of at most
// KeyAnswerBytes is read whole first: its result is then recorded before the caller sees it, and a
// caller that loses the answer gets it again. A larger answer is streamed, and only its result is
// recorded.
func (x *exchange) passKeyedAnswer(w http.ResponseWriter, c *committed) {
	limit := int64(x.entry.settings.Limits.KeyAnswerBytes)
	body := c.response.Body
	prefix, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		_ = body.Close()
		x.reportEnd(c.attempt, core.EndTruncated, nil)
		x.ending = endedUnknown
		x.entry.reply(w, x.request, core.Directive{Outcome: core.OutcomeUnknown, Reason: core.ReasonAnswerBroken})
		return
	}
	c.response.Body = prependBytes(prefix, body)
	if int64(len(prefix)) > limit {
		x.stream(w, c, nil)
		return
	}
	x.reportEnd(c.attempt, core.EndComplete, answerToKeep(c.response, prefix))
	_, _ = front.CopyAnswer(w, c.response)
}

// prependBytes returns a body that begins with bytes that were already read.
func prependBytes(prefix []byte, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(prefix), body), body}
}

func answerToKeep(response *http.Response, body []byte) *idem.Answer {
	answer := &idem.Answer{Status: response.StatusCode, Body: body}
	for name, values := range front.ResponseHeader(response.Header) {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			answer.Header = append(answer.Header, [2]string{name, value})
		}
	}
	return answer
}
