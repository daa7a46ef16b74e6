package core

import (
	"math/rand/v2"

	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
)

// Admit returns the admission of a request that names its service, before its body is read.
func (c *Core) Admit(service string) Admission {
	sv, ok := c.services[service]
	if !ok {
		return Admission{Service: service, Reason: c.unknownServiceReason()}
	}
	return admissionOf(sv)
}

// AdmitRoute returns the admission of a request whose service follows from its host and path.
func (c *Core) AdmitRoute(host, path string) Admission {
	if c.snapshot == nil || c.snapshot.Routes() == nil {
		return Admission{Reason: c.unknownServiceReason()}
	}
	r, ok := c.snapshot.Routes().Find(host, path)
	if !ok {
		return Admission{Reason: c.unknownServiceReason()}
	}
	name := r.Name
	if s := c.splits[r.Name]; s != nil {
		name = s.next()
	}
	a := admissionOf(c.services[name])
	a.LargeAnswer = r.Kind == route.Download
	return a
}

// MayRepeat reports whether a request may run twice, by the kind of its route or, without routes,
// by the kind of the service that it names.
func (c *Core) MayRepeat(service, host, path string) bool {
	if !c.Routed() {
		sv, ok := c.services[service]
		return ok && (sv.policy.Kind == profile.Read || sv.policy.Kind == profile.Urgent)
	}
	r, ok := c.snapshot.Routes().Find(host, path)
	return ok && r.Kind.MayRepeat()
}

// MayPipeline reports whether a request may be started before the answers in front of it on its
// connection are sent. A download is not: its answer would wait, half read, at its endpoint.
func (c *Core) MayPipeline(service, host, path string) bool {
	if c.Routed() {
		if r, ok := c.snapshot.Routes().Find(host, path); ok && r.Kind == route.Download {
			return false
		}
	}
	return c.MayRepeat(service, host, path)
}

// Routed reports whether the services in force come from published routes.
func (c *Core) Routed() bool { return c.snapshot != nil && c.snapshot.Routes() != nil }

func admissionOf(sv *service) Admission {
	return Admission{Service: sv.name, MaxBody: sv.policy.MaxBodyBytes, Deadline: sv.policy.Deadline, row: sv.index + 1, pool: sv.pool, policy: sv.policy}
}

// unknownServiceReason returns why a service is not known: it is not published, this entry has no
// profiles yet, or the entry knows of a later revision that may contain the service.
func (c *Core) unknownServiceReason() Reason {
	t := c.fleet.profiles
	switch {
	case c.snapshot == nil:
		return ReasonStarting
	case t.Wanted() != 0, t.LastRefused().Revision > t.InForce().Revision, c.explained.unreadable[published.ProfilesValue] != "":
		return ReasonBehind
	}
	return ReasonUnknownService
}

// split distributes the requests of a route over its parts by smooth weighted round robin: over any
// run of requests, each part's count differs from its weighted share by less than one request.
// Entries start at random positions, so that their deviations cancel out.
type split struct {
	parts []splitPart
	total int
}

type splitPart struct {
	name    string
	weight  int
	current int
}

// splitsOf returns the splits of a snapshot. An unchanged split continues at its current position.
func splitsOf(s *profile.Snapshot, old map[string]*split, rng *rand.Rand) map[string]*split {
	splits := make(map[string]*split)
	if s.Routes() == nil {
		return splits
	}
	for i := range s.Routes().Routes() {
		r := &s.Routes().Routes()[i]
		if len(r.Parts) < 2 {
			continue
		}
		next := newSplit(r)
		if before := old[r.Name]; before != nil && before.same(next) {
			next = before
		} else {
			for range rng.IntN(next.total) {
				next.next()
			}
		}
		splits[r.Name] = next
	}
	return splits
}

func newSplit(r *route.Route) *split {
	s := &split{}
	for _, part := range r.Parts {
		s.parts = append(s.parts, splitPart{name: profile.PartName(r, part), weight: int(part.Weight)})
		s.total += int(part.Weight)
	}
	return s
}

func (s *split) same(other *split) bool {
	if len(s.parts) != len(other.parts) {
		return false
	}
	for i := range s.parts {
		if s.parts[i].name != other.parts[i].name || s.parts[i].weight != other.parts[i].weight {
			return false
		}
	}
	return true
}

// next returns the service of the next request.
func (s *split) next() string {
	best := 0
	for i := range s.parts {
		s.parts[i].current += s.parts[i].weight
		if s.parts[i].current > s.parts[best].current {
			best = i
		}
	}
	s.parts[best].current -= s.total
	return s.parts[best].name
}
