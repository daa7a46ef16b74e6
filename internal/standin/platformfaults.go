package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

// PlatformFaults are the faults of a Platform. The zero value is a healthy service. To have
// connections refused, use Kill and Start of its Server.
type PlatformFaults struct {
	// Down answers every call with 503, including watches that are waiting.
	Down bool `json:"down,omitempty"`
	// Delay postpones the answer to every call.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// Stale keeps serving the revisions that were current when the fault began.
	Stale bool `json:"stale,omitempty"`
	// OlderReplica sends every other call to a replica that is one revision behind.
	OlderReplica bool `json:"older_replica,omitempty"`
	// Cut closes the connection in the middle of each body.
	Cut Cut `json:"cut,omitempty"`
	// HalveLists serves the first half of the VM list as if it were complete, with a matching
	// Content-Length.
	HalveLists bool `json:"halve_lists,omitempty"`
}

// Cut is the framing of a body that is cut off.
type Cut string

// The kinds of Cut.
const (
	CutNone Cut = ""
	// CutSized cuts off a body that has a Content-Length.
	CutSized Cut = "sized"
	// CutChunked cuts off a chunked body.
	CutChunked Cut = "chunked"
)

// SetFaults replaces the faults. Waiting watches see the change at once.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Stale && !p.faults.Stale {
		p.frozen = make(map[string]uint64, len(p.values))
		for name, kept := range p.values {
			p.frozen[name] = kept[len(kept)-1].Revision
		}
	}
	p.faults = faults
	p.notifyWatches()
}

// platformAnswer is the answer to one call.
type platformAnswer struct {
	status  int
	value   published.Value
	cut     Cut
	changed <-chan struct{} // closed when the answer may have changed
}

// currentAnswer returns the present answer for name.
func (p *Platform) currentAnswer(name string, lagging bool) platformAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := platformAnswer{status: http.StatusOK, cut: p.faults.Cut, changed: p.changed}
	kept := p.visibleRevisions(name)
	switch {
	case p.faults.Down:
		found.status = http.StatusServiceUnavailable
	case len(kept) == 0:
		found.status = http.StatusNotFound
	case lagging && len(kept) > 1:
		found.value = kept[len(kept)-2]
	default:
		found.value = kept[len(kept)-1]
	}
	if p.faults.HalveLists && name == published.VMsValue {
		found.value.Data = found.value.Data[:len(found.value.Data)/2]
	}
	return found
}

// visibleRevisions returns the kept revisions of name. Under the fault Stale, it leaves out
// revisions that were published after the fault began.
func (p *Platform) visibleRevisions(name string) []published.Value {
	kept := p.values[name]
	if !p.faults.Stale {
		return kept
	}
	for len(kept) > 0 && kept[len(kept)-1].Revision > p.frozen[name] {
		kept = kept[:len(kept)-1]
	}
	return kept
}

// write sends an answer, or the first half of its body if the Cut fault is set.
func (p *Platform) write(w http.ResponseWriter, a platformAnswer) {
	if a.status != http.StatusOK {
		http.Error(w, http.StatusText(a.status), a.status)
		return
	}
	data := a.value.Data
	header := w.Header()
	header.Set(published.RevisionHeader, strconv.FormatUint(a.value.Revision, 10))
	header.Set("Content-Type", "application/octet-stream")
	if a.cut != CutChunked {
		header.Set("Content-Length", strconv.Itoa(len(data)))
	}
	if a.cut == CutNone {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // makes the server close the connection
}
