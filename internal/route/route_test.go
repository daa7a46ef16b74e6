package route

import (
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/fault"
	"pgregory.net/rapid"
)

// sample is a document with two hosts, a split and a prefix within another.
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

func TestFind(t *testing.T) {
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

// An operator's mistake must leave the routes before it in force, and the message must
// name everything that is wrong, not the first thing only.
func TestRefusedWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *Document)
		says   string
	}{
		{"prefix without an end", func(d *Document) { d.Routes[0].Prefix = "/x" }, `prefix "/x" must begin and end with a slash`},
		{"unknown kind", func(d *Document) { d.Routes[0].Kind = "safe" }, `kind "safe" is unknown`},
		{"unknown service", func(d *Document) { d.Routes[1].Parts[1].Service = "u" }, `service "u", which is not listed`},
		{"no part", func(d *Document) { d.Routes[0].Parts = nil }, "leads to no service"},
		{"no weight", func(d *Document) { d.Routes[1].Parts[0].Weight = 0 }, "must be at least 1"},
		{"no attempt", func(d *Document) { d.Routes[0].MaxAttempts = 0 }, "max_attempts 0"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "must be above 0"},
		{"same place", func(d *Document) { d.Routes[1].Prefix = "/x/" }, "the same host and prefix"},
		{"same name", func(d *Document) { d.Routes[1].Name = "short" }, "stands twice"},
		{"service twice", func(d *Document) { d.Services[1].Name = "s" }, `service "s" stands twice`},
		{"two problems", func(d *Document) { d.Routes[0].Priority, d.Routes[1].Kind = -1, "" }, "2 problem(s)"},
	} {
		d := sample()
		c.change(&d)
		if _, err := Parse(Encode(d)); fault.KindOf(err) != fault.BadProfile || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	for _, text := range []string{"", "{", `{"routes":7}`, string(Encode(sample())) + "x"} {
		if _, err := Parse([]byte(text)); fault.KindOf(err) != fault.BadProfile {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Readers that got the same routes in another order must publish the same bytes, or
// their peers would take one of them for wrong.
func TestEncodingHasOneOrder(t *testing.T) {
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
				t.Errorf("untyped: %v", err)
			}
			return
		}
		for _, r := range table.Routes() {
			if found, ok := table.Find(r.Host, r.Prefix); !ok || !strings.HasPrefix(r.Prefix, found.Prefix) {
				t.Errorf("route %q is not found at its own place", r.Name)
			}
		}
	})
}
