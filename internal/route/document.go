package route

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
)

// Document is a route table as it is published and passed between entries.
type Document struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

const (
	remedy = "correct the routes and publish them under a new revision"
	// maxProblems bounds how many problems an error names.
	maxProblems = 8
)

// Encode returns the document in the form that Parse reads: the same bytes for
// the same routes, whatever order they were in.
func Encode(d Document) []byte {
	d.Routes = slices.SortedFunc(slices.Values(d.Routes), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	d.Services = slices.SortedFunc(slices.Values(d.Services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	// The types hold strings and numbers only, which always encode.
	data, _ := json.Marshal(d)
	return data
}

// Parse checks a document as a whole and compiles it. One problem refuses all of
// it, by an error of kind fault.BadProfile that names what is wrong. Unknown
// fields are ignored, so that a later release may add some.
func Parse(data []byte) (*Table, error) {
	var d Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	err := decoder.Decode(&d)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			err = nil
		} else {
			err = errors.New("data after the document")
		}
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadProfile, remedy, "the routes are not readable")
	}
	var found problems
	found.services(d.Services)
	found.routes(d.Routes, d.Services)
	if found.count > 0 {
		return nil, fault.New(fault.BadProfile, remedy, "the routes have %d problem(s): %s", found.count, strings.Join(found.texts, "; "))
	}
	t := &Table{routes: d.Routes, services: d.Services, limits: d.Limits}
	slices.SortFunc(t.routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	t.index()
	return t, nil
}

// problems collects what is wrong with a document.
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

func (p *problems) services(services []Service) {
	seen := make(map[string]bool, len(services))
	for _, s := range services {
		switch {
		case s.Name == "":
			p.add("a service has no name")
		case seen[s.Name]:
			p.add("service %q stands twice", s.Name)
		}
		seen[s.Name] = true
		if s.Warmup < 0 || !(s.WarmupRate >= 0) {
			p.add("service %q: warm-up time and rate must not be negative", s.Name)
		}
	}
}

// place is what one route alone may occupy.
type place struct{ host, prefix string }

func (p *problems) routes(routes []Route, services []Service) {
	known := make(map[string]bool, len(services))
	for _, s := range services {
		known[s.Name] = true
	}
	names, places := make(map[string]bool, len(routes)), make(map[place]string, len(routes))
	for i := range routes {
		r := &routes[i]
		if names[r.Name] {
			p.add("route %q stands twice", r.Name)
		}
		names[r.Name] = true
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, taken := places[at]; taken {
			p.add("routes %q and %q have the same host and prefix", other, r.Name)
		}
		places[at] = r.Name
		p.route(r, known)
	}
}

func (p *problems) route(r *Route, known map[string]bool) {
	if r.Name == "" || r.Host == "" {
		p.add("route %q needs a name and a host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		p.add("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if !slices.Contains(Kinds(), r.Kind) {
		p.add("route %q: kind %q is unknown", r.Name, r.Kind)
	}
	if r.Timeout <= 0 {
		p.add("route %q: the timeout of %d ms must be above 0", r.Name, r.Timeout)
	}
	if r.MaxAttempts < 1 {
		p.add("route %q: max_attempts %d must be at least 1", r.Name, r.MaxAttempts)
	}
	if r.Priority < 0 || r.Objective < 0 {
		p.add("route %q: priority and objective must not be negative", r.Name)
	}
	if len(r.Parts) == 0 {
		p.add("route %q leads to no service", r.Name)
	}
	for _, part := range r.Parts {
		if !known[part.Service] {
			p.add("route %q leads to service %q, which is not listed", r.Name, part.Service)
		}
		if part.Weight < 1 {
			p.add("route %q: the weight %d of service %q must be at least 1", r.Name, part.Weight, part.Service)
		}
	}
}
