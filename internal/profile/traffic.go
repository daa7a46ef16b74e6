package profile

import (
	"fmt"
	"slices"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/route"
)

// TrafficRule assigns a profile to routes of one kind.
type TrafficRule struct {
	Name string
	Kind route.Kind
	// Rank restricts the rule to routes of that rank if HasRank is set. A rule with a rank takes
	// precedence over one without.
	Rank    int
	HasRank bool
	Profile string
}

// The bounds of a policy's priority. Routes are ranked in the opposite order: rank 0, the highest,
// gets highestPriority, each further rank one less, and ranks of 9 and more get lowestPriority.
const (
	lowestPriority  = 0
	highestPriority = 9
)

// profileKindsFor lists the kinds of profiles that each kind of route may use. The route determines
// whether its requests may be repeated, and the profile must not allow more.
var profileKindsFor = map[route.Kind][]Kind{
	route.Idempotent:    {Read, Urgent},
	route.NonIdempotent: {Once},
	route.Upload:        {Bulk, Once},
	route.Download:      {Read, Urgent},
}

// kindsRemedy lists the kinds of routes.
const kindsRemedy = `use "idempotent", "non_idempotent", "upload" or "download"`

// readTraffic reads the rules that assign profiles to routes.
func (c *checker) readTraffic(root section, profiles map[string]*profileModes, s *Snapshot) {
	tables, _ := c.readTable(root, "traffic")
	for _, name := range tables.keys() {
		c.checkName(tables.child(name), name)
		table, ok := c.readTable(tables, name)
		if !ok {
			continue
		}
		if rule, ok := c.readTrafficRule(table, name, profiles); ok {
			s.traffic = append(s.traffic, rule)
		}
	}
	for _, kind := range route.Kinds() {
		if len(s.traffic) == 0 || s.ownTrafficRuleFor(kind, lowestPriority) != nil {
			continue
		}
		problem, remedy := fmt.Sprintf("no rule covers routes of kind %q of every priority", kind), "add a rule for the kind without a priority"
		if substitute, ok := substituteKind[kind]; ok {
			c.warn("traffic", fmt.Sprintf("%s; they are treated like %s routes", problem, substitute), remedy)
			continue
		}
		c.report("traffic", problem, remedy)
	}
}

// substituteKind names the kind whose rules apply to routes of a kind without a rule. Documents that
// were written before the kind existed stay valid.
var substituteKind = map[route.Kind]route.Kind{route.Download: route.Idempotent}

func (c *checker) readTrafficRule(table section, name string, profiles map[string]*profileModes) (TrafficRule, bool) {
	c.reportUnknownKeys(table, []string{"kind", "priority", "profile"})
	rule := TrafficRule{Name: name}
	kind, ok := c.readString(table, "kind", kindsRemedy)
	if !ok {
		return rule, false
	}
	rule.Kind = route.Kind(kind)
	if !slices.Contains(route.Kinds(), rule.Kind) {
		c.report(table.child("kind"), "there is no such kind of route", kindsRemedy)
		return rule, false
	}
	if value, given := table.values["priority"]; given {
		n, whole := value.(int64)
		if !whole || n < 0 {
			c.report(table.child("priority"), "the value is not a rank", "write a whole number from 0, the highest rank")
			return rule, false
		}
		rule.Rank, rule.HasRank = int(n), true
	}
	if rule.Profile, ok = c.readString(table, "profile", "name one of the document's profiles"); !ok {
		return rule, false
	}
	m, ok := profiles[rule.Profile]
	if !ok {
		c.report(table.child("profile"), fmt.Sprintf("there is no profile %.*q", maxPrintedValue, rule.Profile),
			"add it, or name one of the document's profiles")
		return rule, false
	}
	m.used = true
	if !slices.Contains(profileKindsFor[rule.Kind], m.ordinary.Kind) {
		c.report(table.child("profile"), fmt.Sprintf("profile %s is of kind %s, which does not suit %s routes", rule.Profile, m.ordinary.Kind, rule.Kind),
			fmt.Sprintf("name a profile of kind %v", profileKindsFor[rule.Kind]))
		return rule, false
	}
	return rule, true
}

