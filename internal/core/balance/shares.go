package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// maxBorrowTries is how many slots of other entries' endpoints are tried before a request waits.
const maxBorrowTries = 3

// shares uses the endpoints of this entry's own share while they have a slot that this entry does
// not fill itself, then tries idle slots of other endpoints, then waits for a slot of its own
// share.
type shares struct {
	view
	order order
}

// Changed implements Picker.
func (h *shares) Changed(_ time.Duration, p *table.Pool, deciders []string) {
	h.order.rebuild(p, deciders, h.cfg.Self)
}

// Pick implements Picker.
func (h *shares) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := h.begin(now, p, req)
	if done {
		return c
	}
	best, tries := -1, 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if req.Tried.Has(i) {
			tries++
		}
		if e.Outstanding >= max(1, e.Slots) || !eligible(now, p, i, req.Tried, s) {
			continue
		}
		if best < 0 || h.order.rank[i] < h.order.rank[best] {
			best = i
		}
	}
	if best < 0 || (!h.order.preferred[best] && tries >= maxBorrowTries) {
		return Choice{Wait: noEndpointWait}
	}
	return Choice{Index: best, OK: true, IdleOnly: true}
}
