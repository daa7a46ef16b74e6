package admin

import (
	"time"

	"github.com/tealhall/tealhall/internal/audit"
)

// Source provides the data that the admin interface shows. The entry implements it. Methods are
// called concurrently and return copies that the caller owns. They must return within milliseconds
// and must not change anything, so that the interface does not affect requests.
type Source interface {
	// Ready reports whether callers may be sent to the entry, and the reason if not.
	Ready() (ready bool, reason string)
	// Status returns an overview of the entry and of its view of the fleet.
	Status() Status
	// Entries returns the entries that this entry knows, including itself, sorted by name.
	Entries() []EntryView
	// Endpoints returns the endpoints that this entry knows, sorted by pool and name.
	Endpoints() []EndpointView
	// Profiles returns the profile document in force.
	Profiles() ProfilesView
	// Routes returns the routes in force, sorted by host and prefix; none if the published document
	// has services instead of routes.
	Routes() []RouteView
}

// RouteView is a route in force.
type RouteView struct {
	Route  string `json:"route"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
	// Priority is the rank among routes; 0 is the highest.
	Priority    int     `json:"priority"`
	Objective   float64 `json:"objective_seconds"`
	Timeout     float64 `json:"timeout_seconds"`
	MaxAttempts int     `json:"max_attempts"`
	// Parts are the services that get the route's requests.
	Parts []RoutePartView `json:"parts"`
}

// RoutePartView is one service of a route and its share of the requests.
type RoutePartView struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Profile is the profile that applies to the requests of this part.
	Profile string `json:"profile"`
}

// Status is an entry with its view of the fleet. Ages and durations are in seconds.
type Status struct {
	// Calm is true if there is no concern.
	Calm     bool      `json:"calm"`
	Concerns []Concern `json:"concerns"`

	Entry    Identity      `json:"entry"`
	Mode     ModeView      `json:"mode"`
	Profiles PublishedView `json:"profiles"`
	VMs      PublishedView `json:"vms"`
	Platform PlatformView  `json:"platform"`
	Fleet    FleetView     `json:"fleet"`
	Requests RequestsView  `json:"requests"`
	Refusals []RefusalView `json:"refusals"`
	Pools    []PoolView    `json:"pools"`
	Keys     KeysView      `json:"keys"`
	// Connections counts open connections of this entry.
	Connections ConnectionsView `json:"connections"`
	Links       []LinkView      `json:"links"`
}

// Concern is a condition that may need an operator's attention.
type Concern struct {
	What string `json:"what"`
	// Clears says what ends the concern: that it ends by itself, or what the operator can do.
	Clears string `json:"clears"`
}

// Identity is the entry that answers.
type Identity struct {
	Name          string    `json:"name"`
	Incarnation   uint64    `json:"incarnation,string"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	CallerAddress string    `json:"caller_address"`
	State         string    `json:"state"`
	Ready         bool      `json:"ready"`
	NotReadyWhy   string    `json:"not_ready_why,omitempty"`
	Uptime        float64   `json:"uptime_seconds"`
	Wall          time.Time `json:"wall"`
	// Policy is the balance policy in use.
	Policy string `json:"policy"`
}

// ModeView is the mode that the calendar sets.
type ModeView struct {
	// Name is "ordinary" or "close".
	Name string `json:"name"`
	// Close is the name of the current close, and Until its end.
	Close string     `json:"close,omitempty"`
	Until *time.Time `json:"until,omitempty"`
	// NextClose is the name of the next close, and NextFrom its start.
	NextClose string     `json:"next_close,omitempty"`
	NextFrom  *time.Time `json:"next_from,omitempty"`
}

// PublishedView is the state of a published value in this entry.
type PublishedView struct {
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest,string"`
	// Wanted is a later revision that this entry knows to exist, or 0.
	Wanted uint64 `json:"wanted,omitempty"`
	// Refused is the latest revision that was refused as invalid, or 0.
	Refused uint64 `json:"refused,omitempty"`
	// Confirmed reports whether the platform itself has confirmed to this entry that the revision
	// is the latest, and ConfirmedAge is the time since then. Entries that do not read the
	// platform get confirmations rarely; their peers keep them current.
	Confirmed    bool    `json:"confirmed"`
	ConfirmedAge float64 `json:"confirmed_age_seconds"`
}

