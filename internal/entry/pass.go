package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/forward"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/idem"
)

// pass gives the caller the answer that the core committed to.
func (x *exchange) pass(w http.ResponseWriter, c *committed) {
	x.ending = c.ending()
	x.entry.instruments.recordHead(x.entry.engine.clock()-x.began, c.waited)
	if !c.forwarded {
		for _, name := range x.entry.dialect.OwnHeaders() {
			delete(c.response.Header, name)
		}
		x.entry.dialect.Mark(w.Header(), x.entry.mark(c.outcome, core.ReasonNone))
	}
	if x.keyed && !c.forwarded {
		x.passKept(w, c)
		return
	}
	x.stream(w, c, nil)
}

// ending is how the exchange ends if the whole answer is passed on.
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

// stream copies the answer to the caller and then reports its end.
func (x *exchange) stream(w http.ResponseWriter, c *committed, answer *idem.Answer) {
	size, err := front.CopyAnswer(w, c.response)
	end := endOfCopy(err)
	switch end {
	case core.EndTruncated:
		x.ending = endedCutOff
	case core.EndCallerGone:
		x.ending = endedCallerGone
	}
	x.entry.engine.end(core.End{ID: x.id, Attempt: c.attempt, Kind: end, Broke: end == core.EndTruncated, Replayable: !x.body.Streamed(), Answer: answer,
		Bytes: max(x.body.Length(), 0) + size})
}

// endOfCopy tells an answer that broke off from a caller that went away: only
// the reading side has errors of package forward.
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

// passKept passes on the answer of a request that must run once. An answer
// that is small enough is read whole first: then its result is recorded before
// the caller sees it, and a caller that loses the answer gets it again. A
// larger one is streamed, and only its result is recorded.
func (x *exchange) passKept(w http.ResponseWriter, c *committed) {
	limit := int64(x.entry.settings.Limits.KeyAnswerBytes)
	body := c.response.Body
	start, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		_ = body.Close()
		x.end(c.attempt, core.EndTruncated, nil)
		x.ending = endedUnknown
		x.entry.reply(w, x.request, core.Directive{Outcome: core.OutcomeUnknown, Reason: core.ReasonAnswerBroken})
		return
	}
	c.response.Body = rejoin(start, body)
	if int64(len(start)) > limit {
		x.stream(w, c, nil)
		return
	}
	x.end(c.attempt, core.EndComplete, keptAnswer(c.response, start))
	_, _ = front.CopyAnswer(w, c.response)
}

// rejoin puts bytes that were read back in front of a body.
func rejoin(start []byte, body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(start), body), body}
}

func keptAnswer(response *http.Response, body []byte) *idem.Answer {
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
