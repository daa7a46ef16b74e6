package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Report says what a run injected, and what it checked how often.
type Report struct {
	Config Config
	// Injected and Skipped count the faults by kind; those skipped had a target that was still
	// occupied.
	Injected, Skipped map[Kind]int
	// Requests counts the requests by service.
	Requests map[string]int
	Results  map[Promise]Result
}

// shownViolations is how many violations of a promise are printed.
const shownViolations = 5

// Violations counts the violations of all promises.
func (r *Report) Violations() (n int) {
	for _, result := range r.Results {
		n += len(result.Violations)
	}
	return n
}

// Print prints the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %d entries, %d endpoints, faults for %v; requests:", r.Config.Seed, r.Config.Entries, r.Config.Endpoints, r.Config.Length)
	for _, service := range slices.Sorted(maps.Keys(r.Requests)) {
		fmt.Fprintf(w, " %s %d", service, r.Requests[service])
	}
	fmt.Fprint(w, "\ninjected:")
	for _, kind := range slices.Sorted(maps.Keys(r.Injected)) {
		fmt.Fprintf(w, " %s %d", kind, r.Injected[kind])
	}
	fmt.Fprint(w, "\nleft out:")
	for _, kind := range slices.Sorted(maps.Keys(r.Skipped)) {
		fmt.Fprintf(w, " %s %d", kind, r.Skipped[kind])
	}
	fmt.Fprintln(w)
	for _, p := range Promises {
		result := r.Results[p]
		fmt.Fprintf(w, "%-52s checked %6d  violated %d\n", p, result.Checked, len(result.Violations))
		for _, v := range result.Violations[:min(shownViolations, len(result.Violations))] {
			fmt.Fprintln(w, "   ", v)
		}
	}
}