// PlatformView is this entry's use of the configuration service.
type PlatformView struct {
	// Reader reports whether this entry watches the platform for its failure domain.
	Reader bool `json:"reader"`
	// Calls and Failures count since the start.
	Calls    uint64 `json:"calls"`
	Failures uint64 `json:"failures"`
	// CallsPerSecond is the rate limit of this entry's calls.
	CallsPerSecond float64 `json:"calls_per_second"`
	LastError      string  `json:"last_error,omitempty"`
}

// FleetView counts entries and endpoints according to this entry's view.
type FleetView struct {
	EntriesUsable    int `json:"entries_usable"`
	EntriesSuspected int `json:"entries_suspected"`
	EntriesLeaving   int `json:"entries_leaving"`
	EndpointsLive    int `json:"endpoints_live"`
	EndpointsLeaving int `json:"endpoints_leaving"`
	EndpointsEjected int `json:"endpoints_ejected"`
	// Evacuated are the evacuated failure domains, in the order in which this entry learned of
	// their evacuation.
	Evacuated []EvacuationView `json:"evacuated,omitempty"`
	// Readers are the names of the entries that report that they read the platform.
	Readers []string `json:"readers"`
	// Revisions counts entries by their revision of the profiles in force. It includes only the
	// entries that report it to this one; in a large fleet these are its neighbours.
	Revisions []RevisionCount `json:"revisions"`
	// Domains counts the entries by failure domain, sorted by its name.
	Domains []DomainCount `json:"domains"`
}

// EvacuationView is an evacuated failure domain, whose endpoints get no requests.
type EvacuationView struct {
	FailureDomain string `json:"failure_domain"`
	// Age is the time for which this entry has known of the evacuation, in seconds.
	Age float64 `json:"age_seconds"`
	// Endpoints counts the live endpoints of the failure domain, Outstanding the requests of this
	// entry that still run there.
	Endpoints   int `json:"endpoints"`
	Outstanding int `json:"outstanding"`
}

// DomainCount counts the entries of a failure domain by their state.
type DomainCount struct {
	FailureDomain string `json:"failure_domain"`
	Usable        int    `json:"usable"`
	Suspected     int    `json:"suspected"`
	Leaving       int    `json:"leaving"`
	Starting      int    `json:"starting"`
}

// RevisionCount is the number of entries that have a revision in force.
type RevisionCount struct {
	Revision uint64 `json:"revision"`
	Entries  int    `json:"entries"`
}

// RequestsView counts requests since the start.
type RequestsView struct {
	InFlight    int     `json:"in_flight"`
	MaxInFlight int     `json:"max_in_flight"`
	PerSecond   float64 `json:"per_second"`
	Arrived     uint64  `json:"arrived"`
	Done        uint64  `json:"done"`
	NotRun      uint64  `json:"not_run"`
	Unknown     uint64  `json:"unknown"`
	Retried     uint64  `json:"retried"`
	Hedged      uint64  `json:"hedged"`
	Replayed    uint64  `json:"replayed"`
	Forwarded   uint64  `json:"forwarded"`
	// RetriesDenied counts retries that the retry budget did not allow.
	RetriesDenied uint64 `json:"retries_denied"`
	// Pauses counts how often the process was paused.
	Pauses uint64 `json:"pauses"`
}

// RefusalView counts the requests that tealhall itself answered, by reason.
type RefusalView struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
	// Remedy is the advice given to callers.
	Remedy string `json:"remedy"`
}

