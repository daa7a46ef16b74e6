package core

import (
	"time"

	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
)

// RequestID identifies a caller's request within one entry incarnation. The driver chooses it and
// never reuses it.
type RequestID uint64

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint8

// Arrival is a caller's request as the driver read it. The body stays with the driver.
type Arrival struct {
	ID      RequestID
	Service string
	// Name is the caller's name for the request, for the log.
	Name string
	// Content is a hash of the request's host, method, target and body, the same for all callers; 0
	// if not known.
	Content uint64
	// Caller is a hash of the caller's identity, for fairness and to bind keys.
	Caller uint64
	// CallerDomain is the failure domain that the caller names, or "".
	CallerDomain string
	// Key is the caller's idempotency key; valid only if HasKey.
	Key    idem.Key
	HasKey bool
	// Digest is the digest of a request with a key. Another request under the same key has another
	// digest.
	Digest idem.Digest
	// Idempotent is set if the method is idempotent by its definition (GET, PUT ...).
	Idempotent bool
	// Replayable is set if the driver can send the body more than once.
	Replayable bool
	// BodyRemaining is how long the rest of the body takes to arrive, as far as known.
	BodyRemaining time.Duration
	// Timeout is the time that the caller still allows; 0 if it named no deadline.
	Timeout time.Duration
	// CallerAttempt is 1 for a first try. It is higher if the caller, itself an endpoint of another
	// service, is running a repeated attempt of its own call.
	CallerAttempt int
	// Depth is the number of calls that this one is nested in.
	Depth int
	// Forwarded is set if another entry forwarded the request to the home of its key.
	Forwarded bool
	// Relayed is set if another entry relayed the request because it reaches no endpoint. Its key, if
	// it has one, is not looked up here.
	Relayed bool
	// Counted is set if another entry counted the relayed request for the fleet's bound on repeats.
	Counted bool
	// Revision is the latest revision of the profiles that the caller has seen.
	Revision uint64
	// LinkBacklog is how long the entry's link takes for the large answers that are under way.
	LinkBacklog time.Duration
	// Admission is the result of Admit or AdmitRoute for the request. Without one, the request is
	// for Service as it is published on arrival.
	Admission Admission
}

// Admission is the core's decision on a request before its body is read. It binds the request to
// the service that was in force when its head arrived.
type Admission struct {
	// Service is the name of the service.
	Service string
	// MaxBody is its largest request body in bytes.
	MaxBody int64
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
	// LargeAnswer is set if answers of the service are large, so that they take turns on the link.
	LargeAnswer bool
	// Reason is why the request is refused, ReasonNone if it is not.
	Reason Reason
	// row is the index of the service's row plus one, 0 for none; pool and policy are those in
	// force at that time.
	row    int32
	pool   *pool
	policy *profile.Policy
}

// Head is the head of an endpoint's answer.
type Head struct {
	ID      RequestID
	Attempt Attempt
	Status  int
	Load    Load
	// NotRun is set if the endpoint stated explicitly that it did not run the request.
	NotRun bool
	// RetryAfter is for how long the endpoint, which refused the request, wants no requests from
	// this entry; 0 if it does not say so.
	RetryAfter time.Duration
	// Draining is set if the endpoint announced that it is leaving.
	Draining bool
	// Incarnation is the incarnation that the endpoint reports; 0 if it reports none.
	Incarnation uint64
	// Misdirected is set if another endpoint than expected answered at the address; NotRun is set
	// as well.
	Misdirected bool
	// AnsweredBy is the name of the endpoint that answered; "" if it does not give it.
	AnsweredBy string
	// Unusable is set if the answer lacks the proof that its status requires of the endpoint, such
	// as the signature of a success. The request may have run.
	Unusable bool
	// Connected is set if a new connection was opened for the attempt.
	Connected bool
	// Conn is the connection that was used, for the log.
	Conn ConnUse
	// Reason is why the entry to which the request was relayed refused it.
	Reason Reason
	// HomeLost is set if the entry to which the request was forwarded does not know its key.
	HomeLost bool
}

// ConnUse says which connection an attempt used, and what else came on it.
type ConnUse struct {
	// Number identifies the connection within the entry's process, 0 if there was none.
	Number uint64
	// Carried is how many requests and probes the connection had carried before.
	Carried int
	// StrayAnswers counts the discarded answers to other requests.
	StrayAnswers int
}

