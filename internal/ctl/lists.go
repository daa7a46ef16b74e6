package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/admin"
)

func entriesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "entries",
		Short: "List the entries, with the revisions in force on each",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return list(cmd.Context(), o, admin.EntriesPath, entriesPage)
		},
	}
}

func endpointsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "endpoints",
		Short: "List the endpoints, with load, health and why one is ejected",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return list(cmd.Context(), o, admin.EndpointsPath, endpointsPage)
		},
	}
}

func routesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "routes",
		Short: "List the routes in force on an entry, and how each is treated",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return list(cmd.Context(), o, admin.RoutesPath, routesPage)
		},
	}
}

func metricsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "metrics",
		Short: "List the metrics of an entry",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return list(cmd.Context(), o, admin.MetricsPath, metricsPage)
		},
	}
}

// list requests a list from the admin interface and shows it.
func list[T any](ctx context.Context, o *options, path string, render func(*page, []T)) error {
	var rows []T
	if err := o.get(ctx, path, &rows); err != nil {
		return err
	}
	return o.show(rows, func(p *page) { render(p, rows) })
}

// reportedRevision renders a revision that an entry reports as its own. In a large fleet, the
// answering entry receives the revisions of its neighbours only, so 0 means "none" only for the
// answering entry itself.
func reportedRevision(v *admin.EntryView, n uint64) string {
	if n == 0 && !v.Self {
		return "not reported"
	}
	return revision(n)
}

func entriesPage(p *page, entries []admin.EntryView) {
	rows := make([][]string, len(entries))
	for i := range entries {
		v := &entries[i]
		heard := age(v.HeardAge)
		if v.Self {
			heard = "self"
		}
		rows[i] = []string{v.Name, v.FailureDomain, v.CallerAddress, v.State, reportedRevision(v, v.Profiles), reportedRevision(v, v.VMs),
			number(v.Rate) + "/s", heard,
			joinNotes(note{v.Reader, "reader"}, note{v.Suspected, "suspected"}, note{v.Missing, "not in the platform's list"})}
	}
	p.table([]string{"ENTRY", "FAILURE DOMAIN", "CALLERS AT", "STATE", "PROFILES", "VM LIST", "RATE", "HEARD", "NOTES"}, rows)
}

func routesPage(p *page, routes []admin.RouteView) {
	rows := make([][]string, len(routes))
	for i := range routes {
		v := &routes[i]
		parts := make([]string, len(v.Parts))
		for j, part := range v.Parts {
			parts[j] = fmt.Sprintf("%s %s (%s)", percent(part.Share), part.Service, part.Profile)
		}
		rows[i] = []string{v.Route, v.Host, v.Prefix, v.Kind, number(v.Priority), span(v.Objective), span(v.Timeout),
			number(v.MaxAttempts), strings.Join(parts, ", ")}
	}
	p.table([]string{"ROUTE", "HOST", "PREFIX", "KIND", "PRIORITY", "OBJECTIVE", "TIMEOUT", "ATTEMPTS", "TO"}, rows)
}

func endpointsPage(p *page, endpoints []admin.EndpointView) {
	rows := make([][]string, len(endpoints))
	for i := range endpoints {
		v := &endpoints[i]
		rows[i] = []string{v.Pool, v.Name, v.FailureDomain, v.Address, v.State,
			fmt.Sprintf("%d+%d/%d", v.Outstanding, v.Foreign, v.Slots), age(v.LoadReportAge), span(v.Latency),
			fmt.Sprintf("%.2g", v.Slowness), percent(v.FailureRate), number(v.Connections), endpointNotes(v)}
	}
	p.table([]string{"POOL", "ENDPOINT", "FAILURE DOMAIN", "ADDRESS", "STATE", "OWN+OTHERS/SLOTS", "SEEN", "LATENCY", "SLOWNESS",
		"FAILURES", "CONNS", "NOTES"}, rows)
}

func endpointNotes(v *admin.EndpointView) string {
	notes := joinNotes(
		note{v.Missing, "not in the platform's list"},
		note{v.Quota != "granted" && v.Quota != v.State, v.Quota},
		note{v.SlowStart < 1, "slow start at " + percent(v.SlowStart)},
	)
	if v.Ejection == nil {
		return notes
	}
	e := v.Ejection
	ejected := fmt.Sprintf("ejected for %s (%d in a row): %s; clears by %s, next in %s", span(e.Remaining), e.Consecutive, e.Why, e.Clears, span(e.TrialIn))
	return strings.TrimPrefix(notes+", "+ejected, ", ")
}

func metricsPage(p *page, views []admin.MetricView) {
	rows := make([][]string, len(views))
	for i, v := range views {
		var values []string
		for _, key := range slices.Sorted(maps.Keys(v.Values)) {
			values = append(values, fmt.Sprintf("%s=%.6g", key, v.Values[key]))
		}
		rows[i] = []string{v.Name, strings.Join(values, " ")}
	}
	p.table([]string{"METRIC", "VALUES"}, rows)
}

func profilesCommand(o *options) *cobra.Command {
	var text bool
	cmd := &cobra.Command{
		Use:   "profiles",
		Short: "Show the profiles in force on an entry",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var v admin.ProfilesView
			if err := o.get(cmd.Context(), admin.ProfilesPath, &v); err != nil {
				return err
			}
			if text {
				_, err := fmt.Fprint(o.out, v.Text)
				return err
			}
			return o.show(v, func(p *page) { profilesPage(p, &v) })
		},
	}
	cmd.Flags().BoolVar(&text, "text", false, "print the document as it was published")
	return cmd
}

func profilesPage(p *page, v *admin.ProfilesView) {
	p.line("revision %s, mode %s", revision(v.Published.Revision), modeText(&v.Mode))
	for _, c := range v.Closes {
		p.line("close %s from %s to %s", c.Name, timestamp(c.From), timestamp(c.To))
	}
	for _, warning := range v.Warnings {
		p.line("warning: %s", warning)
	}
	p.line("")
	rows := make([][]string, len(v.Services))
	for i := range v.Services {
		s := &v.Services[i]
		rows[i] = []string{s.Service, s.Profile, s.Pool, s.Kind, span(s.Deadline), number(s.QueueLimit), number(s.Priority),
			percent(s.SlotShare), percent(s.RetryBudget), percent(s.ProbeBudget), joinNotes(note{s.KeyRequired, "key required"})}
	}
	p.table([]string{"SERVICE", "PROFILE", "POOL", "KIND", "DEADLINE", "QUEUE", "PRIORITY", "SLOTS", "RETRIES", "PROBES", "NOTES"}, rows)
}
