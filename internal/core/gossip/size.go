package gossip

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Sizes in bytes, each an upper bound. A test compares them with the encoder.
const (
	// messageOverhead is what a call on an open link costs beside its body:
	// the headers of two packets and of request and response.
	messageOverhead = 200
	// updateBytes is an update without evidence and sightings.
	updateBytes = 115
	// evidenceBytes and sightingBytes come on top of the VM's name.
	evidenceBytes = 24
	sightingBytes = 28

	heartbeatBytes = messageOverhead + updateBytes
)

// Size returns an upper bound of what sending u costs in bytes.
func Size(u *message.Update) int {
	size := heartbeatBytes
	for i := range u.Evidence {
		size += evidenceBytes + len(u.Evidence[i].VM)
	}
	for i := range u.Sightings {
		size += sightingBytes + len(u.Sightings[i].Endpoint)
	}
	return size
}

// allowance is a pair of token buckets, for bytes and for messages. Each holds
// burst seconds' worth, so any span of t seconds costs at most t+burst seconds'
// worth.
type allowance struct {
	bytes, messages         float64
	bytesRate, messagesRate float64
	at                      time.Duration
}

func newAllowance(bytesRate, messagesRate float64) allowance {
	return allowance{
		bytes: burst * bytesRate, messages: burst * messagesRate,
		bytesRate: bytesRate, messagesRate: messagesRate,
	}
}

func (a *allowance) refill(now time.Duration) {
	if now <= a.at {
		return
	}
	passed := (now - a.at).Seconds()
	a.at = now
	a.bytes = min(a.bytes+passed*a.bytesRate, burst*a.bytesRate)
	a.messages = min(a.messages+passed*a.messagesRate, burst*a.messagesRate)
}

// covers reports whether a message of size bytes may be sent while floor, a
// share of a full bucket, is left for other messages.
func (a *allowance) covers(size int, floor float64) bool {
	return a.room(floor) >= float64(size) && a.messages-1 >= floor*burst*a.messagesRate
}

// room returns how many bytes are left above floor.
func (a *allowance) room(floor float64) float64 { return a.bytes - floor*burst*a.bytesRate }

func (a *allowance) take(size int) {
	a.bytes -= float64(size)
	a.messages--
}