// Load is an endpoint's report of its own load.
type Load struct {
	Known    bool
	InFlight int
	Queued   int
	Slots    int
	// Pace is how long work takes at the endpoint at this moment, in percent of the usual time; 0
	// if not reported.
	Pace int
	// Cold is how much longer the endpoint stays cold, 0 for a warm one. Only answers to load
	// probes contain it.
	Cold time.Duration
	// RateLimit is how many requests per second the endpoint accepts from all entries together, 0
	// if it reports no limit. It may be set also if Known is false.
	RateLimit float64
}

// EndKind says how an attempt ended.
type EndKind uint8

// How an attempt can end.
const (
	// EndComplete: the whole answer was passed on or captured.
	EndComplete EndKind = iota + 1
	// EndNotWritten: no byte of the request reached a socket.
	EndNotWritten
	// EndNotRun: the endpoint stated that it did not run the request.
	EndNotRun
	// EndDiscarded: a head arrived and the core decided not to use the answer.
	EndDiscarded
	// EndLost: bytes were written and no answer came.
	EndLost
	// EndTruncated: the answer broke off after its head.
	EndTruncated
	// EndCancelled: the core cancelled the attempt.
	EndCancelled
	// EndCallerGone: the answer could not be passed on to the caller.
	EndCallerGone
)

// End is the end of an attempt.
type End struct {
	ID      RequestID
	Attempt Attempt
	Kind    EndKind
	// TimedOut is set if the attempt ran into its deadline.
	TimedOut bool
	// ConnSilent is set if the connection rather than the endpoint is suspected to be dead.
	ConnSilent bool
	// BodyFailed is set if the caller's own request broke off or is unusable.
	BodyFailed bool
	// ConnBroken is set if the endpoint's connection ended before its answer was complete.
	ConnBroken bool
	// DialFailed is set if no connection could be opened. Connected is set if one was, for this
	// attempt. NoOpenConn is set if the attempt needed an open connection and there was none.
	DialFailed, Connected, NoOpenConn bool
	// Cause names the fault, for the log; "" if there was none.
	Cause string
	// Conn is the connection that was used, for the log, if no head of an answer came on it.
	Conn ConnUse
	// Bytes is the size of the request's body and the answer's, if the answer was passed on
	// completely.
	Bytes int64
	// Replayable is set if the body can still be sent completely.
	Replayable bool
	// Answer is the captured answer of a request with a key, or nil.
	Answer *idem.Answer
}

// Outcome is what tealhall states about whether a request was run.
type Outcome uint8

// The outcomes. Unless an answer was passed on, a request with several attempts gets OutcomeUnknown
// if any of them may have run, and OutcomeNotRun otherwise.
const (
	// OutcomeDone: an endpoint answered and this is its answer.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun: no endpoint ran the request.
	OutcomeNotRun
	// OutcomeUnknown: an endpoint may have run the request.
	OutcomeUnknown
)

// String returns the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Step is what the driver must do next for one request.
type Step uint8

// The steps of a request.
const (
	// StepDispatch: send the request to Address as attempt Attempt.
	StepDispatch Step = iota + 1
	// StepForward: send the request to the entry at Address, the home of its key.
	StepForward
	// StepRelay: send the request to the entry at Address, which may reach endpoints that this entry
	// does not.
	StepRelay
	// StepCommit: pass the answer of Attempt on to the caller.
	StepCommit
	// StepDiscard: drop the answer of Attempt unread and report EndDiscarded or EndNotRun.
	StepDiscard
	// StepCancel: cancel Attempt; its end is reported but changes nothing for the caller.
	StepCancel
	// StepReply: give the caller tealhall's own final answer (Outcome, Reason).
	StepReply
	// StepReplay: give the caller the stored Answer.
	StepReplay
)

// Directive tells the driver one step of one request.
type Directive struct {
	ID      RequestID
	Step    Step
	Attempt Attempt
	// Address is the IP:port to send the request to, and Endpoint the name of the endpoint expected
	// there, or of the entry that a request is relayed to.
	Address  string
	Endpoint string
	// Once is set if the attempt must not be sent twice by any layer below the core and needs a
	// connection that is known to be alive.
	Once bool
	// IdleOnly asks the endpoint to refuse the request rather than queue it.
	IdleOnly bool
	// Counted is set with StepRelay if an entry has counted the request for the fleet's bound on
	// repeats.
	Counted bool
	// OpenOnly is set if the attempt may be sent only on a connection that is already open. Without
	// one the driver reports EndNotWritten with NoOpenConn.
	OpenOnly bool
	// Repeated is set on a relay of a request that an endpoint may already have run.
	Repeated bool
	// Deadline is the time by which the attempt must have ended.
	Deadline time.Duration
	Outcome  Outcome
	Reason   Reason
	// RetryAfter is the delay after which the caller may try again; 0 if it need not wait.
	RetryAfter time.Duration
	Answer     *idem.Answer
}

