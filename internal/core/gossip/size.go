package gossip

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Sizes in bytes, each an upper bound on a link in use. TestSizeIsUpperBound compares them with the
// encoding of package peer/wire, which names an endpoint once per link and omits unchanged fields.
const (
	// messageOverhead is the cost of a call on an open link beyond its body: the headers of three
	// packets and of request and response.
	messageOverhead = 200
	// updateBytes is the size of an update without evidence and load reports whose marks the peer
	// already has. marksBytes is the additional size of changed marks.
	updateBytes = 60
	marksBytes  = 50
	// evidenceBytes is the size of a piece of evidence beyond the VM's name.
	evidenceBytes = 24
	// contentBytes is the additional size of evidence about a request or a limit.
	contentBytes = 27
	// loadReportBytes is the size of an endpoint's load report. nameBytes and the name are added
	// the first time that a link names the endpoint.
	loadReportBytes = 12
	// recordBytes is the size of an entry's record beyond its texts.
	recordBytes = 48
	nameBytes   = 16

	heartbeatBytes = messageOverhead + updateBytes
)

// Size returns an upper bound of the bytes that sending u costs on a link that has already sent its
// endpoints' names and its marks.
func Size(u *message.Update) int {
	size := heartbeatBytes + loadReportBytes*len(u.LoadReports)
	for i := range u.Evidence {
		size += evidenceSize(&u.Evidence[i])
	}
	for i := range u.Records {
		size += recordSize(&u.Records[i])
	}
	return size
}

func evidenceSize(e *message.Evidence) int {
	size := evidenceBytes + len(e.VM)
	if e.Kind.OfRequest() || e.Kind == message.EvidenceLimit {
		size += contentBytes
	}
	return size
}

func recordSize(r *message.Record) int {
	return recordBytes + len(r.Name) + len(r.Region) + len(r.Domain) + len(r.CallerAddress) + len(r.PeerAddress)
}

// firstUseBytes returns the cost of u beyond Size: marks and endpoint names that the peer has not
// received yet. Call it before noteNamed and before the marks are recorded as sent.
func (p *peer) firstUseBytes(u *message.Update) int {
	extra := 0
	if p.ackedRevisions.profiles != u.Profiles.Revision || p.ackedRevisions.vms != u.VMs.Revision {
		extra = marksBytes
	}
	for i := range u.LoadReports {
		extra += p.namingBytes(&u.LoadReports[i])
	}
	return extra
}

// namingBytes returns the cost of naming the endpoint of a load report.
func (p *peer) namingBytes(r *message.LoadReport) int {
	last, known := p.named[r.Endpoint]
	if known && last == r.Incarnation {
		return 0
	}
	return nameBytes + len(r.Endpoint)
}

// noteNamed records that the link has named the endpoints of u.
func (p *peer) noteNamed(u *message.Update) {
	if len(p.named) > maxTracked {
		clear(p.named)
	}
	for i := range u.LoadReports {
		p.named[u.LoadReports[i].Endpoint] = u.LoadReports[i].Incarnation
	}
}

// allowance is a pair of token buckets, one for bytes and one for messages. Each holds
// burstSeconds' worth, so any span of t seconds costs at most t+burstSeconds seconds' worth.
type allowance struct {
	bytes, messages         float64
	bytesRate, messagesRate float64
	at                      time.Duration
}

func newAllowance(bytesRate, messagesRate float64) allowance {
	return allowance{
		bytes: burstSeconds * bytesRate, messages: burstSeconds * messagesRate,
		bytesRate: bytesRate, messagesRate: messagesRate,
	}
}

func (a *allowance) refill(now time.Duration) {
	if now <= a.at {
		return
	}
	passed := (now - a.at).Seconds()
	a.at = now
	a.bytes = min(a.bytes+passed*a.bytesRate, burstSeconds*a.bytesRate)
	a.messages = min(a.messages+passed*a.messagesRate, burstSeconds*a.messagesRate)
}

// covers reports whether a message of size bytes may be sent while floor, a share of a full bucket,
// is left for other messages.
func (a *allowance) covers(size int, floor float64) bool {
	return a.room(floor) >= float64(size) && a.messages-1 >= floor*burstSeconds*a.messagesRate
}

// room returns how many bytes are available above floor.
func (a *allowance) room(floor float64) float64 { return a.bytes - floor*burstSeconds*a.bytesRate }

func (a *allowance) take(size int) {
	a.bytes -= float64(size)
	a.messages--
}
