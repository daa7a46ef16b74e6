// Package gossip decides when to tell which peer what, within a bound on bytes
// and messages per second that holds whatever happens. It tells changes, not
// tables.
//
// Within a region each entry sends heartbeats to its fingers on a ring of the
// entries, to all others in a small fleet. News (evidence of VMs that leave or
// are silent, later revisions, what entries tell of themselves) goes at once to
// the fingers, which pass it on; heartbeats bring it to whoever was missed.
// Sightings of load get what is left of the bound. Between regions a few links
// carry the same messages without sightings.
//
// The package is pure: time is passed in as the duration since the process
// started. A Scheduler is not safe for concurrent use.
package gossip

import "time"

// Config sets the bounds of a Scheduler. Zero fields take defaults.
type Config struct {
	Self   uint64
	Region string
	// Domain is this entry's failure domain.
	Domain string
	// BytesPerSecond and MessagesPerSecond bound what this entry sends, acks
	// that come back included. Peers send it as much on average.
	BytesPerSecond    float64
	MessagesPerSecond float64
	// LoadReportEvery is the time between sightings to a peer that shares a
	// service, while the bound allows.
	LoadReportEvery time.Duration
	// HeartbeatMin is the shortest time between heartbeats to a peer.
	HeartbeatMin time.Duration
	// SummaryEvery is the time between messages on a link between regions.
	SummaryEvery time.Duration
	// UrgentGap is the shortest time between two urgent messages to a peer;
	// news that comes in between goes out together.
	UrgentGap time.Duration
	// KeepEvidence is how long evidence is passed on after it was first given.
	KeepEvidence time.Duration
}

// The defaults of Config. 9,000 bytes a second sent and as many received are
// 18,000 of the 20,000 bytes that a node may spend on control.
const (
	defaultBytesPerSecond    = 9000
	defaultMessagesPerSecond = 60
	defaultLoadReportEvery   = 10 * time.Millisecond
	defaultHeartbeatMin      = 500 * time.Millisecond
	defaultSummaryEvery      = time.Second
	defaultUrgentGap         = 200 * time.Millisecond
	defaultKeepEvidence      = 2 * time.Hour
)

// Bounds of one message and of what is kept.
const (
	maxEvidence    = 128
	maxLoadReports = 64
	// maxStoredEvidence bounds the evidence held; the oldest goes first. It is enough for 2,000
	// endpoints that are replaced twice.
	maxStoredEvidence = 8192
	// maxTracked bounds the sightings remembered per peer as told.
	maxTracked = 1024
	// MaxPeers bounds the entries with which links are held. Neighbours on the ring come
	// first; what others would be told reaches them through these.
	MaxPeers = 256
)

// News is told along a tree: each entry tells its fingers up to the one that its teller
// tells next. relayWait is how long it leaves the others to the rest of the tree before it
// tells them of a revision, or asks whether they have the evidence: several times what the
// tree takes in a sound fleet. While more comes in that moment does not come; maxRevisionWait is
// then the limit for revisions, maxEvidenceWait that for evidence, which the lists hold as well.
const (
	relayWait       = 300 * time.Millisecond
	maxRevisionWait = 600 * time.Millisecond
	maxEvidenceWait = 1500 * time.Millisecond
)

// A message with news goes out when as many pieces fit as it has, or minPieces. typicalEvidenceBytes is
// about what one takes.
const (
	minPieces            = 16
	typicalEvidenceBytes = evidenceBytes + 24
)

// Shares of the bound.
const (
	// heartbeatShare is what heartbeats to all peers may take together.
	heartbeatShare = 0.35
	// loadReportFloor is the share of a full bucket that sightings leave for what
	// is worth more; redundantFloor is what copies of news leave for its first telling, and
	// heartbeatFloor what heartbeats do.
	loadReportFloor = 0.5
	redundantFloor  = 0.3
	heartbeatFloor  = 0.1
)

// burstSeconds is how many seconds' worth of the bound may be saved up. With half of
// it kept from sightings, news of a whole failure domain that leaves finds a
// second's worth at hand.
const burstSeconds = 2.0

// Times after which a message counts as lost, and between tries of a peer that
// does not answer.
const (
	inFlightLimit = 2 * time.Second
	retryMin      = 250 * time.Millisecond
	retryMax      = 2 * time.Second
)

// repairMin is how long the evidence of a peer may differ before it is told
// everything again. It leaves time for news that is on its way. The time doubles
// with each repair in a row, up to about two minutes.
const (
	repairMin       = time.Second
	repairDoublings = 7
)

// loadReportRefresh: an unchanged sighting is told again after this time, and one
// older than this is not told.
const loadReportRefresh = time.Second

func (c Config) withDefaults() Config {
	c.BytesPerSecond = orDefault(c.BytesPerSecond, defaultBytesPerSecond)
	c.MessagesPerSecond = orDefault(c.MessagesPerSecond, defaultMessagesPerSecond)
	c.LoadReportEvery = orDefault(c.LoadReportEvery, defaultLoadReportEvery)
	c.HeartbeatMin = orDefault(c.HeartbeatMin, defaultHeartbeatMin)
	c.SummaryEvery = orDefault(c.SummaryEvery, defaultSummaryEvery)
	c.UrgentGap = orDefault(c.UrgentGap, defaultUrgentGap)
	c.KeepEvidence = orDefault(c.KeepEvidence, defaultKeepEvidence)
	return c
}

func orDefault[T float64 | time.Duration](v, byDefault T) T {
	if v <= 0 {
		return byDefault
	}
	return v
}

// HeartbeatPeriod returns how often each of so many peers in the region is
// told, and so how often it is heard:
//
//	peers × size of a heartbeat / (heartbeatShare × BytesPerSecond)
//
// and the same for messages, at least HeartbeatMin.
func (c Config) HeartbeatPeriod(peers int) time.Duration {
	c = c.withDefaults()
	byBytes := float64(peers*heartbeatBytes) / (heartbeatShare * c.BytesPerSecond)
	byCount := float64(peers) / (heartbeatShare * c.MessagesPerSecond)
	return max(seconds(max(byBytes, byCount)), c.HeartbeatMin)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
