package demo

import (
	"fmt"
	"strings"
	"time"
)

// Report is what came of a run.
type Report struct {
	Took     time.Duration
	Services []ServiceReport
	Added    AddedReport
	Probes   []ProbeReport
	Change   ChangeReport
	Leaving  []LeavingReport
	Stop     StopReport
	// CutOff counts answers that broke off at a caller.
	CutOff int
	// RanTwice are once-only requests that ran more than once.
	RanTwice []string
}

// ServiceReport is what became of the requests to one service.
type ServiceReport struct {
	Service, Kind               string
	Sent, Done, NotRun, Unknown int
	// Retried counts requests that took the caller more than one try.
	Retried int
	// Reasons counts why requests were not done.
	Reasons  map[string]int
	P50, P99 time.Duration
	// Wrong says what is wrong with answers; FalseNotRun are requests that were
	// said not to be run and that ran.
	Wrong       []string
	FalseNotRun []string
}

// AddedReport compares calls through an entry with calls straight to an endpoint.
type AddedReport struct {
	Pairs, Failed        int
	DirectP50, DirectP99 time.Duration
	EntryP50, EntryP99   time.Duration
}

// ProbeReport is what watching a pool's endpoints took of their slot time.
type ProbeReport struct {
	Pool   string
	Probes int64
	// Spent of SlotTime went to probes; Budget of it was allowed.
	Spent, SlotTime time.Duration
	Budget          float64
}

// share is the share of the slot time that was spent.
func (w ProbeReport) share() float64 {
	if w.SlotTime <= 0 {
		return 0
	}
	return float64(w.Spent) / float64(w.SlotTime)
}

// ChangeReport is how a profile change came into force.
type ChangeReport struct {
	Revision uint64
	InForce  []InForce
	// Missing are entries on which it is not in force, Reverted those that
	// fell back to an older revision.
	Missing  []string
	Reverted []string
}

// InForce says when a change came into force on an entry.
type InForce struct {
	Entry string
	After time.Duration
}

// LeavingReport is what a leaving endpoint got after the grace time.
type LeavingReport struct {
	Endpoint, How string
	// Counted is false if the run ended before the grace time.
	Counted      bool
	LateRequests int
}

// StopReport is how the planned stop of an entry went.
type StopReport struct {
	Entry            string
	Cut              int
	Keys, Successors int
	Took             time.Duration
}

// inForceLimit is how long an accepted profile change may take to come into
// force on every entry.
const inForceLimit = 10 * time.Second

// ViolationError says which promises a run broke.
type ViolationError struct {
	Violations []string
}

// Error lists the promises.
func (e *ViolationError) Error() string {
	return "promises were broken: " + strings.Join(e.Violations, "; ") +
		"; run the demo again with the same seed and look into the audit trail of the entry concerned"
}

// Check returns a *ViolationError if the run broke a promise, else nil.
func (r *Report) Check() error {
	var violations []string
	add := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	for _, s := range r.Services {
		add(s.Done == 0, "%s answered nothing", s.Service)
		add(len(s.Wrong) > 0, "%s gave %d wrong answers, first: %s", s.Service, len(s.Wrong), first(s.Wrong))
		add(len(s.FalseNotRun) > 0, "%s: %d requests ran that were said not to be run, first: %s",
			s.Service, len(s.FalseNotRun), first(s.FalseNotRun))
	}
	add(len(r.RanTwice) > 0, "%d once-only requests ran more than once, first: %s", len(r.RanTwice), first(r.RanTwice))
	add(r.CutOff > 0, "%d answers were cut off", r.CutOff)
	add(r.Stop.Cut > 0, "the planned stop of %s cut off %d requests", r.Stop.Entry, r.Stop.Cut)
	for _, w := range r.Probes {
		add(w.share() > w.Budget, "watching %s took %.3f%% of its slot time, %.3f%% were allowed", w.Pool, 100*w.share(), 100*w.Budget)
	}
	for _, l := range r.Leaving {
		add(!l.Counted, "%s was not watched after it left", l.Endpoint)
		add(l.LateRequests > 0, "%s got %d requests later than %v after it left", l.Endpoint, l.LateRequests, leavingGrace)
	}
	add(len(r.Change.Missing) > 0, "revision %d is not in force on %s", r.Change.Revision, strings.Join(r.Change.Missing, ", "))
	add(len(r.Change.Reverted) > 0, "profiles went back: %s", strings.Join(r.Change.Reverted, ", "))
	for _, f := range r.Change.InForce {
		add(f.After > inForceLimit, "revision %d took %v to come into force on %s", r.Change.Revision, f.After, f.Entry)
	}
	if len(violations) == 0 {
		return nil
	}
	return &ViolationError{Violations: violations}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
