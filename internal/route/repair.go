package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// maxProblems limits how many problems of a document are listed one by one.
const maxProblems = 8

// problems collects descriptions of what was corrected or left out.
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

// list returns the descriptions, the last one with the number of problems not listed.
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
			p.add("service %q is listed twice; the first one is used", s.Name)
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

// routeKey is the host and prefix of a route. Only one route may have it.
type routeKey struct{ host, prefix string }

// usableRoutes returns the usable routes, sorted by name, with their values corrected.
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
			p.add("route %q is listed twice; the first one is used", r.Name)
			continue
		case len(r.Parts) == 0:
			p.add("route %q leads to no service and is left out", r.Name)
			continue
		case taken:
			p.add("routes %q and %q have the same host and prefix; the first one is used", other, r.Name)
			continue
		}
		names[key] = r.Name
		p.correctRoute(&r)
		usable = append(usable, r)
	}
	return usable
}

// correctRoute corrects a route's kind, timeout, objective, rank and attempts. A route of an
// unknown kind is treated as NonIdempotent, the kind that permits the least.
func (p *problems) correctRoute(r *Route) {
	if !slices.Contains(Kinds(), r.Kind) {
		p.add("route %q: requests of the unknown kind %q run once at most", r.Name, r.Kind)
		r.Kind = NonIdempotent
	}
	if r.Timeout < 0 || r.Objective < 0 || r.Rank < 0 {
		p.add("route %q: a negative timeout, objective or priority counts as 0", r.Name)
		r.Timeout, r.Objective, r.Rank = max(r.Timeout, 0), max(r.Objective, 0), max(r.Rank, 0)
	}
	if r.MaxAttempts < 1 {
		p.add("route %q: max_attempts %d counts as 1", r.Name, r.MaxAttempts)
		r.MaxAttempts = 1
	}
}

// maxWeightSum is the limit for the sum of a route's weights. Weights with a larger sum or with
// fractions are scaled to it.
const maxWeightSum = 1000

// maxWeight limits a single weight, so that sums of weights are exact.
const maxWeight = 1e9

// mergeParts returns the parts that get requests, each service once, with whole weights above 0. If
// no part has a weight, all get the same one, because a published route is meant to be served.
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

// wholeWeights converts the weights to small whole numbers, which the distribution of requests
// needs.
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
