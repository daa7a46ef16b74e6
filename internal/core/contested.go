package core

import (
	"maps"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/published"
)

// The first probe of a contested address is sent at once; the time to the next one doubles between
// these bounds, since old rows may stand beside the endpoints that got their addresses for long.
const (
	minContestedGap = time.Second
	maxContestedGap = 30 * time.Second
)

// contestedProbe is when an endpoint whose address is contested is probed next.
type contestedProbe struct {
	incarnation uint64
	next, gap   time.Duration
}

// probeContested probes the endpoints that are not used because of another one at their address. The
// one that answers there is used.
func (c *Core) probeContested(now time.Duration, out *Actions) {
	contested := c.fleet.members.Contested()
	maps.DeleteFunc(c.contested, func(name string, _ contestedProbe) bool {
		return !slices.ContainsFunc(contested, func(vm published.VM) bool { return vm.Name == name })
	})
	for _, vm := range contested {
		p, ok := c.pools[vm.Pool]
		if !ok || len(p.services) == 0 {
			continue
		}
		due := c.contested[vm.Name]
		if due.incarnation != vm.Incarnation {
			due = contestedProbe{incarnation: vm.Incarnation}
		}
		if now < due.next {
			continue
		}
		p.earnProbe()
		if c.spendProbe(now, p) {
			due.gap = min(max(2*due.gap, minContestedGap), maxContestedGap)
			out.Probes = append(out.Probes, reachProbe(p, vm.Name, vm.Incarnation, vm.Address))
		}
		due.next = now + max(due.gap, minContestedGap)
		c.contested[vm.Name] = due
	}
}

// noteAnsweredBy records which endpoint answered at an address, as it says itself; "" if it does not.
func (c *Core) noteAnsweredBy(now time.Duration, name, address string, out *Actions) {
	if name == "" {
		return
	}
	if changes := c.fleet.members.AnsweredAt(now, name, address); len(changes) > 0 {
		c.applyChanges(now, changes, "endpoint "+name, out)
	}
}

// answeredBy returns the endpoint that answered a probe: the one that it names, or the one with the
// incarnation that it reports.
func (end *ProbeEnd) answeredBy() string {
	if end.AnsweredBy == "" && end.Incarnation != 0 && end.Incarnation == end.Probe.Incarnation {
		return end.Probe.Endpoint
	}
	return end.AnsweredBy
}
