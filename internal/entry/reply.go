package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/front"
)

// mark returns what the headers of an answer say about this entry and the outcome.
func (e *Entry) mark(outcome core.Outcome, reason core.Reason) Mark {
	return Mark{Entry: e.settings.Name, Outcome: outcome, Reason: reason, Revision: e.revision.Load()}
}

// reply sends the caller an answer of the entry itself.
func (e *Entry) reply(w http.ResponseWriter, r *http.Request, d core.Directive) {
	e.replyAs(w, r, d, d.Reason.Status(), d.Reason.Remedy())
}

// replyAs is reply with a status and a remedy that are more specific than those of the reason.
func (e *Entry) replyAs(w http.ResponseWriter, r *http.Request, d core.Directive, status int, remedy string) {
	e.markRelayed(w.Header(), r, d.Outcome, d.Reason)
	e.dialect.Refuse(w, r, Refusal{Mark: e.mark(d.Outcome, d.Reason), Status: status, Remedy: remedy, RetryAfter: d.RetryAfter})
	if e.settings.Log.Requests {
		logReply(r, d)
	}
}

// badRequest is the directive for a malformed request, and for a request to a path under tealhall's
// own prefix that does not exist or does not allow the method.
var badRequest = core.Directive{Outcome: core.OutcomeNotRun, Reason: core.ReasonBadRequest}

// refuseMalformedHead answers a request with a malformed head.
func (e *Entry) refuseMalformedHead(w http.ResponseWriter, r *http.Request, violation front.Violation) {
	e.instruments.countRefusal(badRequest.Reason, badRequest.Outcome)
	e.replyAs(w, r, badRequest, violation.Status(), violation.String())
}

// refuseWith returns a handler that refuses requests to tealhall's own paths.
func (e *Entry) refuseWith(status int, remedy string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.replyAs(w, r, badRequest, status, remedy)
	})
}

// wholeSeconds rounds up, so that a caller does not retry too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func writeJSON(w http.ResponseWriter, r *http.Request, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "the answer can't be encoded", http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(data)
	}
}

// replay sends the caller the stored answer of a request that ran before.
func (e *Entry) replay(w http.ResponseWriter, d core.Directive) {
	h := w.Header()
	for _, pair := range d.Answer.Header {
		h.Add(pair[0], pair[1])
	}
	e.dialect.SetAnswerHeaders(h, e.mark(d.Outcome, core.ReasonNone))
	h.Set(contract.HeaderReplayed, contract.ReplayedValue)
	h.Set("Content-Length", strconv.Itoa(len(d.Answer.Body)))
	w.WriteHeader(d.Answer.Status)
	_, _ = w.Write(d.Answer.Body)
}
