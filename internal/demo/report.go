package demo

import (
	"fmt"
	"strings"
	"time"
)

// Report is the result of a run.
type Report struct {
	Took         time.Duration
	Services     []ServiceReport
	AddedLatency AddedLatencyReport
	Probes       []ProbeReport
	Change       ChangeReport
	Leaving      []LeavingReport
	Stop         StopReport
	// CutOff counts the answers that were cut off before the caller had read them completely.
	CutOff int
	// RanTwice are the ids and keys of once-only requests that ran more than once.
	RanTwice []string
}

// ServiceReport is the result of the requests to one service.
type ServiceReport struct {
	Service, Kind               string
	Sent, Done, NotRun, Unknown int
	// Retried counts requests that the caller's client sent more than once.
	Retried int
	// Reasons counts the requests that were not done, by reason.
	Reasons  map[string]int
	P50, P99 time.Duration
	// Wrong describes the wrong answers. FalseNotRun has the ids of the requests that were reported
	// as not run although they ran.
	Wrong       []string
	FalseNotRun []string
}

// AddedLatencyReport compares calls through an entry with calls made directly to an endpoint.
type AddedLatencyReport struct {
	Pairs, Failed        int
	DirectP50, DirectP99 time.Duration
	EntryP50, EntryP99   time.Duration
}

// ProbeReport is the slot time that probes used at the endpoints of a pool.
type ProbeReport struct {
	Pool   string
	Probes int64
	// Spent is the slot time that probes used, SlotTime the total slot time of the pool, and Budget
	// the share of SlotTime that probes may use.
	Spent, SlotTime time.Duration
	Budget          float64
}

// share returns the share of the slot time that probes used.
func (p ProbeReport) share() float64 {
	if p.SlotTime <= 0 {
		return 0
	}
	return float64(p.Spent) / float64(p.SlotTime)
}

// ChangeReport tells when a profile change came into force.
type ChangeReport struct {
	Revision uint64
	InForce  []InForce
	// Missing names the entries on which the change is not in force. Reverted describes each return
	// of an entry to an older revision.
	Missing  []string
	Reverted []string
}

// InForce is the time from the publication of a change until it came into force on an entry.
type InForce struct {
	Entry string
	After time.Duration
}

// LeavingReport is the number of requests that a leaving endpoint got after leavingGrace.
type LeavingReport struct {
	// How says how the endpoint's leaving became known.
	Endpoint, How string
	// Counted is false if the run ended before leavingGrace had passed.
	Counted      bool
	LateRequests int
}

// StopReport is the result of the planned stop of an entry.
type StopReport struct {
	Entry string
	// Cut counts the requests that the stop cut off.
	Cut int
	// Keys counts the idempotency keys that were handed over, Successors the entries that took them
	// over.
	Keys, Successors int
	Took             time.Duration
}

// inForceLimit is the longest time that an accepted profile change may take to come into force on
// every entry.
const inForceLimit = 10 * time.Second

// ViolationError lists the guarantees that a run violated.
type ViolationError struct {
	Violations []string
}

// Error implements error.
func (e *ViolationError) Error() string {
	return "guarantees were violated: " + strings.Join(e.Violations, "; ") +
		"; run the demo again with the same seed and check the audit trail of the affected entry"
}

// Check returns a *ViolationError if the run violated a guarantee, and nil otherwise.
func (r *Report) Check() error {
	var violations []string
	add := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	for _, s := range r.Services {
		add(s.Done == 0, "%s completed no request", s.Service)
		add(len(s.Wrong) > 0, "%s gave %d wrong answers, first: %s", s.Service, len(s.Wrong), first(s.Wrong))
		add(len(s.FalseNotRun) > 0, "%s: %d requests ran although they were reported as not run, first: %s",
			s.Service, len(s.FalseNotRun), first(s.FalseNotRun))
	}
	add(len(r.RanTwice) > 0, "%d once-only requests ran more than once, first: %s", len(r.RanTwice), first(r.RanTwice))
	add(r.CutOff > 0, "%d answers were cut off", r.CutOff)
	add(r.Stop.Keys == 0, "the planned stop of %s handed over no idempotency key", r.Stop.Entry)
	add(r.Stop.Cut > 0, "the planned stop of %s cut off %d requests", r.Stop.Entry, r.Stop.Cut)
	for _, p := range r.Probes {
		add(p.share() > p.Budget, "probes of %s took %.3f%% of its slot time, more than the budget of %.3f%%", p.Pool, 100*p.share(), 100*p.Budget)
	}
	for _, l := range r.Leaving {
		add(!l.Counted, "requests to %s were not counted after it began to leave", l.Endpoint)
		add(l.LateRequests > 0, "%s got %d requests more than %v after it began to leave", l.Endpoint, l.LateRequests, leavingGrace)
	}
	add(len(r.Change.Missing) > 0, "revision %d is not in force on %s", r.Change.Revision, strings.Join(r.Change.Missing, ", "))
	add(len(r.Change.Reverted) > 0, "profiles reverted: %s", strings.Join(r.Change.Reverted, ", "))
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
