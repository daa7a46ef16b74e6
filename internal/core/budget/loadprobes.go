package budget

import "time"

// Unused load probes may be saved up over loadProbeBurst. Together with usableLoadProbeShare it keeps
// the load probes of any ten seconds within the bound. In a fleet with more than burstEntries entries,
// each of which sees few requests, they are saved up over proportionally longer, up to
// maxLoadProbeBurst: a peak there is a matter of a few requests for each entry, and an entry that has
// used up its probes finds no endpoint although some have room. The bound holds over any longer time.
const (
	loadProbeBurst    = time.Second
	maxLoadProbeBurst = 4 * time.Second
	burstEntries      = 30
)

// burstFor returns the time over which an entry with the given share of the fleet's requests saves up
// load probes.
func burstFor(ownShare float64) time.Duration {
	if ownShare <= 0 {
		return loadProbeBurst
	}
	burst := float64(loadProbeBurst) / (burstEntries * ownShare)
	return time.Duration(min(max(burst, float64(loadProbeBurst)), float64(maxLoadProbeBurst)))
}

// usableLoadProbeShare is the share of the bound on load probes that entries use. The rest covers
// entries that do not know of each other yet.
const usableLoadProbeShare = 0.9

// maxSavedLoadProbes bounds how many load probes may be saved up from requests, where the bound per
// endpoint allows no more.
const maxSavedLoadProbes = 64

// LoadProbes keeps an entry's load probes within two bounds. The first is proportional to the
// entry's requests, so that even a partitioned fleet, or a fleet that restarts as a whole, sends no
// more load probes than its requests justify. The second is the pool's bound per endpoint, of which
// each entry uses a share equal to its share of the fleet's requests.
type LoadProbes struct {
	// perEndpoint is the number of load probes per second that all entries together may send to an
	// endpoint; 0 means no bound.
	perEndpoint float64
	saved       float64
	rateBucket  bucket
	total       uint64
	denied      uint64
}

// NewLoadProbes returns a budget for one pool.
//
// The bound per endpoint is earned from the start of the process. If it were earned from the first
// request on, that request would be sent without a load probe. loadProbeBurst limits the load
// probes after a restart of the whole fleet to those of one second.
func NewLoadProbes(perEndpoint float64) *LoadProbes {
	return &LoadProbes{perEndpoint: perEndpoint, rateBucket: bucket{started: true}}
}

// Request adds the number of load probes that one request earns.
func (b *LoadProbes) Request(probes int) {
	b.saved = min(max(maxSavedLoadProbes, b.rateBucket.capacity), b.saved+float64(probes))
}

// TrySpend spends one load probe and reports true if both bounds allow it. endpoints is the number
// of endpoints of the pool, and ownShare is this entry's share of the fleet's requests.
func (b *LoadProbes) TrySpend(now time.Duration, endpoints int, ownShare float64) bool {
	rate := usableLoadProbeShare * b.perEndpoint * float64(endpoints) * ownShare
	b.rateBucket.capacity = max(1, rate*burstFor(ownShare).Seconds())
	b.rateBucket.refill(now, rate)
	if b.saved < 1 || b.perEndpoint > 0 && !b.rateBucket.take(1) {
		b.denied++
		return false
	}
	b.saved--
	b.total++
	return true
}

// Spent returns how many load probes were allowed and denied since the process started.
func (b *LoadProbes) Spent() (spent, denied uint64) { return b.total, b.denied }
