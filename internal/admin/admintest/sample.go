// Package admintest provides a fake entry for tests of the admin interface and of the command-line
// tool.
package admintest

import (
	"time"

	"github.com/tealhall/tealhall/internal/admin"
)

// Sample is an admin.Source with fixed answers: an entry during a close, with one ejected endpoint
// and a peer that has an older revision.
type Sample struct {
	// NotReady is the reason why the entry is not ready, "" if it is ready.
	NotReady string
}

// Wall is the wall-clock time of the sample.
var Wall = time.Date(2026, 1, 31, 23, 59, 0, 0, time.UTC)

// Ready implements admin.Source.
func (s Sample) Ready() (bool, string) { return s.NotReady == "", s.NotReady }

// Status implements admin.Source.
func (s Sample) Status() admin.Status {
	until := Wall.Add(6 * time.Hour)
	return admin.Status{
		Calm: false,
		Concerns: []admin.Concern{
			{What: "endpoint waste-2 is ejected", Clears: "by itself, when trial requests succeed"},
			{What: "entry entry-3 has revision 41 of the profiles, 42 exists", Clears: "by itself, within seconds of its return"},
		},
		Entry: admin.Identity{Name: "entry-1", Incarnation: 0x6980000012345678, Region: "mx", FailureDomain: "mx-a",
			CallerAddress: "10.0.0.1:8080", State: "serving", Ready: s.NotReady == "", NotReadyWhy: s.NotReady,
			Uptime: 90061, Wall: Wall, Policy: "p2c-reports"},
		Mode:     admin.ModeView{Name: "close", Close: "january", Until: &until},
		Profiles: admin.PublishedView{Revision: 42, Digest: 7, Refused: 43, Confirmed: true, ConfirmedAge: 2.5},
		VMs:      admin.PublishedView{Revision: 900, Digest: 8, Confirmed: false},
		Platform: admin.PlatformView{Reader: true, Calls: 1200, Failures: 3, CallsPerSecond: 5, LastError: "the platform did not answer"},
		Fleet: admin.FleetView{
			Domains:       []admin.DomainCount{{FailureDomain: "a", Usable: 2}, {FailureDomain: "b", Suspected: 1}},
			EntriesUsable: 2, EntriesSuspected: 1, EndpointsLive: 3, EndpointsLeaving: 1, EndpointsEjected: 1,
			Evacuated: []admin.EvacuationView{{FailureDomain: "b", Age: 42, Endpoints: 2, Outstanding: 1}},
			Readers:   []string{"entry-1"}, Revisions: []admin.RevisionCount{{Revision: 42, Entries: 2}, {Revision: 41, Entries: 1}}},
		Requests: admin.RequestsView{InFlight: 3, MaxInFlight: 20000, PerSecond: 412.5, Arrived: 100000, Done: 99900, NotRun: 99,
			Unknown: 1, Retried: 40, Hedged: 7, Replayed: 2, Forwarded: 11, RetriesDenied: 1},
		Refusals: []admin.RefusalView{{Reason: "queue-full", Count: 90, Remedy: "come back after Retry-After"},
			{Reason: "key-required", Count: 9, Remedy: "send an Idempotency-Key"}},
		Pools: []admin.PoolView{{Pool: "waste", Services: []string{"waste-entries"}, Slots: 6, Outstanding: 3, Waiting: 1, QueueLimit: 64,
			Ejected: 1, Endpoints: 3, HealthProbes: admin.BudgetView{Share: 0.01, Spent: 55, Denied: 1, Left: 0.5},
			Retry: admin.BudgetView{Share: 0.1, Spent: 47, Denied: 1, Left: 12}}},
		Keys:        admin.KeysView{Keys: 812, Limit: 100000, Running: 3, AnswerBytes: 65536, MaxAnswerBytes: 16 << 20, Epoch: 40, OldestEpoch: 11, Adopted: 1},
		Connections: admin.ConnectionsView{Callers: 120, Endpoints: 9, PeersIn: 2, PeersOut: 2},
		Links: []admin.LinkView{
			{Peer: "entry-2", Address: "10.0.0.2:7070", State: "open", HeardAge: 0.2, RTT: 0.0005, BytesIn: 5000, BytesOut: 6000, Messages: 44},
			{Address: "10.0.0.3:7070", State: "waiting", HeardAge: -1, Dropped: 5, LastError: "the link to 10.0.0.3:7070 failed"}},
	}
}

