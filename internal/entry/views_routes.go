package entry

import (
	"cmp"
	"slices"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/route"
)

// Routes implements admin.Source.
func (e *Entry) Routes() []admin.RouteView {
	views := []admin.RouteView{}
	s := e.gatherFacts().view.Snapshot
	if s == nil || s.Routes() == nil {
		return views
	}
	for i := range s.Routes().Routes() {
		views = append(views, routeView(s, &s.Routes().Routes()[i]))
	}
	slices.SortFunc(views, func(a, b admin.RouteView) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return views
}

func routeView(s *profile.Snapshot, r *route.Route) admin.RouteView {
	v := admin.RouteView{
		Route: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), Priority: r.Rank,
		Objective: r.Objective.Duration().Seconds(), Timeout: r.Timeout.Duration().Seconds(), MaxAttempts: r.MaxAttempts,
	}
	totalWeight := 0.0
	for _, part := range r.Parts {
		totalWeight += part.Weight
	}
	for _, part := range r.Parts {
		view := admin.RoutePartView{Service: part.Service, Share: part.Weight / totalWeight}
		if service, known := s.Service(profile.PartName(r, part)); known {
			view.Profile = service.Profile
		}
		v.Parts = append(v.Parts, view)
	}
	return v
}
