package demo

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/audit"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/standin"
)

// passingReport returns the report of a run that violated no guarantee.
func passingReport() *Report {
	return &Report{
		Took: 15 * time.Second,
		Services: []ServiceReport{{
			Service: onceService, Kind: "once-only write", Sent: 3, Done: 2, NotRun: 1,
			P50: 11 * time.Millisecond, P99: 32 * time.Millisecond, Reasons: map[string]int{"queue-full": 1},
		}},
		AddedLatency: AddedLatencyReport{Pairs: 300, DirectP50: 2 * time.Millisecond, DirectP99: 3 * time.Millisecond,
			EntryP50: 2200 * time.Microsecond, EntryP99: 3300 * time.Microsecond},
		Probes:  []ProbeReport{{Pool: onceService, Probes: 2, Spent: 12 * time.Millisecond, SlotTime: 90 * time.Second, Budget: 0.02}},
		Change:  ChangeReport{Revision: 2, InForce: []InForce{{Entry: "entry-1", After: 800 * time.Microsecond}}},
		Leaving: []LeavingReport{{Endpoint: "waste-entries-1", How: "marked in the list", Counted: true}},
		Stop:    StopReport{Entry: "entry-3", Keys: 60, Successors: 2, Took: 12500 * time.Millisecond},
	}
}

func TestReportNamesEachViolation(t *testing.T) {
	if err := passingReport().Check(); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		change    func(r *Report)
		wantError string
	}{
		"ran twice":        {func(r *Report) { r.RanTwice = []string{"w-7"} }, "1 once-only requests ran more than once, first: w-7"},
		"wrong answer":     {func(r *Report) { r.Services[0].Wrong = []string{"another's"} }, "1 wrong answers, first: another's"},
		"false not run":    {func(r *Report) { r.Services[0].FalseNotRun = []string{"w-8"} }, "1 requests ran although they were reported as not run, first: w-8"},
		"nothing answered": {func(r *Report) { r.Services[0].Done = 0 }, "completed no request"},
		"cut off":          {func(r *Report) { r.CutOff = 4 }, "4 answers were cut off"},
		"no keys":          {func(r *Report) { r.Stop.Keys = 0 }, "the planned stop of entry-3 handed over no idempotency key"},
		"cut by the stop":  {func(r *Report) { r.Stop.Cut = 1 }, "the planned stop of entry-3 cut off 1"},
		"over budget":      {func(r *Report) { r.Probes[0].Spent = 2 * time.Second }, "took 2.222% of its slot time, more than the budget of 2.000%"},
		"late requests":    {func(r *Report) { r.Leaving[0].LateRequests = 1 }, "got 1 requests more than 3s"},
		"not counted":      {func(r *Report) { r.Leaving[0].Counted = false }, "were not counted after it began to leave"},
		"not in force":     {func(r *Report) { r.Change.Missing = []string{"entry-2"} }, "revision 2 is not in force on entry-2"},
		"in force late":    {func(r *Report) { r.Change.InForce[0].After = time.Minute }, "took 1m0s"},
		"reverted":         {func(r *Report) { r.Change.Reverted = []string{"entry-1 from 2 to 1"} }, "profiles reverted: entry-1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := passingReport()
			c.change(r)
			var violation *ViolationError
			if err := r.Check(); !errors.As(err, &violation) || len(violation.Violations) != 1 || !strings.Contains(err.Error(), c.wantError) {
				t.Fatalf("error %v; want one violation with %q", err, c.wantError)
			}
			var out strings.Builder
			if r.Print(&out); !strings.Contains(out.String(), "FAILED: ") {
				t.Error("the printed report does not say FAILED")
			}
		})
	}
}

// tally.report compares the reported outcomes with the ledger. Without the comparison, the demo
// would pass although endpoints ran requests that were reported as not run, or never ran requests
// that were reported as done.
func TestTallyComparesOutcomesWithLedger(t *testing.T) {
	e, err := standin.NewEndpoint(standin.EndpointConfig{Name: "e", ServiceTime: standin.Constant(time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Server().Kill)
	call := func(id string) {
		t.Helper()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, e.Server().URL(), nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header = requestHeader(id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	ran := newTally("ran", "read")
	for n, outcome := range []client.Outcome{client.NotRun, client.Done, client.Unknown} {
		id := requestID("ran", n+1)
		ran.countSent()
		if outcome != client.Done {
			call(id)
		}
		ran.add(id, client.Result{Outcome: outcome, Status: 200}, time.Millisecond, nil)
	}
	call(requestID("ran", 3))
	r := ran.report(e.Ledger())
	if len(r.FalseNotRun) != 1 || len(r.Wrong) != 1 || r.Done != 1 || r.NotRun != 1 || r.Unknown != 1 {
		t.Errorf("%+v", r)
	}
	if twice := ran.ranTwice(e.Ledger()); len(twice) != 1 || twice[0] != "ran-3" {
		t.Errorf("ran twice: %q", twice)
	}
}

func TestChangeLogReportsRevisionInForce(t *testing.T) {
	c := newChangeLog()
	start := time.Unix(100, 0)
	add := func(entry string, revision uint64, after time.Duration) {
		c.add(entry, audit.Record{Subject: profilesSubject, Action: inForceAction, Revision: revision, Wall: start.Add(after)})
	}
	c.expect(2, start)
	add("a", 2, time.Second)
	add("b", 2, 2*time.Second)
	add("b", 1, 3*time.Second)
	r := c.report([]string{"a", "b", "c"})
	if len(r.InForce) != 2 || r.InForce[1].After != 2*time.Second || len(r.Missing) != 1 || len(r.Reverted) != 1 {
		t.Errorf("%+v", r)
	}
}

func TestDemoProfileChangeHasEffect(t *testing.T) {
	first, err := profile.Parse(firstProfiles, 1)
	if err != nil {
		t.Fatal(err)
	}
	changed, err := profile.Parse(changedProfiles(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if diff := profile.Diff(first, changed); len(diff) == 0 {
		t.Error("changedProfiles equals firstProfiles")
	}
}
