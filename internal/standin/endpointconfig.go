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

// EndpointConfig configures an Endpoint. Name is required; zero values of the other fields stand
// for defaults.
type EndpointConfig struct {
	Name        string
	Incarnation uint64
	// Listen is the IP:port to serve on. The default is a free port on loopback.
	Listen string
	Slots  int
	// QueueLimit is the maximum length of the queue; a negative value disables the queue.
	QueueLimit int
	// ServiceTime returns how long each request uses a slot.
	ServiceTime ServiceTime
	// ProbeTime is how long a probe uses a slot.
	ProbeTime time.Duration
	// ColdFactor multiplies the slot times of requests and probes at the start; the factor falls
	// linearly to 1 over ColdTime. A value of at most 1 means no cold start.
	ColdFactor float64
	ColdTime   time.Duration
	// ConnectTime postpones the first read of each new connection.
	ConnectTime time.Duration
	// Ledger may be shared with other endpoints. By default the endpoint has its own.
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

// coldFactor returns the factor by which slot times are multiplied at the given age of the
// endpoint.
func (c EndpointConfig) coldFactor(age time.Duration) float64 {
	if c.ColdFactor <= 1 || age >= c.ColdTime {
		return 1
	}
	left := 1 - float64(age)/float64(c.ColdTime)
	return 1 + (c.ColdFactor-1)*left
}

// EndpointFaults are the faults of an Endpoint. The zero value is a healthy endpoint.
type EndpointFaults struct {
	// Straggle, if above zero, multiplies the slot time of every request and probe.
	Straggle float64 `json:"straggle,omitempty"`
	// FailFast, if above zero, is the status with which the endpoint answers every request at once.
	// The answer does not tell whether the request ran. Probes succeed.
	FailFast int `json:"fail_fast,omitempty"`
	// Shed refuses every request and probe as not run.
	Shed bool `json:"shed,omitempty"`
	// RetryAfter, if above zero, is the Retry-After of the refusals of Shed, in seconds.
	RetryAfter float64 `json:"retry_after,omitempty"`
	// Hang keeps every request and probe waiting: the endpoint neither runs nor answers it.
	Hang bool `json:"hang,omitempty"`
	// CutAnswer closes the connection in the middle of each answer.
	CutAnswer bool `json:"cut_answer,omitempty"`
	// IgnoreIdleOnly queues a request that asks for an idle slot instead of refusing it.
	IgnoreIdleOnly bool `json:"ignore_idle_only,omitempty"`
	// Load, if not nil, is reported instead of the real load.
	Load *contract.Load `json:"load,omitempty"`
}