// Entries implements admin.Source.
func (Sample) Entries() []admin.EntryView {
	return []admin.EntryView{
		{Name: "entry-1", Incarnation: 0x6980000012345678, Region: "mx", FailureDomain: "mx-a", CallerAddress: "10.0.0.1:8080",
			PeerAddress: "10.0.0.1:7070", Self: true, State: "serving", Reader: true, Profiles: 42, VMs: 900, Rate: 412},
		{Name: "entry-3", Incarnation: 0x6980000000000003, Region: "mx", FailureDomain: "mx-b", CallerAddress: "10.0.0.3:8080",
			PeerAddress: "10.0.0.3:7070", State: "serving", Suspected: true, Missing: true, Profiles: 41, VMs: 890, Rate: 0, HeardAge: 31},
	}
}

// Endpoints implements admin.Source.
func (Sample) Endpoints() []admin.EndpointView {
	return []admin.EndpointView{
		{Name: "waste-1", Pool: "waste", Address: "10.0.1.1:80", Region: "mx", FailureDomain: "mx-a", State: "live", Quota: "granted", Slots: 2,
			Outstanding: 1, Foreign: 1, LoadReportAge: 0.04, Connections: 3, Latency: 0.012, Slowness: 1, SlowStart: 1},
		{Name: "waste-2", Pool: "waste", Address: "10.0.1.2:80", Region: "mx", FailureDomain: "mx-b", State: "live", Quota: "cold-elsewhere", Slots: 2,
			LoadReportAge: -1, Latency: 0.09, Slowness: 6.5, FailureRate: 0.4, SlowStart: 1,
			Ejection: &admin.EjectionView{Why: "40 % of its answers failed", Remaining: 12, TrialIn: 3, Consecutive: 2, Clears: "three trial requests that succeed"}},
		{Name: "waste-3", Pool: "waste", Address: "10.0.1.3:80", Region: "mx", FailureDomain: "mx-c", State: "leaving", Quota: "leaving", Missing: true,
			Slots: 2, Outstanding: 2, LoadReportAge: 1, Latency: 0.013, Slowness: 1.1, SlowStart: 1},
	}
}

// Routes implements admin.Source.
func (Sample) Routes() []admin.RouteView {
	return []admin.RouteView{
		{Route: "r-1", Host: "waste.example", Prefix: "/entries/", Kind: "non_idempotent", Priority: 1, Objective: 0.4, Timeout: 1.5, MaxAttempts: 2,
			Parts: []admin.RoutePartView{{Service: "waste", Share: 0.9, Profile: "writes"}, {Service: "archive", Share: 0.1, Profile: "writes"}}},
		{Route: "r-2", Host: "waste.example", Prefix: "/", Kind: "idempotent", Timeout: 1, MaxAttempts: 3,
			Parts: []admin.RoutePartView{{Service: "waste", Share: 1, Profile: "reads"}}},
	}
}

// Profiles implements admin.Source.
func (s Sample) Profiles() admin.ProfilesView {
	status := s.Status()
	return admin.ProfilesView{
		Published: status.Profiles,
		Mode:      status.Mode,
		TimeZone:  "America/Mexico_City",
		Services: []admin.ServiceView{{Service: "waste-entries", Profile: "waste", Pool: "waste", Kind: "once", Deadline: 5, QueueLimit: 64,
			Priority: 7, SlotShare: 0.8, RetryBudget: 0.1, ProbeBudget: 0.01, KeyRequired: true}},
		Closes:   []admin.CloseView{{Name: "january", From: Wall.Add(-18 * time.Hour), To: Wall.Add(6 * time.Hour)}},
		Warnings: []string{"line 9: profiles.waste.hedge_after: no effect; remove it"},
		Text:     "version = 1\n",
	}
}
