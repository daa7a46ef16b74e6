package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/standin"
)

// The layout of the tables.
const (
	cellMinWidth = 0
	cellPadding  = 2
)

// Print writes the report as human-readable tables.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "\nrequests in %.1f s\n", r.Took.Seconds())
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "  service\tkind\tsent\tdone\tnot run\tunknown\tretried\tp50\tp99")
		for _, s := range r.Services {
			fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Service, s.Kind, s.Sent, s.Done, s.NotRun, s.Unknown, s.Retried, millis(s.P50), millis(s.P99))
		}
	})
	for _, s := range r.Services {
		for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
			fmt.Fprintf(out, "  %s: %d requests not done, reason %q\n", s.Service, s.Reasons[reason], reason)
		}
	}
	r.printAddedLatency(out)
	r.printProbes(out)
	r.printGuarantees(out)
}

func (r *Report) printAddedLatency(out io.Writer) {
	a := r.AddedLatency
	fmt.Fprintf(out, "\nlatency added by an entry (%d paired calls, %d failed)\n", a.Pairs, a.Failed)
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "  \tp50\tp99")
		fmt.Fprintf(w, "  directly to an endpoint\t%s\t%s\n", millis(a.DirectP50), millis(a.DirectP99))
		fmt.Fprintf(w, "  through an entry\t%s\t%s\n", millis(a.EntryP50), millis(a.EntryP99))
		fmt.Fprintf(w, "  added\t%s\t%s\n", millis(a.EntryP50-a.DirectP50), millis(a.EntryP99-a.DirectP99))
	})
}

func (r *Report) printProbes(out io.Writer) {
	fmt.Fprintln(out, "\nprobes: slot time used, as counted by the endpoints")
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "  pool\tprobes\ttime used\tshare of slot time\tbudget")
		for _, p := range r.Probes {
			fmt.Fprintf(w, "  %s\t%d\t%s\t%.3f%%\t%.3f%%\n", p.Pool, p.Probes, millis(p.Spent), 100*p.share(), 100*p.Budget)
		}
	})
}

func (r *Report) printGuarantees(out io.Writer) {
	fmt.Fprintln(out, "\nguarantees")
	table(out, func(w io.Writer) {
		wrong, falseNotRun := 0, 0
		for _, s := range r.Services {
			wrong += len(s.Wrong)
			falseNotRun += len(s.FalseNotRun)
		}
		line := func(name string, format string, args ...any) {
			fmt.Fprintf(w, "  %s\t%s\n", name, fmt.Sprintf(format, args...))
		}
		line("once-only requests that ran twice", "%d", len(r.RanTwice))
		line("wrong answers", "%d", wrong)
		line("answers cut off", "%d", r.CutOff)
		line(`requests reported as "not run" that ran`, "%d", falseNotRun)
		for _, l := range r.Leaving {
			line(fmt.Sprintf("requests to %s more than %v after it began to leave", l.Endpoint, leavingGrace), "%d (%s)", l.LateRequests, l.How)
		}
		for _, f := range r.Change.InForce {
			line(fmt.Sprintf("revision %d in force on %s", r.Change.Revision, f.Entry), "after %s", millis(f.After))
		}
		line("entries that reverted to older profiles", "%d", len(r.Change.Reverted))
		line("requests cut off by the planned stop of "+r.Stop.Entry, "%d", r.Stop.Cut)
	})
	if err := r.Check(); err != nil {
		fmt.Fprintln(out, "\nFAILED:", err)
		return
	}
	fmt.Fprintln(out, "\nall guarantees were met")
}

func table(out io.Writer, fill func(io.Writer)) {
	w := tabwriter.NewWriter(out, cellMinWidth, 0, cellPadding, ' ', 0)
	fill(w)
	_ = w.Flush()
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
}

// curlExamples returns curl commands that work against the running fleet.
func curlExamples(f *Fleet) string {
	entry := "http://" + f.Seeds()[0]
	return fmt.Sprintf(`
the fleet keeps running; try, and end it with Ctrl-C:

  # which entries to use for a service
  curl -s '%[1]s%[2]s?service=%[3]s&caller=me&domain=domain-a'

  # a read
  curl -si -H '%[4]s: %[3]s' '%[1]s/trays?%[7]s=hello'

  # a write that runs once: make a key, send it as often as you like
  KEY=$(curl -s '%[1]s%[2]s?service=%[5]s&caller=me' | sed 's/.*"key_prefix":"\([^"]*\)".*/\1/')$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  curl -si -X POST -d '12 kg' -H '%[4]s: %[5]s' -H 'Tealhall-Caller: me' -H "Idempotency-Key: $KEY" '%[1]s/entries?%[7]s=w1'

  # an upload
  head -c 1000000 /dev/zero | curl -si -T - -H '%[4]s: %[6]s' '%[1]s/photos/1?%[7]s=p1'
`, entry, contract.EntriesPath, readService, contract.HeaderService, onceService, uploadService, standin.IDParameter)
}
