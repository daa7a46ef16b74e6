package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/fault"
	"pgregory.net/rapid"
)

// sample returns a document with two hosts, a route split between two services, and a prefix that
// extends another one.
func sample() Document {
	one := []Part{{Service: "s", Weight: 1}}
	base := Route{Host: "a.example", Kind: Idempotent, Timeout: 1500, Objective: 400, MaxAttempts: 2, Parts: one}
	with := func(name, host, prefix string, kind Kind, parts []Part) Route {
		r := base
		r.Name, r.Host, r.Prefix, r.Kind, r.Parts = name, host, prefix, kind, parts
		return r
	}
	return Document{
		Routes: []Route{
			with("short", "a.example", "/x/", Idempotent, one),
			with("long", "a.example", "/x/y/", NonIdempotent, []Part{{"s", 90}, {"t", 10}}),
			with("other", "b.example", "/x/", Upload, one),
		},
		Services: []Service{{Name: "s", ProbePath: "/health", MaxConnections: 220}, {Name: "t", ProbePath: "/health"}},
		Limits:   Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

func TestFindLongestPrefix(t *testing.T) {
	table, err := Parse(Encode(sample()))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
		{"", "", ""},
	} {
		r, ok := table.Find(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s: got %v, want %q", c.host, c.path, r, c.want)
		}
	}
}

// Guards against a single invalid route that keeps a document, which the platform has accepted,
// from coming into force. Each invalid value is corrected or left out by itself and reported.
func TestInvalidRoutesAreCorrectedOrSkipped(t *testing.T) {
	long := func(d *Document) *Route { return &d.Routes[1] } // "long", split between s and t
	for _, c := range []struct {
		name   string
		change func(d *Document)
		// want describes the resulting route "long", "" if it is left out. wantProblem is a part of
		// the reported problems, "" if none is to be reported.
		want, wantProblem string
	}{
		{"unchanged", func(*Document) {}, "s90 t10 non_idempotent 1500 2 0", ""},
		{"prefix without a final slash", func(d *Document) { long(d).Prefix = "/x/y" }, "s90 t10 non_idempotent 1500 2 0", ""},
		{"unknown kind", func(d *Document) { long(d).Kind = "safe" }, "s90 t10 non_idempotent 1500 2 0", `unknown kind "safe" run once at most`},
		{"no part", func(d *Document) { long(d).Parts = nil }, "", `route "long" leads to no service and is left out`},
		{"one part without weight", func(d *Document) { long(d).Parts[0].Weight = 0 }, "t1 non_idempotent 1500 2 0", ""},
		{"no part with a weight", func(d *Document) { long(d).Parts[0].Weight, long(d).Parts[1].Weight = 0, 0 }, "s1 t1 non_idempotent 1500 2 0", `no service has a weight`},
		{"negative weight", func(d *Document) { long(d).Parts[0].Weight = -3 }, "t1 non_idempotent 1500 2 0", `negative weight of service "s"`},
		{"small weights", func(d *Document) { long(d).Parts[0].Weight, long(d).Parts[1].Weight = 0.75, 0.25 }, "s3 t1 non_idempotent 1500 2 0", ""},
		{"large weights", func(d *Document) { long(d).Parts[0].Weight, long(d).Parts[1].Weight = 3e6, 1e6 }, "s3 t1 non_idempotent 1500 2 0", ""},
		{"one weight far above the other", func(d *Document) { long(d).Parts[0].Weight, long(d).Parts[1].Weight = 1e300, 1 }, "s1000 t1 non_idempotent 1500 2 0", ""},
		{"two parts of the same service", func(d *Document) { long(d).Parts[1].Service = "s" }, "s1 non_idempotent 1500 2 0", ""},
		{"no attempt", func(d *Document) { long(d).MaxAttempts = 0 }, "s90 t10 non_idempotent 1500 1 0", "max_attempts 0 counts as 1"},
		{"no timeout", func(d *Document) { long(d).Timeout = 0 }, "s90 t10 non_idempotent 0 2 0", ""},
		{"negative timeout", func(d *Document) { long(d).Timeout = -5 }, "s90 t10 non_idempotent 0 2 0", "negative timeout"},
		{"negative priority", func(d *Document) { long(d).Rank = -1 }, "s90 t10 non_idempotent 1500 2 0", "negative timeout, objective or priority"},
		{"same host and prefix", func(d *Document) { d.Routes[0].Prefix = "/x/y/" }, "s90 t10 non_idempotent 1500 2 0", `"long" and "short" have the same host and prefix`},
		{"same name", func(d *Document) { d.Routes[0].Name = "long" }, "s1 idempotent 1500 2 0", `route "long" is listed twice`},
		{"service listed twice", func(d *Document) { d.Services[1].Name = "s" }, "s90 t10 non_idempotent 1500 2 0", `service "s" is listed twice`},
		{"negative warm-up", func(d *Document) { d.Services[0].Warmup = -1 }, "s90 t10 non_idempotent 1500 2 0", "negative warm-up"},
		{"problem reported by the reader", func(d *Document) { d.Problems = []string{"route x is not readable"} }, "s90 t10 non_idempotent 1500 2 0", "route x is not readable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := sample()
			d.Routes[1].Parts = slices.Clone(d.Routes[1].Parts)
			c.change(&d)
			table, err := Parse(Encode(d))
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			for _, r := range table.Routes() {
				if r.Name != "long" {
					continue
				}
				for _, part := range r.Parts {
					got += fmt.Sprint(part.Service, part.Weight, " ")
				}
				got += fmt.Sprint(r.Kind, " ", r.Timeout, " ", r.MaxAttempts, " ", r.Rank)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if reported := strings.Join(table.Problems(), "; "); (reported != "") != (c.wantProblem != "") || !strings.Contains(reported, c.wantProblem) {
				t.Errorf("reported problems %q, want %q", reported, c.wantProblem)
			}
			if _, found := table.Find("b.example", "/x/1"); !found {
				t.Error("another route is missing")
			}
		})
	}
}

// Guards against a log line that lists each of hundreds of invalid routes.
func TestProblemListIsBounded(t *testing.T) {
	d := sample()
	for i := range 300 {
		r := d.Routes[0]
		r.Name, r.Prefix, r.MaxAttempts = fmt.Sprint("r", i), fmt.Sprint("/", i, "/"), 0
		d.Routes = append(d.Routes, r)
	}
	table, err := Parse(Encode(d))
	if err != nil {
		t.Fatal(err)
	}
	reported := table.Problems()
	if len(reported) != maxProblems+1 || reported[maxProblems] != "and 292 more" || len(table.Routes()) != 303 {
		t.Errorf("%d routes, reported problems %q", len(table.Routes()), reported)
	}
}

// A document that cannot be decoded contains no usable route.
func TestUnreadableDocumentIsRefused(t *testing.T) {
	for _, text := range []string{"", "{", `{"routes":7}`, string(Encode(sample())) + "x"} {
		if _, err := Parse([]byte(text)); fault.KindOf(err) != fault.BadProfile {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

// Readers that received the same routes in different orders must publish the same bytes. Otherwise
// their peers would take one of the documents for wrong.
func TestEncodeIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := sample()
		d.Routes = rapid.Permutation(d.Routes).Draw(t, "routes")
		d.Services = rapid.Permutation(d.Services).Draw(t, "services")
		if got, want := string(Encode(d)), string(Encode(sample())); got != want {
			t.Fatalf("got %s", got)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(Encode(sample()))
	f.Add([]byte(`{"routes":[{"name":"r"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Parse(data)
		if err != nil {
			if fault.KindOf(err) != fault.BadProfile {
				t.Errorf("error of another kind than BadProfile: %v", err)
			}
			return
		}
		for _, r := range table.Routes() {
			if found, ok := table.Find(r.Host, r.Prefix); !ok || !strings.HasPrefix(r.Prefix, found.Prefix) {
				t.Errorf("route %q is not found by its own host and prefix", r.Name)
			}
		}
	})
}
