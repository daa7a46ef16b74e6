package budget

import "time"

// ConnCost is what a new connection costs an endpoint.
const ConnCost = time.Millisecond

// ConnConfig bounds new connections to the endpoints of one pool.
type ConnConfig struct {
	// PerSecond is how many connections all entries together may open.
	PerSecond float64
	// LargestFleet is as in WatchConfig.
	LargestFleet int
	// Burst is how many connections one entry may open at once. It is there
	// from the start: an entry without connections can serve nobody.
	Burst int
}

// Conns decides when this entry may open a connection to an endpoint.
//
// The bound: in a window of length w all entries together open at most
// PerSecond*w connections, and Burst more for each entry that runs when the
// window begins or starts in it.
type Conns struct {
	rate   float64
	bucket bucket
	opened uint64
}

// NewConns returns a budget with its whole burst.
func NewConns(cfg ConnConfig) *Conns {
	burst := float64(max(1, cfg.Burst))
	return &Conns{
		rate:   cfg.PerSecond / float64(max(1, cfg.LargestFleet)),
		bucket: bucket{capacity: burst, tokens: burst},
	}
}

// TrySpend takes one connection if it is there.
func (c *Conns) TrySpend(now time.Duration) bool {
	c.bucket.earn(now, c.rate)
	if !c.bucket.take(1) {
		return false
	}
	c.opened++
	return true
}

// Opened returns the connections since the process started.
func (c *Conns) Opened() uint64 { return c.opened }