// PoolView is a pool of endpoints with its queue and its budgets.
type PoolView struct {
	Pool     string   `json:"pool"`
	Services []string `json:"services"`
	Slots    int      `json:"slots"`
	// Outstanding counts this entry's attempts in flight.
	Outstanding int `json:"outstanding"`
	// Waiting is the length of this entry's queue, and QueueLimit its bound.
	Waiting    int `json:"waiting"`
	QueueLimit int `json:"queue_limit"`
	// Ejected counts the ejected endpoints, Endpoints the live and the leaving ones.
	Ejected   int `json:"ejected"`
	Endpoints int `json:"endpoints"`
	// Unreachable reports whether no endpoint answers this entry, so that requests are relayed to
	// other entries.
	Unreachable bool `json:"unreachable,omitempty"`
	// Short reports whether a request that could be in time found no room a moment ago. Headroom is
	// the share of load probes that found an endpoint with headroom.
	Short    bool    `json:"short,omitempty"`
	Headroom float64 `json:"headroom"`
	// Unconnected reports whether no new connection to an endpoint can be opened, so that requests
	// that find no open connection are relayed to other entries.
	Unconnected bool `json:"unconnected,omitempty"`
	// ViewWrong reports whether most endpoints look unhealthy, so that none is ejected.
	ViewWrong bool `json:"view_wrong,omitempty"`
	// HealthProbes is the budget of health probes, as a share of the pool's slot time.
	HealthProbes BudgetView `json:"watch"`
	// Retry is the budget for retries and hedges, in requests.
	Retry BudgetView `json:"retry"`
}

// BudgetView is a budget of this entry.
type BudgetView struct {
	// Share is the share set in the profiles.
	Share float64 `json:"share"`
	// Spent and Denied count since the start.
	Spent  uint64 `json:"spent"`
	Denied uint64 `json:"denied"`
	// Left is the amount that can be spent now.
	Left float64 `json:"left"`
}

// KeysView is the table of idempotency keys.
type KeysView struct {
	Keys           int    `json:"held"`
	Limit          int    `json:"limit"`
	Running        int    `json:"running"`
	AnswerBytes    int64  `json:"answer_bytes"`
	MaxAnswerBytes int64  `json:"max_answer_bytes"`
	Epoch          uint32 `json:"epoch"`
	OldestEpoch    uint32 `json:"oldest_epoch"`
	// Adopted counts tables taken over from entries that stopped.
	Adopted int `json:"adopted"`
	// Sealed reports whether the table refuses new keys.
	Sealed bool `json:"sealed"`
}

// ConnectionsView counts connections.
type ConnectionsView struct {
	Callers   int `json:"callers"`
	Endpoints int `json:"endpoints"`
	PeersIn   int `json:"peers_in"`
	PeersOut  int `json:"peers_out"`
}

// LinkView is an outgoing link to another entry.
type LinkView struct {
	Peer    string `json:"peer"`
	Address string `json:"address"`
	State   string `json:"state"`
	// HeardAge is the time since the peer last answered; -1 for never.
	HeardAge  float64 `json:"heard_age_seconds"`
	RTT       float64 `json:"rtt_seconds"`
	BytesIn   uint64  `json:"bytes_in"`
	BytesOut  uint64  `json:"bytes_out"`
	Messages  uint64  `json:"messages"`
	Dropped   uint64  `json:"dropped"`
	LastError string  `json:"last_error,omitempty"`
}

// EntryView is the state of an entry as known to the answering entry.
type EntryView struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation,string"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// Self marks the entry that answers.
	Self bool `json:"self,omitempty"`
	// State is the state that the entry reported: starting, serving, leaving or stopped.
	State     string `json:"state"`
	Suspected bool   `json:"suspected,omitempty"`
	// Missing reports whether the entry is missing from the platform's list.
	Missing bool `json:"missing,omitempty"`
	Reader  bool `json:"reader,omitempty"`
	// Profiles and VMs are the revisions in force at the entry.
	Profiles uint64 `json:"profiles_revision"`
	VMs      uint64 `json:"vms_revision"`
	// Rate is the number of requests per second that arrive at the entry.
	Rate uint32 `json:"rate"`
	// HeardAge is the time since the answering entry last received a message from the entry; -1 for
	// never.
	HeardAge float64 `json:"heard_age_seconds"`
}

