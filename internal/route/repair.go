package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// maxProblems bounds how many problems are named.
const maxProblems = 8

// problems collects what was set right or left out.
type problems struct {
	count int
	texts []string
}

func (p *problems) add(format string, args ...any) {
	p.count++
	if len(p.texts) < maxProblems {
		p.texts = append(p.texts, fmt.Sprintf(format, args...))
	}
}

// list returns the problems, with how many more there are.
func (p *problems) list() []string {
	if more := p.count - len(p.texts); more > 0 {
		return append(slices.Clone(p.texts), fmt.Sprintf("and %d more", more))
	}
	return p.texts
}

// usableServices returns the usable services, sorted by name.
func (p *problems) usableServices(all []Service) []Service {
	all = slices.SortedStableFunc(slices.Values(all), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	usable := all[:0]
	for _, s := range all {
		if len(usable) > 0 && usable[len(usable)-1].Name == s.Name {
			p.add("service %q stands twice; the first counts", s.Name)
			continue
		}
		if s.Warmup < 0 || !(s.WarmupRate >= 0) {
			p.add("service %q: a negative warm-up time or rate counts as none", s.Name)
			s.Warmup, s.WarmupRate = 0, 0
		}
		usable = append(usable, s)
	}
	return usable
}

// routeKey is what one route alone may occupy.
type routeKey struct{ host, prefix string }

// usableRoutes returns the usable routes, sorted by name, each with what it lacks.
func (p *problems) usableRoutes(all []Route) []Route {
	all = slices.SortedStableFunc(slices.Values(all), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	names, usable := make(map[routeKey]string, len(all)), all[:0]
	for i := range all {
		r := all[i]
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		other, taken := names[key]
		r.Parts = p.mergeParts(&r)
		switch {
		case len(usable) > 0 && usable[len(usable)-1].Name == r.Name:
			p.add("route %q stands twice; the first counts", r.Name)
			continue
		case len(r.Parts) == 0:
			p.add("route %q leads to no service and is left out", r.Name)
			continue
		case taken:
			p.add("routes %q and %q have the same host and prefix; the first counts", other, r.Name)
			continue
		}
		names[key] = r.Name
		p.checkBounds(&r)
		usable = append(usable, r)
	}
	return usable
}

// checkBounds sets a route's own figures right. One that says nothing of its kind is treated as the
// kind that promises least.
func (p *problems) checkBounds(r *Route) {
	if !slices.Contains(Kinds(), r.Kind) {
		p.add("route %q: requests of the unknown kind %q run once at most", r.Name, r.Kind)
		r.Kind = NonIdempotent
	}
	if r.Timeout < 0 || r.Objective < 0 || r.Priority < 0 {
		p.add("route %q: a negative timeout, objective or priority counts as 0", r.Name)
		r.Timeout, r.Objective, r.Priority = max(r.Timeout, 0), max(r.Objective, 0), max(r.Priority, 0)
	}
	if r.MaxAttempts < 1 {
		p.add("route %q: max_attempts %d counts as 1", r.Name, r.MaxAttempts)
		r.MaxAttempts = 1
	}
}

// maxWeightSum bounds the sum of a split's weights, to which larger and broken ones are scaled.
const maxWeightSum = 1000

// maxWeight keeps sums of weights exact.
const maxWeight = 1e9

// mergeParts returns the parts that get requests, each service once, with whole weights above 0. Where
// no part has a weight all are alike: the route is there to be served.
func (p *problems) mergeParts(r *Route) []Part {
	var merged []Part
	for _, part := range r.Parts {
		if part.Weight < 0 {
			p.add("route %q: the negative weight of service %q counts as 0", r.Name, part.Service)
		}
		part.Weight = min(max(part.Weight, 0), maxWeight)
		same := func(other Part) bool { return other.Service == part.Service }
		if i := slices.IndexFunc(merged, same); i >= 0 {
			merged[i].Weight += part.Weight
			continue
		}
		merged = append(merged, part)
	}
	sum := 0.0
	for _, part := range merged {
		sum += part.Weight
	}
	if sum == 0 {
		if len(merged) > 1 {
			p.add("route %q: no service has a weight, so all get the same share", r.Name)
		}
		for i := range merged {
			merged[i].Weight = 1
		}
		return merged
	}
	merged = slices.DeleteFunc(merged, func(part Part) bool { return part.Weight == 0 })
	return wholeWeights(merged, sum)
}

// wholeWeights turns the weights into small whole numbers, in which requests are dealt.
func wholeWeights(parts []Part, sum float64) []Part {
	if len(parts) == 1 {
		parts[0].Weight = 1
		return parts
	}
	isWhole := func(part Part) bool { return part.Weight == math.Trunc(part.Weight) }
	if sum <= maxWeightSum && !slices.ContainsFunc(parts, func(part Part) bool { return !isWhole(part) }) {
		return parts
	}
	divisor := 0
	for i := range parts {
		parts[i].Weight = max(1, math.Round(parts[i].Weight/sum*maxWeightSum))
		divisor = gcd(divisor, int(parts[i].Weight))
	}
	for i := range parts {
		parts[i].Weight /= float64(divisor)
	}
	return parts
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
