package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// maxBorrowTries is the number of endpoints tried after which a request no longer uses endpoints
// outside the entry's own share.
const maxBorrowTries = 3

// shares takes the first endpoint, in the entry's own order, that has a slot which this entry does
// not fill itself, and asks it to refuse the request if no slot is idle. After maxBorrowTries
// endpoints were tried, the request waits unless that endpoint belongs to this entry's own share.
type shares struct {
	basePolicy
	order order
}

// Changed implements Picker.
func (h *shares) Changed(_ time.Duration, _ *table.Pool, deciders []string) {
	h.order.invalidate(deciders)
}

// Pick implements Picker.
func (h *shares) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := h.begin(now, p, req)
	if done {
		return c
	}
	h.order.refresh(p, h.cfg.Self)
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
