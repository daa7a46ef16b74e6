package standin

import (
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/published"
)

// Defaults of EndpointConfig.
const (
	DefaultSlots       = published.DefaultSlots
	DefaultQueueLimit  = 16
	DefaultServiceTime = 5 * time.Millisecond
	DefaultProbeTime   = 6 * time.Millisecond
	DefaultIncarnation = 1
)

// EndpointConfig describes an Endpoint. Zero values stand for defaults, but for
// Name, which is needed.
type EndpointConfig struct {
	Name        string
	Incarnation uint64
	// Listen is the IP:port to serve on; default a free one on loopback.
	Listen string
	Slots  int
	// QueueLimit is the longest queue before the slots; negative is none.
	QueueLimit int
	// ServiceTime gives the time that each request holds a slot.
	ServiceTime ServiceTime
	// ProbeTime is how long a probe holds a slot.
	ProbeTime time.Duration
	// ColdFactor multiplies service times at the start and falls to one over
	// ColdTime in a straight line. Values below one mean no cold start.
	ColdFactor float64
	ColdTime   time.Duration
	// ConnectTime holds back the first byte of each new connection.
	ConnectTime time.Duration
	// Ledger may be shared with other endpoints; default one of its own.
	Ledger *Ledger
	Clock  Clock
}

func (c EndpointConfig) withDefaults() EndpointConfig {
	if c.Incarnation == 0 {
		c.Incarnation = DefaultIncarnation
	}
	if c.Listen == "" {
		c.Listen = DefaultListen
	}
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	c.QueueLimit = max(0, c.QueueLimit)
	if c.ServiceTime == nil {
		c.ServiceTime = Constant(DefaultServiceTime)
	}
	if c.ProbeTime <= 0 {
		c.ProbeTime = DefaultProbeTime
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	if c.Clock == nil {
		c.Clock = RealClock()
	}
	return c
}

// coldFactor returns by how much a request takes longer at the given age of the
// endpoint.
func (c EndpointConfig) coldFactor(age time.Duration) float64 {
	if c.ColdFactor <= 1 || age >= c.ColdTime {
		return 1
	}
	left := 1 - float64(age)/float64(c.ColdTime)
	return 1 + (c.ColdFactor-1)*left
}

// EndpointFaults are the faults of an Endpoint. The zero value is a healthy one.
type EndpointFaults struct {
	// Straggle multiplies the time of every request and probe when above zero.
	Straggle float64 `json:"straggle,omitempty"`
	// FailFast answers every request at once with this status, which proves
	// nothing about whether it ran. Probes succeed.
	FailFast int `json:"fail_fast,omitempty"`
	// Shed refuses every request with the statement that it was not run.
	Shed bool `json:"shed,omitempty"`
	// Hang runs nothing and never answers.
	Hang bool `json:"hang,omitempty"`
	// CutAnswer breaks the connection in the middle of each answer.
	CutAnswer bool `json:"cut_answer,omitempty"`
	// IgnoreIdleOnly queues requests that ask for an idle slot only.
	IgnoreIdleOnly bool `json:"ignore_idle_only,omitempty"`
	// Load is reported instead of the real load.
	Load *contract.Load `json:"load,omitempty"`
}
