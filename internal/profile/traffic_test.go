package profile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

const trafficDocument = `
format = 1
[profile.reads]
kind = "read"
looks = 6
[profile.urgent]
kind = "urgent"
[profile.once]
kind = "once"
require_key = false
max_attempts = 1
[profile.uploads]
kind = "bulk"
[traffic.reads]
kind = "idempotent"
profile = "reads"
[traffic.first]
kind = "idempotent"
priority = 0
profile = "urgent"
[traffic.once]
kind = "non_idempotent"
profile = "once"
[traffic.uploads]
kind = "upload"
profile = "uploads"
`

func trafficTable(t *testing.T, routes ...route.Route) *route.Table {
	t.Helper()
	for i := range routes {
		r := &routes[i]
		r.Host, r.Prefix = "a", "/"+r.Name+"/"
		r.Timeout, r.Objective, r.MaxAttempts = 1500, 400, 2
	}
	d := route.Document{Routes: routes, Services: []route.Service{{Name: "s", ProbePath: "/h"}, {Name: "t"}}, Limits: route.Limits{BodyBytes: 77}}
	table, err := route.Parse(route.Encode(d))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Route names change daily, so a route's profile follows from its kind and rank. The route's own
// settings take precedence over those of its profile.
func TestBindAppliesTrafficRulesAndRouteSettings(t *testing.T) {
	base, err := Parse([]byte(trafficDocument), 1)
	if err != nil {
		t.Fatal(err)
	}
	singlePart := []route.Part{{Service: "s", Weight: 1}}
	bound, err := base.Bind(trafficTable(t,
		route.Route{Name: "r", Kind: route.Idempotent, Rank: 2, Parts: singlePart},
		route.Route{Name: "u", Kind: route.Idempotent, Rank: 0, Parts: singlePart},
		route.Route{Name: "b", Kind: route.NonIdempotent, Rank: 1, Parts: []route.Part{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
		route.Route{Name: "l", Kind: route.Upload, Rank: 12, Parts: singlePart},
	), 7, 8)
	if err != nil {
		t.Fatal(err)
	}
	if bound.Revision() != 7 || bound.Digest() != 8 || len(base.Services()) != 0 || bound.Routes() == nil {
		t.Errorf("revision %d, digest %d, %d services in the base snapshot", bound.Revision(), bound.Digest(), len(base.Services()))
	}
	for _, tc := range []struct {
		service, profile, pool, probe string
		priority                      int
	}{
		{"r", "reads", "s", "/h", 7},
		{"u", "urgent", "s", "/h", 9},
		{"b/s", "once", "s", "/h", 8},
		{"b/t", "once", "t", "", 8},
		{"l", "uploads", "s", "/h", 0},
	} {
		s, ok := bound.Service(tc.service)
		if !ok {
			t.Errorf("no service %s", tc.service)
			continue
		}
		p := s.Policy(false)
		if s.Profile != tc.profile || s.Pool != tc.pool || s.ProbePath != tc.probe || p.Priority != tc.priority {
			t.Errorf("%s: profile %s, pool %s, probe %q, priority %d", tc.service, s.Profile, s.Pool, s.ProbePath, p.Priority)
		}
		if p.Deadline != 1500*time.Millisecond || p.Objective != 400*time.Millisecond || p.MaxAttempts != 2 || p.MaxBodyBytes != 77 || p.RequireKey {
			t.Errorf("%s: %+v", tc.service, p)
		}
	}
}

// A rule that applied a read profile to non-idempotent routes would run their requests twice. A
// missing rule for a kind would leave future routes of that kind without a profile.
func TestBadTrafficRulesAreRefused(t *testing.T) {
	for _, tc := range []struct{ name, old, new, wantProblem string }{
		{"read profile for non-idempotent route", `profile = "once"`, `profile = "reads"`, "does not suit non_idempotent routes"},
		{"no rule for a kind", "[traffic.uploads]\nkind = \"upload\"\nprofile = \"uploads\"\n", "", `no rule covers routes of kind "upload"`},
		{"only a rule with a priority", "profile = \"uploads\"\n", "profile = \"uploads\"\npriority = 3\n", `no rule covers routes of kind "upload"`},
		{"unknown profile", `profile = "urgent"`, `profile = "urgnt"`, "there is no profile"},
		{"unknown kind", `kind = "upload"`, `kind = "safe"`, "no such kind of route"},
		{"bad rank", "priority = 0", "priority = -1", "the value is not a rank"},
		{"unknown field", "priority = 0", "rank = 0", "unknown field"},
	} {
		text := strings.Replace(trafficDocument, tc.old, tc.new, 1)
		if text == trafficDocument {
			t.Fatalf("%s: the replaced text is not in the document", tc.name)
		}
		if _, err := Parse([]byte(text), 1); err == nil || !strings.Contains(err.Error(), tc.wantProblem) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

// Guards against a document that was written before downloads existed and that is refused, or whose
// download routes run once at most, since it has no rule for them.
func TestDownloadsWithoutRuleAreTreatedAsIdempotent(t *testing.T) {
	for _, c := range []struct{ name, rule, want, warning string }{
		{"no rule", "", "reads", `no rule covers routes of kind "download"`},
		{"own rule", "[traffic.downloads]\nkind = \"download\"\nprofile = \"urgent\"\n", "urgent", ""},
	} {
		base, err := Parse([]byte(trafficDocument+c.rule), 1)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		warnings := fmt.Sprint(base.Warnings())
		if !strings.Contains(warnings, c.warning) || c.warning == "" && len(base.Warnings()) > 0 {
			t.Errorf("%s: warnings %s, want %q", c.name, warnings, c.warning)
		}
		table := trafficTable(t, route.Route{Name: "d", Kind: route.Download, Rank: 2, Parts: []route.Part{{Service: "s", Weight: 1}}})
		bound, err := base.Bind(table, 2, 2)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if s, _ := bound.Service("d"); s.Profile != c.want {
			t.Errorf("%s: profile %q, want %q", c.name, s.Profile, c.want)
		}
	}
}

func TestBindFailsWithoutRuleForRouteKind(t *testing.T) {
	base, err := Parse([]byte("format = 1\n[profile.r]\nkind = \"read\"\n[service.s]\nprofile = \"r\"\n"), 1)
	if err != nil {
		t.Fatal(err)
	}
	table := trafficTable(t, route.Route{Name: "r", Kind: route.Upload, Parts: []route.Part{{Service: "s", Weight: 1}}})
	if _, err := base.Bind(table, 2, 2); err == nil || !strings.Contains(err.Error(), "add a [traffic] rule") {
		t.Errorf("got %v", err)
	}
}
