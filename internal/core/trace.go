package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestTrace is the log record of one request: the decisions on it and the values that they were
// based on. It is written once, when the request ends, so that a failed request can be explained
// without a line for each successful one.
type RequestTrace struct {
	// Name is the caller's name for the request, Service the service that it asked for.
	Name, Service string
	// Content is a hash of the request's host, method, target and body.
	Content uint64
	// Revision is the revision of the routes or profiles in force.
	Revision uint64
	Outcome  Outcome
	Reason   Reason
	// Status is the status of the endpoint's answer that was passed on, 0 for none.
	Status     int
	RetryAfter time.Duration
	// CallerGone is set if the caller left before its answer.
	CallerGone bool
	// CallerAge is how long before the request's arrival its caller first tried, as far as known.
	CallerAge time.Duration
	// Took is the time from the request's arrival to its end, Objective its latency objective.
	Took, Objective time.Duration
	// LoadProbes counts the endpoints probed for the request, NoRoom how often no endpoint had
	// room.
	LoadProbes, NoRoom int
	// Late is set if the request could no longer be in time before it was sent.
	Late bool
	// Endpoints counts the endpoints of its pool that take work, Full those of them that had no
	// room by the newest load known at the end, and Queued the requests that wait in this entry for
	// the pool.
	Endpoints, Full, Queued int
	// BackingOff counts the endpoints of the pool that want no requests from this entry at the end.
	BackingOff int
	// Unanswered counts the endpoints of the pool that failed to answer this entry after the last
	// answer of any of them, Unheard is how long ago that answer came; both are 0 if the latest
	// contact succeeded.
	Unanswered int
	Unheard    time.Duration
	// WindowRequests and WindowRepeats are what the bound on the pool's repeats counted at this entry
	// in the latest window, 0 without a bound.
	WindowRequests, WindowRepeats int
	Attempts                      []AttemptTrace
	// Relayed is set if another entry relayed the request to this one.
	Relayed bool
	// Sampled is set if the request went well and is traced as a sample.
	Sampled bool
}

// AttemptTrace is one attempt of a request.
type AttemptTrace struct {
	Endpoint string `json:"endpoint"`
	// AtMillis is when the attempt was sent, counted from the request's arrival, TookMillis how
	// long the attempt took, both in milliseconds.
	AtMillis   int64 `json:"at_ms"`
	TookMillis int64 `json:"took_ms"`
	// Running, Waiting and Pace are the load that the endpoint reported before, AgeMillis the age
	// of that report.
	Running   int32 `json:"running"`
	Waiting   int32 `json:"waiting"`
	Pace      int32 `json:"pace"`
	AgeMillis int64 `json:"look_age_ms"`
	// Limit is the rate limit that the endpoint had reported, in requests per second; 0 for none.
	Limit float64 `json:"limit,omitempty"`
	// Second is set if the attempt was sent while an earlier attempt was running.
	Second bool `json:"second,omitempty"`
	// Relay is set if the attempt went to another entry, whose name is in Endpoint.
	Relay  bool `json:"relay,omitempty"`
	Status int  `json:"status,omitempty"`
	// RetryAfterMillis is for how many milliseconds the endpoint asked for no more requests.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Conn identifies the connection that was used, Carried is how many requests and probes it had
	// carried before, Strays how many answers to other requests were discarded on it.
	Conn    uint64 `json:"conn,omitempty"`
	Carried int    `json:"carried,omitempty"`
	Strays  int    `json:"strays,omitempty"`
	// End is how the attempt ended, "running" if it had not ended; Cause names the fault, if any.
	End   string `json:"end"`
	Cause string `json:"cause,omitempty"`
}

// attemptEndNames are the names of attempt ends in the log.
var attemptEndNames = [...]string{
	0: "running", EndComplete: "complete", EndNotWritten: "not-written", EndNotRun: "not-run", EndDiscarded: "discarded",
	EndLost: "lost", EndTruncated: "truncated", EndCancelled: "cancelled", EndCallerGone: "caller-gone",
}

// String returns the name of k in the log.
func (k EndKind) String() string {
	if int(k) < len(attemptEndNames) {
		return attemptEndNames[k]
	}
	return "unknown"
}

// sampleOneIn is the sampling rate of successful requests: one in sampleOneIn is traced. All
// entries sample the same requests.
const sampleOneIn = 64

// traceRequest appends the trace of a request that ends, if the request failed, was late or is
// sampled.
func (c *Core) traceRequest(r *request, out *Actions) {
	took := c.now - r.arrived
	bad := r.outcome != OutcomeDone || r.status >= 500 || r.policy.Objective > 0 && took > r.policy.Objective
	sampled := !bad && xxhash.Sum64String(r.arrival.Name)%sampleOneIn == 0 && r.arrival.Name != ""
	if !bad && !sampled {
		return
	}
	trace := RequestTrace{
		Name: r.arrival.Name, Service: r.service.name, Content: r.arrival.Content, Revision: c.fleet.profiles.InForce().Revision,
		Outcome: r.outcome, Reason: r.reason, Status: r.status, RetryAfter: r.retryAfter, CallerGone: r.callerGone,
		CallerAge: r.age, Took: took, Objective: r.policy.Objective, LoadProbes: r.loadProbes, NoRoom: r.noRoom, Late: r.late, Relayed: r.arrival.Relayed, Sampled: sampled,
	}
	trace.Endpoints, _, trace.Full = r.pool.placementState.Fullness(c.now, r.pool.Endpoints)
	trace.Queued, trace.BackingOff = r.pool.queue.Len(), r.pool.backingOff(c.now)
	if trace.Unanswered = r.pool.reach.Unanswered(); trace.Unanswered > 0 {
		trace.Unheard = c.now - r.pool.reach.HeardAt()
	}
	trace.WindowRequests, trace.WindowRepeats = r.pool.repeats.Counted(c.now)
	for i := Attempt(1); i <= r.dispatches; i++ {
		trace.Attempts = append(trace.Attempts, c.traceAttempt(r, &r.attempts[i]))
	}
	out.Traces = append(out.Traces, trace)
}

func (c *Core) traceAttempt(r *request, a *attempt) AttemptTrace {
	took := a.took
	if a.live {
		took = c.now - a.sentAt
	}
	return AttemptTrace{
		Endpoint: a.endpoint, AtMillis: (a.sentAt - r.arrived).Milliseconds(), TookMillis: took.Milliseconds(),
		Running: a.probedLoad.Running, Waiting: a.probedLoad.Waiting, Pace: a.probedLoad.Pace, AgeMillis: (a.sentAt - a.probedLoad.At).Milliseconds(), Limit: a.limit,
		Second: a.hedge, Relay: a.relay, Status: a.status, RetryAfterMillis: a.retryAfter.Milliseconds(),
		Conn: a.conn.Number, Carried: a.conn.Carried, Strays: a.conn.StrayAnswers, End: a.end.String(), Cause: a.cause,
	}
}
