package demo

import (
	"time"

	"github.com/tealhall/tealhall/internal/profile"
)

// report returns the report of the session. All requests must have ended.
func (s *session) report() *Report {
	r := &Report{
		Took:         time.Since(s.began),
		AddedLatency: s.pairs.report(),
		Change:       s.changes.report(s.fleet.names),
		Stop:         s.stop,
		CutOff:       s.transport.count(),
	}
	for _, t := range s.tallies {
		r.Services = append(r.Services, t.report(s.fleet.Ledger))
		if t.service == onceService {
			r.RanTwice = append(t.ranTwice(s.fleet.Ledger), s.fleet.Ledger.RanTwice()...)
		}
	}
	for _, counter := range s.lateRequests {
		r.Leaving = append(r.Leaving, counter.report())
	}
	r.Probes = s.fleet.ProbeReports()
	return r
}

// ProbeReports returns, for each pool, the slot time that probes have used since the fleet started,
// as counted by the endpoints.
func (f *Fleet) ProbeReports() []ProbeReport {
	elapsed := time.Since(f.startedAt)
	budgets := f.probeBudgets()
	var out []ProbeReport
	for _, p := range f.cfg.Pools {
		r := ProbeReport{Pool: p.Name, Budget: budgets[p.Name]}
		for _, e := range f.endpointsOf(p.Name) {
			stats := e.Stats()
			r.Probes += stats.Probes
			r.Spent += stats.ProbeSlotTime
			r.SlotTime += time.Duration(e.VM.Slots) * elapsed
		}
		out = append(out, r)
	}
	return out
}

// probeBudgets returns, for each pool, the smallest probe budget of the pool's services.
func (f *Fleet) probeBudgets() map[string]float64 {
	budgets := make(map[string]float64)
	snapshot, err := profile.Parse(f.cfg.Profiles, 1)
	if err != nil {
		return budgets
	}
	for _, service := range snapshot.Services() {
		budget := service.Policy(false).ProbeBudget
		if known, ok := budgets[service.Pool]; !ok || budget < known {
			budgets[service.Pool] = budget
		}
	}
	return budgets
}