// Probe asks the driver for one probe of an endpoint. With a Request it is a load probe on behalf
// of that request.
type Probe struct {
	Pool        string
	Endpoint    string
	Incarnation uint64
	Address     string
	// Path is the path at which the endpoint reports its load; empty for contract.ProbePath.
	Path    string
	Request RequestID
	Round   uint32
	// Wait bounds the wait for the answer; 0 leaves the bound to the driver.
	Wait time.Duration
	// OpenOnly is set if the probe may be sent only on a connection that is already open, NewConn if
	// it needs a new one.
	OpenOnly, NewConn bool
	// CrashProbe is set if the probe asks whether an endpoint whose connections broke has crashed.
	CrashProbe bool
	// At is when a crash probe was requested.
	At time.Duration
}

// ProbeEnd is the result of a probe.
type ProbeEnd struct {
	Probe   Probe
	OK      bool
	Load    Load
	Latency time.Duration
	// RetryAfter is for how long the endpoint wants no requests from this entry, as in a Head.
	RetryAfter time.Duration
	// Draining and Incarnation are what the endpoint reports about itself.
	Draining    bool
	Incarnation uint64
	// Refused is set if the address refuses connections: no process listens there.
	Refused bool
	// DialFailed, Connected and NoOpenConn are as in an End. DialFailed is also set if a new connection
	// ended before the answer.
	DialFailed, Connected, NoOpenConn bool
	// Unhealthy is set if the endpoint answers that it should get no work now.
	Unhealthy bool
	// Misdirected is set if another endpoint answers at the address.
	Misdirected bool
	// AnsweredBy is as in a Head.
	AnsweredBy string
}

// Outgoing is an update for one peer.
type Outgoing struct {
	// To is the peer's incarnation. The driver reports the result with UpdateDone.
	To      uint64
	Address string
	Update  message.Update
}

// Fetch asks the driver to get a published value.
type Fetch struct {
	Name string
	// Source is assign.Platform or the incarnation of the peer at Address.
	Source  uint64
	Address string
	// After is a revision; only a later one is needed.
	After uint64
	// Planned is set for fetches whose progress and end the driver reports with FetchReceived and
	// FetchDone; Number distinguishes them.
	Planned bool
	Number  int
	// Why says, for the log, why the configuration service is asked.
	Why string
}

// Note is a change for the audit trail.
type Note struct {
	// Actor is who caused the change; "" is the entry itself.
	Actor    string
	Subject  string
	Action   string
	From     string
	To       string
	Revision uint64
	Why      string
}

// Actions collects what the driver must do after an event. The driver owns it, passes it to every
// call and empties it with Reset; the core only appends.
type Actions struct {
	Directives []Directive
	Probes     []Probe
	Updates    []Outgoing
	Fetches    []Fetch
	Notes      []Note
	// Traces are the traces of ended requests, for the log.
	Traces []RequestTrace
	// DropAddresses are addresses whose connections are no longer needed.
	DropAddresses []string
	// SuspectAddresses are addresses to which idle connections may be dead.
	SuspectAddresses []string
}

// Reset empties a and keeps its memory.
func (a *Actions) Reset() {
	clear(a.Directives)
	a.Directives = a.Directives[:0]
	a.Probes = a.Probes[:0]
	a.Updates = a.Updates[:0]
	a.Fetches = a.Fetches[:0]
	a.Notes = a.Notes[:0]
	clear(a.Traces)
	a.Traces = a.Traces[:0]
	a.DropAddresses = a.DropAddresses[:0]
	a.SuspectAddresses = a.SuspectAddresses[:0]
}

func (a *Actions) addDirective(d Directive) {
	a.Directives = append(a.Directives, d)
}

func (a *Actions) note(n Note) {
	a.Notes = append(a.Notes, n)
}
