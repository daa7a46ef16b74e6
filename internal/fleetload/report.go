package fleetload

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// The targets for the cost of the control plane at each entry, set by the project's owners: the
// share of a core, the memory in bytes, the bytes a second to and from peers, and the seconds until
// a document is in force at every entry.
const (
	targetProcessor      = 0.013
	targetMemory         = 64 << 20
	targetBytesPerSecond = 20_000
	targetInForceSeconds = 13.0
)

// segmentHeaderBytes is the size of the headers of one TCP segment.
const segmentHeaderBytes = 52

// table is a printed table with a title.
type table struct {
	title string
	head  []string
	rows  [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// tables returns the tables that both Print and Markdown write.
func (r *Result) tables() []table {
	return []table{r.costTable(), r.platformTable(), r.propagationTable(), r.callTable(), r.slopeTable()}
}

func (r *Result) costTable() table {
	t := table{
		title: "Control of an idle fleet, per entry",
		head: []string{"entries", "endpoints", "regions", "services", "% of a core", "heap KB", "stacks KB",
			"updates/s", "stream B/s out", "in", "most out", "segments/s"},
	}
	for _, f := range r.Fleets {
		i := f.Idle
		t.add(sizeCells(f, formatNumber(100*i.Processor, 2), formatNumber(i.Heap/1024, 0), formatNumber(i.Stacks/1024, 0),
			formatNumber(i.Updates, 1), formatNumber(i.BytesOut, 0), formatNumber(i.BytesIn, 0), formatNumber(i.MaxBytesOut, 0), formatNumber(i.Segments, 0))...)
	}
	return t
}

func (r *Result) platformTable() table {
	t := table{
		title: "The configuration service, all entries together",
		head:  []string{"entries", "endpoints", "regions", "services", "calls/s", "watches waiting", "readers", "ready after s"},
	}
	for _, f := range r.Fleets {
		platformCalls := "–"
		if r.platformCallsCounted {
			platformCalls = formatNumber(f.Idle.PlatformCalls, 1)
		}
		t.add(sizeCells(f, platformCalls, fmt.Sprint(f.Idle.PlatformWatches), fmt.Sprint(f.Idle.Readers), formatNumber(f.Ready, 1))...)
	}
	return t
}

// sizeCells returns a row that starts with the size of a fleet.
func sizeCells(f FleetResult, more ...string) []string {
	return append([]string{fmt.Sprint(f.Size.Entries), fmt.Sprint(f.Size.Endpoints), fmt.Sprint(f.Size.Regions), fmt.Sprint(f.Services)}, more...)
}

func (r *Result) propagationTable() table {
	t := table{
		title: "Seconds until every entry knows a change: median of the last entry (longest)",
		head:  []string{"entries", "endpoints", "regions", "services", "published", "service slow", "one reader reaches it", "one other reaches it", "endpoint leaves"},
	}
	for _, f := range r.Fleets {
		p := f.Propagations
		t.add(sizeCells(f, p.Published.cell(), p.Slow.cell(), p.OneReader.cell(), p.OneNonReader.cell(), p.Leaving.cell())...)
	}
	return t
}

func (p Propagation) cell() string {
	switch {
	case p.Tries == 0:
		return "–"
	case p.Missing > 0:
		return fmt.Sprintf("%d missing after %s", p.Missing, propagationTimeout)
	}
	return fmt.Sprintf("%.2f (%.2f)", p.Last, p.Worst)
}

func (r *Result) callTable() table {
	t := table{
		title: "Calls: processor time of the entry for one call, and time added at the highest rate",
		head: []string{"entries", "endpoints", "keys", "through us/call", "direct us/call", "entry us/call", "R2",
			"calls/s", "direct p50/p99 us", "added p50/p99 us"},
	}
	for _, c := range r.Calls {
		last, direct := c.ViaEntries[len(c.ViaEntries)-1], c.Direct[len(c.Direct)-1]
		t.add(fmt.Sprint(c.Size.Entries), fmt.Sprint(c.Size.Endpoints), yesNo(c.Keyed),
			formatNumber(1e6*c.ViaEntriesLine.Slope, 0), formatNumber(1e6*c.DirectLine.Slope, 0), formatNumber(c.PerCall, 0), formatNumber(c.ViaEntriesLine.R2, 3),
			formatNumber(last.Rate, 0), fmt.Sprintf("%.0f / %.0f", direct.P50, direct.P99), fmt.Sprintf("%.0f / %.0f", c.AddedP50, c.AddedP99))
	}
	return t
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (r *Result) slopeTable() table {
	t := table{title: "Slopes, per entry", head: []string{"what", "over", "at 0", "slope", "R2"}}
	line := func(what, over string, l Line, scale float64, digits int) {
		t.add(what, over, formatNumber(l.At0*scale, digits), formatNumber(l.Slope*scale, digits), formatNumber(l.R2, 2))
	}
	for _, s := range []struct {
		over   string
		series Series
	}{
		{fmt.Sprintf("entries, with %d endpoints", r.EntriesEndpoints), r.Slopes.ByEntry},
		{fmt.Sprintf("endpoints, with %d entries", r.EndpointsEntries), r.Slopes.ByEndpoint},
	} {
		line("% of a core", s.over, s.series.Processor, 100, 4)
		line("memory KB", s.over, s.series.Memory, 1.0/1024, 2)
		line("stream B/s out", s.over, s.series.BytesOut, 1, 2)
		line("in force s", s.over, s.series.InForce, 1, 4)
		if r.platformCallsCounted {
			line("fleet's calls/s at the service", s.over, s.series.PlatformCalls, 1, 3)
		}
	}
	line("memory KB", "idle callers' connections", r.ConnectionMemory.Connection, 1.0/1024, 2)
	line("memory KB", "waiting requests, connection included", r.ConnectionMemory.Request, 1.0/1024, 2)
	return t
}

func formatNumber(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }

// targetChecks compares the last fleet, which is the largest, with the targets.
func (r *Result) targetChecks() []string {
	if len(r.Fleets) == 0 {
		return nil
	}
	f := r.Fleets[len(r.Fleets)-1]
	i := f.Idle
	segments := i.BytesOut + i.BytesIn + 2*segmentHeaderBytes*i.Segments
	return []string{
		targetCheck("processor, % of a core", 100*i.Processor, 100*targetProcessor),
		targetCheck("heap and stacks, MB", (i.Heap+i.Stacks)/(1<<20), targetMemory>>20),
		targetCheck("streams to and from peers, B/s", i.BytesOut+i.BytesIn, targetBytesPerSecond),
		targetCheck("the same with the headers of all segments, B/s", segments, targetBytesPerSecond),
		targetCheck("in force everywhere, s (longest)", f.Propagations.Published.Worst, targetInForceSeconds),
	}
}

func targetCheck(name string, measured, target float64) string {
	result := "within"
	if measured > target {
		result = "BREAKS"
	}
	return fmt.Sprintf("%s: %.2f, target %.2f: %s", name, measured, target, result)
}

// header describes the machine, its load and the duration of the run.
func (r *Result) header() string {
	m := r.Machine
	return fmt.Sprintf("%s, %d cores, %d of them used, %s; load average %s before and %s after; took %s",
		m.Processor, m.Cores, m.Procs, m.Go, m.LoadBefore, m.LoadAfter, r.Took.Round(time.Second))
}

// Print writes the tables as aligned text.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintln(w, r.header())
	for _, t := range r.tables() {
		fmt.Fprintf(w, "\n%s\n", t.title)
		columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		for _, row := range append([][]string{t.head}, t.rows...) {
			fmt.Fprintln(columns, strings.Join(row, "\t")+"\t")
		}
		_ = columns.Flush()
	}
	fmt.Fprintln(w, "\nThe last fleet against the target")
	for _, check := range r.targetChecks() {
		fmt.Fprintln(w, "  "+check)
	}
}

// Markdown writes the tables as Markdown.
func (r *Result) Markdown(w io.Writer) {
	fmt.Fprintf(w, "%s.\n", r.header())
	for _, t := range r.tables() {
		fmt.Fprintf(w, "\n### %s\n\n%s%s", t.title, markdownRow(t.head), strings.Repeat("| --- ", len(t.head))+"|\n")
		for _, row := range t.rows {
			fmt.Fprint(w, markdownRow(row))
		}
	}
	fmt.Fprint(w, "\n### The last fleet against the target\n\n")
	for _, check := range r.targetChecks() {
		fmt.Fprintf(w, "- %s\n", check)
	}
}

func markdownRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |\n" }