// EndpointView is the state of an endpoint as known to the answering entry.
type EndpointView struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Incarnation   uint64 `json:"incarnation,string"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// State is live, leaving or gone.
	State string `json:"state"`
	// Quota is "granted" if the answering entry may send the endpoint a request now, otherwise the
	// reason why not.
	Quota string `json:"grant"`
	// Missing reports whether the endpoint is missing from the platform's list.
	Missing bool `json:"missing,omitempty"`
	// RateLimit is the reported limit of requests per second from all entries together.
	RateLimit float64 `json:"rate_limit,omitempty"`
	Slots     int     `json:"slots"`
	// Outstanding counts this entry's attempts in flight. Foreign is the load from others according
	// to the newest load report, LoadReportAge the age of that report, -1 if there is none.
	Outstanding   int     `json:"outstanding"`
	Foreign       int     `json:"foreign"`
	LoadReportAge float64 `json:"sighting_age_seconds"`
	// Connections counts this entry's open connections to the endpoint.
	Connections int `json:"connections"`
	// Latency is the smoothed time from dispatch to answer, Slowness its ratio to the usual latency
	// in the pool, and FailureRate the smoothed share of failures.
	Latency     float64 `json:"latency_seconds"`
	Slowness    float64 `json:"slowness"`
	FailureRate float64 `json:"failure_rate"`
	// Ejection is set while the endpoint is ejected.
	Ejection *EjectionView `json:"ejection,omitempty"`
	// SlowStart is the share of its usual number of slots that a new endpoint gets; 1 after the
	// slow start.
	SlowStart float64 `json:"slow_start"`
}

// EjectionView says why an endpoint is ejected and what ends that.
type EjectionView struct {
	Why string `json:"why"`
	// Remaining is the time in which the endpoint gets only trial requests.
	Remaining float64 `json:"for_seconds"`
	// TrialIn is the time until the next trial request may be sent.
	TrialIn float64 `json:"trial_in_seconds"`
	// Consecutive counts consecutive ejections; the ejection time grows with it.
	Consecutive int `json:"in_a_row"`
	// Clears says what leads to the readmission of the endpoint.
	Clears string `json:"clears"`
}

// ProfilesView is the profile document in force.
type ProfilesView struct {
	Published PublishedView `json:"published"`
	Mode      ModeView      `json:"mode"`
	TimeZone  string        `json:"time_zone"`
	Services  []ServiceView `json:"services"`
	Closes    []CloseView   `json:"closes"`
	Warnings  []string      `json:"warnings,omitempty"`
	// Text is the published document, unchanged.
	Text string `json:"text"`
}

// ServiceView is a service with the policy that applies to it in the current mode.
type ServiceView struct {
	Service string `json:"service"`
	Profile string `json:"profile"`
	Pool    string `json:"pool"`
	Kind    string `json:"kind"`
	// Deadline is in seconds.
	Deadline    float64 `json:"deadline_seconds"`
	QueueLimit  int     `json:"queue_limit"`
	Priority    int     `json:"priority"`
	SlotShare   float64 `json:"slot_share"`
	RetryBudget float64 `json:"retry_budget"`
	ProbeBudget float64 `json:"watch_budget"`
	HedgeAfter  float64 `json:"hedge_after_seconds"`
	KeyRequired bool    `json:"key_required"`
}

// CloseView is a close of the calendar.
type CloseView struct {
	Name string    `json:"name"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// AuditLine is one line of the audit stream.
type AuditLine struct {
	audit.Record
	// Dropped reports whether records before this one were left out: the ring has overwritten them,
	// or the requested number comes from an earlier process.
	Dropped bool `json:"dropped,omitempty"`
}

// MetricView is one metric with its values, for example "count" and "99%".
type MetricView struct {
	Name   string             `json:"name"`
	Values map[string]float64 `json:"values"`
}

// ErrorBody is the body of an answer with a status other than 200.
type ErrorBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}
