package profile

import (
	"slices"
	"time"
)

// PoolLimits holds the limits that apply to a pool's endpoints rather than to the requests of one
// service. If several services share a pool, each limit is the smallest value among their profiles,
// so that no profile's limit is exceeded.
type PoolLimits struct {
	ProbeBudget         float64
	EjectMaxShare       float64
	EjectBase, EjectMax time.Duration
}

// poolModes holds a pool's limits in both modes.
type poolModes struct {
	ordinary, closing PoolLimits
}

// Pools returns the names of all pools, sorted.
func (s *Snapshot) Pools() []string {
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PoolLimits returns the limits of a pool in the given mode. ok is false if there is no such pool.
func (s *Snapshot) PoolLimits(pool string, closing bool) (PoolLimits, bool) {
	m, ok := s.pools[pool]
	if closing {
		return m.closing, ok
	}
	return m.ordinary, ok
}

func (s *Snapshot) compilePools() {
	s.pools = map[string]poolModes{}
	for _, service := range s.services {
		m, shared := s.pools[service.Pool]
		if !shared {
			m = poolModes{ordinary: limitsOf(&service.Ordinary), closing: limitsOf(&service.Close)}
		}
		m.ordinary = smallestLimits(m.ordinary, limitsOf(&service.Ordinary))
		m.closing = smallestLimits(m.closing, limitsOf(&service.Close))
		s.pools[service.Pool] = m
	}
}

func limitsOf(p *Policy) PoolLimits {
	return PoolLimits{
		ProbeBudget:   p.ProbeBudget,
		EjectMaxShare: p.EjectMaxShare,
		EjectBase:     p.EjectBase,
		EjectMax:      p.EjectMax,
	}
}

func smallestLimits(a, b PoolLimits) PoolLimits {
	return PoolLimits{
		ProbeBudget:   min(a.ProbeBudget, b.ProbeBudget),
		EjectMaxShare: min(a.EjectMaxShare, b.EjectMaxShare),
		EjectBase:     min(a.EjectBase, b.EjectBase),
		EjectMax:      min(a.EjectMax, b.EjectMax),
	}
}
