package table

import (
	"slices"
	"testing"
)

func activeIndexes(p *Pool) (indexes []int) {
	p.Active(func(i int, _ *Endpoint) { indexes = append(indexes, i) })
	return indexes
}

// Guards against an endpoint that is listed twice, or not at all, among the active ones after its row
// was used again for another endpoint.
func TestActiveEndpointsSurviveReplacement(t *testing.T) {
	p := Pool{Endpoints: make([]Endpoint, 4)}
	for _, i := range []int{2, 0, 2} {
		p.Activate(i)
	}
	p.Replace(2, Endpoint{Name: "other", ServiceNanos: 1})
	p.Activate(2)
	if got := activeIndexes(&p); !slices.Equal(got, []int{2, 0}) {
		t.Errorf("active: %v, want [2 0]", got)
	}
	p.Deactivate(func(e *Endpoint) bool { return e.ServiceNanos == 0 })
	p.Activate(0)
	if got := activeIndexes(&p); !slices.Equal(got, []int{2, 0}) {
		t.Errorf("active after one was deactivated and used again: %v, want [2 0]", got)
	}
	p.Deactivate(func(*Endpoint) bool { return true })
	if p.HasActive() {
		t.Errorf("active at the end: %v", activeIndexes(&p))
	}
}
