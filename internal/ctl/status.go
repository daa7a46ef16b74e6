package ctl

import (
	"strings"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/admin"
)

func statusCommand(o *options) *cobra.Command {
	var requireCalm bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show on one screen whether the fleet is calm",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s admin.Status
			if err := o.get(cmd.Context(), admin.StatusPath, &s); err != nil {
				return err
			}
			if err := o.show(s, func(p *page) { statusPage(p, &s) }); err != nil {
				return err
			}
			if requireCalm && !s.Calm {
				return errNotCalm
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&requireCalm, "require-calm", false, "exit with code 4 if there is a concern")
	return cmd
}

func statusPage(p *page, s *admin.Status) {
	entryLines(p, s)
	concernLines(p, s.Concerns)
	p.line("")
	publishedTable(p, s)
	p.line("")
	fleetLines(p, s)
	p.line("")
	trafficLines(p, s)
	if len(s.Refusals) > 0 {
		p.line("")
		refusalTable(p, s.Refusals)
	}
	if len(s.Pools) > 0 {
		p.line("")
		poolTable(p, s.Pools)
	}
	if len(s.Links) > 0 {
		p.line("")
		linkTable(p, s.Links)
	}
}

func entryLines(p *page, s *admin.Status) {
	e := &s.Entry
	ready := "ready"
	if !e.Ready {
		ready = "not ready: " + e.NotReadyWhy
	}
	p.line("%s in %s, %s, %s", e.Name, e.FailureDomain, e.State, ready)
	p.line("up %s, callers at %s, policy %s, clock %s", span(e.Uptime), e.CallerAddress, e.Policy, timestamp(e.Wall))
	p.line("mode %s", modeText(&s.Mode))
}

func modeText(m *admin.ModeView) string {
	text := m.Name
	if m.Close != "" && m.Until != nil {
		text += ", " + m.Close + " until " + timestamp(*m.Until)
	}
	if m.NextClose != "" && m.NextFrom != nil {
		text += ", next " + m.NextClose + " from " + timestamp(*m.NextFrom)
	}
	return text
}

func concernLines(p *page, concerns []admin.Concern) {
	if len(concerns) == 0 {
		p.line("calm: no concerns")
		return
	}
	p.line("")
	rows := make([][]string, len(concerns))
	for i, c := range concerns {
		rows[i] = []string{c.What, c.Clears}
	}
	p.table([]string{"CONCERN", "CLEARS"}, rows)
}

func publishedTable(p *page, s *admin.Status) {
	p.table([]string{"PUBLISHED", "REVISION", "CONFIRMED", "NOTES"}, [][]string{
		publishedRow("profiles", &s.Profiles),
		publishedRow("VM list", &s.VMs),
	})
}

func publishedRow(name string, v *admin.PublishedView) []string {
	confirmed := "by peers only"
	if v.Confirmed {
		confirmed = "by the platform " + age(v.ConfirmedAge) + " ago"
	}
	notes := joinNotes(
		note{v.Wanted > 0, "revision " + number(v.Wanted) + " exists"},
		note{v.Refused > 0, "revision " + number(v.Refused) + " was refused"},
	)
	return []string{name, revision(v.Revision), confirmed, notes}
}

