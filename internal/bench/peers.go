package bench

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/core/table"
)

// Sizes of an update between two entries: UDP and IP headers with a short
// header of its own, and for each endpoint whose count changed its index and
// the count.
const (
	updateBytes = 28 + 12
	changeBytes = 2
)

// exchange tells each other decider, every interval, how many attempts this one
// has in flight where that changed.
func (d *decider) exchange(ctx context.Context, others []*decider, interval time.Duration, sent *atomic.Int64) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := make([]int32, len(d.pool.Endpoints))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.now()
		var changed []int
		counts := make([]int32, len(last))
		d.mu.Lock()
		for i := range d.pool.Endpoints {
			counts[i] = d.pool.Endpoints[i].Outstanding
			if counts[i] != last[i] {
				changed = append(changed, i)
			}
		}
		d.mu.Unlock()
		copy(last, counts)
		for _, other := range others {
			if other == d {
				continue
			}
			sent.Add(int64(updateBytes + changeBytes*len(changed)))
			time.AfterFunc(d.cfg.PeerDelay, func() { other.told(d.index, changed, counts, now) })
		}
	}
}

// told takes in an update.
func (d *decider) told(from int, changed []int, counts []int32, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.PeerHeard(from, at)
	for _, i := range changed {
		d.picker.PeerTold(d.now(), &d.pool, i, balance.PeerLoad{From: from, Own: counts[i], At: at})
	}
	d.pump()
}

// probe spends this decider's part of the watching budget.
func (d *decider) probe(ctx context.Context, share float64) {
	perSecond := share * float64(d.cfg.Endpoints*d.cfg.Slots) / probeCost.Seconds() / float64(d.cfg.Fleet)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for next := d.index; ; next++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.probeOne(ctx, next%len(d.pool.Endpoints))
	}
}

func (d *decider) probeOne(ctx context.Context, i int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.pool.Endpoints[i].Address+"/", nil)
	if err != nil {
		return
	}
	request.Header.Set(probeHeader, "1")
	obs := observe(d.client, request, time.Now())
	if !obs.HasLoad {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	foreign := max(0, int32(obs.InFlight+obs.Queued)-d.pool.Endpoints[i].Outstanding)
	d.picker.Told(d.now(), &d.pool, i, table.Sighting{Foreign: foreign, At: d.now(), Seen: true})
	d.pump()
}
