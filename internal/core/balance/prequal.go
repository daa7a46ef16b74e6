package balance

import (
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// Parameters of the probe pool.
const (
	probePoolSize = 16
	probeMaxAge   = 200 * time.Millisecond
	// probeUses is how often one result may be used. More uses would direct the requests to the
	// endpoints that answered last.
	probeUses = 1
	// hotQuantile is the quantile of the load above which an endpoint counts as hot.
	hotQuantile = 0.84
)

type probeResult struct {
	index   int
	load    int32
	latency float64
	at      time.Duration
	uses    int
}

// prequal implements the Prequal policy without sending probes of its own: the loads that answers
// report and the load reports of other entries serve as probe results. A small pool holds the
// results, each of which is used a limited number of times. The policy prefers endpoints that are
// not hot, then the least load, then the lowest latency.
type prequal struct {
	basePolicy
	results [probePoolSize]probeResult
	count   int
}

// Changed implements Picker. It drops all results, since their indexes are no longer valid.
func (q *prequal) Changed(time.Duration, *table.Pool, []string) { q.count = 0 }

// LoadReported implements Picker.
func (q *prequal) LoadReported(now time.Duration, p *table.Pool, i int, s table.ReportedLoad) {
	q.basePolicy.LoadReported(now, p, i, s)
	if s.Seen {
		q.put(probeResult{i, p.Endpoints[i].Outstanding + s.Foreign, p.Endpoints[i].ServiceNanos, s.At, probeUses})
	}
}

// Answered implements Picker.
func (q *prequal) Answered(now time.Duration, p *table.Pool, i int, obs Observation) {
	q.basePolicy.Answered(now, p, i, obs)
	if obs.HasLoad && !obs.Failed {
		q.put(probeResult{i, int32(obs.InFlight + obs.Queued), p.Endpoints[i].ServiceNanos, now, probeUses})
	}
}

// put adds a result. It replaces the older result of the same endpoint, or else the oldest one if
// the pool is full.
func (q *prequal) put(r probeResult) {
	for k := range q.count {
		if q.results[k].index == r.index {
			q.results[k] = r
			return
		}
	}
	if q.count < probePoolSize {
		q.results[q.count] = r
		q.count++
		return
	}
	oldest := 0
	for k := range q.count {
		if q.results[k].at < q.results[oldest].at {
			oldest = k
		}
	}
	q.results[oldest] = r
}

func (q *prequal) remove(k int) {
	q.count--
	q.results[k] = q.results[q.count]
}

// Pick implements Picker.
func (q *prequal) Pick(now time.Duration, p *table.Pool, req Request, _ time.Duration) Choice {
	s, c, done := q.begin(now, p, req)
	if done {
		return c
	}
	for k := q.count - 1; k >= 0; k-- {
		if now-q.results[k].at > probeMaxAge {
			q.remove(k)
		}
	}
	best, hot := -1, q.hotLoad()
	for k := range q.count {
		if !eligible(now, p, q.results[k].index, req.Tried, s) {
			continue
		}
		if best < 0 || q.better(&q.results[k], &q.results[best], hot) {
			best = k
		}
	}
	if best < 0 {
		i, ok := q.pickRandom(now, p, req.Tried, s, -1)
		return Choice{Index: i, OK: ok}
	}
	chosen := q.results[best].index
	q.results[best].load++
	q.results[best].uses--
	if q.results[best].uses == 0 {
		q.remove(best)
	}
	return Choice{Index: chosen, OK: true}
}

// hotLoad returns the load at the hot quantile of the results.
func (q *prequal) hotLoad() int32 {
	var loads [probePoolSize]int32
	for k := range q.count {
		at := k
		for at > 0 && loads[at-1] > q.results[k].load {
			loads[at] = loads[at-1]
			at--
		}
		loads[at] = q.results[k].load
	}
	if q.count == 0 {
		return 0
	}
	return loads[int(hotQuantile*float64(q.count-1))]
}

func (q *prequal) better(a, b *probeResult, hot int32) bool {
	aHot, bHot := a.load > hot, b.load > hot
	switch {
	case aHot != bHot:
		return bHot
	case a.load != b.load:
		return a.load < b.load
	}
	return a.latency < b.latency
}
