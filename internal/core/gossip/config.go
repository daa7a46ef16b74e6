// Package gossip decides when to send a message to which peer, within a budget of bytes and
// messages per second that is never exceeded. Messages carry changes, not whole tables.
//
// Within a region each entry sends heartbeats to its fingers, which are the entries at distances 1,
// 2, 4, … on a ring of all entries, or to all other entries in a small fleet. Changes (evidence of
// VMs that leave or are silent, newer revisions, the status of entries) go at once to the fingers,
// which pass them on; heartbeats bring them to entries that missed them. Load reports use the rest
// of the budget. Between regions a few links carry the same messages without load reports.
//
// The package is pure: time is passed in as the duration since the process started. A Scheduler is
// not safe for concurrent use.
package gossip

import "time"

// Config sets the bounds of a Scheduler. Zero fields take defaults.
type Config struct {
	// Self is this entry's incarnation, Region its region.
	Self   uint64
	Region string
	// Domain is this entry's failure domain.
	Domain string
	// BytesPerSecond and MessagesPerSecond bound what this entry sends, including the acks that
	// come back. On average its peers send it the same amount.
	BytesPerSecond    float64
	MessagesPerSecond float64
	// LoadReportEvery is the time between load reports to a peer that shares a service, while the
	// budget allows.
	LoadReportEvery time.Duration
	// HeartbeatMin is the shortest time between heartbeats to a peer.
	HeartbeatMin time.Duration
	// SummaryEvery is the time between messages on a link between regions.
	SummaryEvery time.Duration
	// UrgentGap is the shortest time between two urgent messages to a peer; changes that arrive in
	// between are sent together.
	UrgentGap time.Duration
	// KeepEvidence is how long evidence is passed on after it was first reported.
	KeepEvidence time.Duration
}

// Defaults of Config. 9,000 bytes a second sent and as many received are 18,000 of the 20,000 bytes
// that an entry may spend on control traffic.
const (
	defaultBytesPerSecond    = 9000
	defaultMessagesPerSecond = 60
	defaultLoadReportEvery   = 10 * time.Millisecond
	defaultHeartbeatMin      = 500 * time.Millisecond
	defaultSummaryEvery      = time.Second
	defaultUrgentGap         = 200 * time.Millisecond
	defaultKeepEvidence      = 2 * time.Hour
)

// Bounds of one message and of the stored state.
const (
	maxEvidence    = 128
	maxLoadReports = 64
	// maxStoredEvidence bounds the stored evidence; the oldest is dropped first. It is enough for
	// 2,000 endpoints that are each replaced twice.
	maxStoredEvidence = 8192
	// maxTracked bounds the load reports remembered per peer as already sent.
	maxTracked = 1024
	// MaxPeers bounds the entries to which this entry keeps links. Neighbours on the ring come
	// first; changes reach the other entries through these.
	MaxPeers = 256
)

// Changes spread along a tree: each entry passes a change on to those of its fingers that are
// closer on the ring than the next finger of the entry that sent it the change. relayWait is how
// long an entry waits after the latest change for the rest of the tree before it sends a revision
// to the other fingers itself, or checks whether they have the evidence: several times what the
// tree needs in a healthy fleet. While changes keep arriving, that wait does not end;
// maxRevisionWait is then the limit for revisions, and maxEvidenceWait for evidence, which the
// lists of VMs contain as well.
const (
	relayWait       = 300 * time.Millisecond
	maxRevisionWait = 600 * time.Millisecond
	maxEvidenceWait = 1500 * time.Millisecond
)

// A message with evidence is sent when the budget covers all pending pieces or minPieces of them.
// typicalEvidenceBytes is about the size of one piece.
const (
	minPieces            = 16
	typicalEvidenceBytes = evidenceBytes + 24
)

// Shares of the budget.
const (
	// heartbeatShare is the share that heartbeats to all peers may use together.
	heartbeatShare = 0.35
	// loadReportFloor is the share of a full bucket that load reports leave for more important
	// messages. redundantFloor is the share that redundant deliveries leave for first deliveries,
	// and heartbeatFloor the share that heartbeats leave.
	loadReportFloor = 0.5
	redundantFloor  = 0.3
	heartbeatFloor  = 0.1
)

// burstSeconds is how many seconds' worth of the budget may be saved up. Load reports leave half of
// it, so that the evidence of a whole failure domain that leaves finds one second's worth
// available.
const burstSeconds = 2.0

// Time after which an unacknowledged message counts as lost, and the pauses between attempts to
// reach a peer that does not answer.
const (
	inFlightLimit = 2 * time.Second
	retryMin      = 250 * time.Millisecond
	retryMax      = 2 * time.Second
)

// repairMin is how long the evidence of a peer may differ before all evidence is sent to it again.
// It leaves time for evidence that is on its way. The time doubles with each repair in a row, up to
// about two minutes.
const (
	repairMin       = time.Second
	repairDoublings = 7
)

// loadReportRefresh is the time after which an unchanged load report is sent again. Load reports
// older than this are not sent.
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

// HeartbeatPeriod returns the time between heartbeats to each of the given number of peers in the
// region, which is also the time between heartbeats received from each:
//
//	peers × size of a heartbeat / (heartbeatShare × BytesPerSecond)
//
// or the same with messages in place of bytes, if that is longer, but at least HeartbeatMin.
func (c Config) HeartbeatPeriod(peers int) time.Duration {
	c = c.withDefaults()
	byBytes := float64(peers*heartbeatBytes) / (heartbeatShare * c.BytesPerSecond)
	byCount := float64(peers) / (heartbeatShare * c.MessagesPerSecond)
	return max(seconds(max(byBytes, byCount)), c.HeartbeatMin)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
