package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/core"
)

// mark sets the headers that every answer of an entry carries.
func (e *Entry) mark(h http.Header, outcome string, reason core.Reason) {
	h.Set(contract.HeaderOutcome, outcome)
	h.Set(contract.HeaderEntry, e.settings.Name)
	h.Set(contract.HeaderRevision, strconv.FormatUint(e.revision.Load(), 10))
	if reason != core.ReasonNone {
		h.Set(contract.HeaderReason, reason.String())
	}
}

// reply gives the caller an answer of the entry's own.
func (e *Entry) reply(w http.ResponseWriter, r *http.Request, d core.Directive) {
	h := w.Header()
	e.mark(h, d.Outcome.String(), d.Reason)
	if d.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(d.RetryAfter), 10))
	}
	body := contract.ErrorAnswer{
		Outcome:          contract.Outcome(d.Outcome.String()),
		Reason:           d.Reason.String(),
		Remedy:           d.Reason.Remedy(),
		RetryAfterMillis: d.RetryAfter.Milliseconds(),
	}
	writeJSON(w, r, d.Reason.Status(), body)
	if e.settings.Log.Requests {
		logReply(r, d)
	}
}

// wholeSeconds rounds up: a caller must not come back too early.
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

// replay gives the caller the kept answer of a request that ran before.
func (e *Entry) replay(w http.ResponseWriter, d core.Directive) {
	h := w.Header()
	for _, pair := range d.Answer.Header {
		h.Add(pair[0], pair[1])
	}
	e.mark(h, d.Outcome.String(), core.ReasonNone)
	h.Set(contract.HeaderReplayed, contract.ReplayedValue)
	h.Set("Content-Length", strconv.Itoa(len(d.Answer.Body)))
	w.WriteHeader(d.Answer.Status)
	_, _ = w.Write(d.Answer.Body)
}