func fleetLines(p *page, s *admin.Status) {
	f, platform := &s.Fleet, &s.Platform
	var revisions []string
	for _, r := range f.Revisions {
		revisions = append(revisions, revision(r.Revision)+" on "+number(r.Entries))
	}
	p.line("entries    %d usable, %d suspected, %d leaving; profiles %s", f.EntriesUsable, f.EntriesSuspected, f.EntriesLeaving,
		strings.Join(revisions, ", "))
	if len(f.Domains) > 1 {
		for _, d := range f.Domains {
			p.line("           %s: %d usable, %d suspected, %d leaving, %d starting", d.FailureDomain, d.Usable, d.Suspected, d.Leaving, d.Starting)
		}
	}
	for _, e := range f.Evacuated {
		p.line("evacuated  %s for %s: %d endpoints get no requests, %d request(s) from this entry still run there", e.FailureDomain, age(e.Age), e.Endpoints, e.Outstanding)
	}
	p.line("endpoints  %d live, %d leaving, %d ejected", f.EndpointsLive, f.EndpointsLeaving, f.EndpointsEjected)
	p.line("readers    %s", strings.Join(f.Readers, ", "))
	readBy := "read by other entries"
	if platform.Reader {
		readBy = "read by this entry"
	}
	text := joinNotes(note{platform.LastError != "", "; last error: " + platform.LastError})
	p.line("platform   %s, %d calls, %d failed, at most %g/s%s", readBy, platform.Calls, platform.Failures, platform.CallsPerSecond, text)
}

func trafficLines(p *page, s *admin.Status) {
	r, k, c := &s.Requests, &s.Keys, &s.Connections
	p.line("requests     %d of %d in flight, %.1f/s; %d done, %d not run, %d unknown of %d", r.InFlight, r.MaxInFlight, r.PerSecond,
		r.Done, r.NotRun, r.Unknown, r.Arrived)
	p.line("             %d retried, %d denied a retry, %d hedged, %d replayed, %d forwarded; %d pauses", r.Retried, r.RetriesDenied,
		r.Hedged, r.Replayed, r.Forwarded, r.Pauses)
	p.line("keys         %d of %d held, %d running, %d of %d answer bytes, epochs %d to %d, %d tables adopted", k.Keys, k.Limit, k.Running,
		k.AnswerBytes, k.MaxAnswerBytes, k.OldestEpoch, k.Epoch, k.Adopted)
	p.line("connections  %d callers, %d endpoints, %d peers in, %d peers out", c.Callers, c.Endpoints, c.PeersIn, c.PeersOut)
}

func refusalTable(p *page, refusals []admin.RefusalView) {
	rows := make([][]string, len(refusals))
	for i, r := range refusals {
		rows[i] = []string{r.Reason, number(r.Count), r.Remedy}
	}
	p.table([]string{"REFUSED", "COUNT", "CALLERS ARE TOLD"}, rows)
}

func poolTable(p *page, pools []admin.PoolView) {
	rows := make([][]string, len(pools))
	for i := range pools {
		v := &pools[i]
		rows[i] = []string{
			v.Pool,
			strings.Join(v.Services, " "),
			number(v.Endpoints) + joinNotes(note{v.Ejected > 0, " (" + number(v.Ejected) + " ejected)"}, note{v.ViewWrong, " (most look unhealthy: none is ejected)"}, note{v.Unreachable, " (none answers: requests are relayed)"}, note{v.Unconnected, " (open connections only)"}, note{v.Short, " (short of room: " + percent(v.Headroom) + " of load probes found headroom)"}),
			number(v.Outstanding) + "/" + number(v.Slots),
			number(v.Waiting) + "/" + number(v.QueueLimit),
			budgetText(&v.HealthProbes),
			budgetText(&v.Retry),
		}
	}
	p.table([]string{"POOL", "SERVICES", "ENDPOINTS", "SLOTS", "QUEUE", "PROBES", "RETRIES"}, rows)
}

func budgetText(b *admin.BudgetView) string {
	return number(b.Spent) + " at " + percent(b.Share) + joinNotes(note{b.Denied > 0, " (" + number(b.Denied) + " denied)"})
}

func linkTable(p *page, links []admin.LinkView) {
	rows := make([][]string, len(links))
	for i := range links {
		v := &links[i]
		rows[i] = []string{v.Peer, v.Address, v.State, age(v.HeardAge), span(v.RTT), number(v.BytesIn), number(v.BytesOut),
			number(v.Messages), number(v.Dropped), v.LastError}
	}
	p.table([]string{"PEER", "ADDRESS", "LINK", "HEARD", "RTT", "IN", "OUT", "SENT", "LOST", "LAST ERROR"}, rows)
}