// trafficRuleFor returns the rule for routes of the given kind and rank, or nil if there is none.
func (s *Snapshot) trafficRuleFor(kind route.Kind, rank int) *TrafficRule {
	if rule := s.ownTrafficRuleFor(kind, rank); rule != nil {
		return rule
	}
	if substitute, ok := substituteKind[kind]; ok {
		return s.ownTrafficRuleFor(substitute, rank)
	}
	return nil
}

// ownTrafficRuleFor is trafficRuleFor without the rules of other kinds.
func (s *Snapshot) ownTrafficRuleFor(kind route.Kind, rank int) *TrafficRule {
	var found *TrafficRule
	for i := range s.traffic {
		rule := &s.traffic[i]
		if rule.Kind != kind || rule.HasRank && rule.Rank != rank {
			continue
		}
		if found == nil || rule.HasRank && !found.HasRank {
			found = rule
		}
	}
	return found
}

// Bind returns a snapshot of the given revision whose services are those of the routes in table,
// each with the profile that the traffic rules of s assign. The route's own timeout, latency
// objective, rank and attempts replace those of the profile; a route without a timeout keeps the
// profile's deadline. The calendar is that of s.
func (s *Snapshot) Bind(table *route.Table, revision, digest uint64) (*Snapshot, error) {
	bound := *s
	bound.revision, bound.digest = revision, digest
	bound.table = table
	bound.services, bound.byName, bound.pools = nil, map[string]*Service{}, nil
	services := make(map[string]route.Service, len(table.Services()))
	for _, service := range table.Services() {
		services[service.Name] = service
	}
	for i := range table.Routes() {
		r := &table.Routes()[i]
		rule := s.trafficRuleFor(r.Kind, r.Rank)
		if rule == nil {
			return nil, fault.New(fault.BadProfile, "add a [traffic] rule for the kind to the profiles", "no traffic rule applies to %s routes such as %q", r.Kind, r.Name)
		}
		for _, part := range r.Parts {
			bound.addPart(r, part, services[part.Service], rule.Profile, s.modes[rule.Profile])
		}
	}
	slices.SortFunc(bound.services, func(a, b *Service) int { return compareNames(a, b) })
	bound.compilePools()
	return &bound, nil
}

func compareNames(a, b *Service) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// PartName returns the name of the service that represents one part of a route.
func PartName(r *route.Route, part route.Part) string {
	if len(r.Parts) == 1 {
		return r.Name
	}
	return r.Name + "/" + part.Service
}

func (s *Snapshot) addPart(r *route.Route, part route.Part, routeService route.Service, profileName string, m *profileModes) {
	service := &Service{
		Name:      PartName(r, part),
		Pool:      part.Service,
		Profile:   profileName,
		Ordinary:  policyForRoute(m.ordinary, r, s.table.Limits()),
		Close:     policyForRoute(m.closing, r, s.table.Limits()),
		ProbePath: routeService.ProbePath,
		Warmup:    Warmup{For: routeService.Warmup.Duration(), PerSecond: routeService.WarmupRate},
	}
	s.services = append(s.services, service)
	s.byName[service.Name] = service
}

// policyForRoute returns the profile's policy with the route's own settings applied.
func policyForRoute(p Policy, r *route.Route, limits route.Limits) Policy {
	if r.Timeout > 0 {
		p.Deadline = r.Timeout.Duration()
	}
	p.Objective = r.Objective.Duration()
	p.Priority = max(highestPriority-r.Rank, lowestPriority)
	p.MaxAttempts = r.MaxAttempts
	p.RequireKey = false
	if limits.BodyBytes > 0 {
		p.MaxBodyBytes = limits.BodyBytes
	}
	return p
}

// Routes returns the route table from which Bind created the services, or nil if the services are
// those of the document.
func (s *Snapshot) Routes() *route.Table { return s.table }
