package entry_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/ctl"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/standin"
)

// operator queries one entry with the command-line tool.
type operator struct {
	t       *testing.T
	address string
}

func newOperator(t *testing.T, e *entry.Entry) operator {
	t.Helper()
	server := httptest.NewServer(e.AdminHandler())
	t.Cleanup(server.Close)
	return operator{t, server.Listener.Addr().String()}
}

// run runs a command and returns what it prints and its exit code.
func (o operator) run(args ...string) (string, int) {
	var out bytes.Buffer
	cmd := ctl.NewCommand(&out, &out)
	cmd.SetArgs(append(args, "--admin", o.address))
	err := cmd.Execute()
	return out.String(), ctl.ExitCode(err)
}

// ask runs a command with JSON output and decodes it.
func ask[T any](o operator, args ...string) (value T) {
	o.t.Helper()
	text, code := o.run(append(args, "--output", "json")...)
	if err := json.Unmarshal([]byte(text), &value); err != nil || code != ctl.ExitOK {
		o.t.Fatalf("%v: exit code %d, %v:\n%s", args, code, err, text)
	}
	return value
}

func (o operator) endpoint(name string) admin.EndpointView {
	o.t.Helper()
	all := ask[[]admin.EndpointView](o, "endpoints")
	i := slices.IndexFunc(all, func(v admin.EndpointView) bool { return v.Name == name })
	if i < 0 {
		o.t.Fatalf("%s is not listed", name)
	}
	return all[i]
}

// concern reports whether the status has a concern that contains both texts.
func (o operator) concern(what, clears string) bool {
	o.t.Helper()
	return slices.ContainsFunc(ask[admin.Status](o, "status").Concerns, func(c admin.Concern) bool {
		return strings.Contains(c.What, what) && strings.Contains(c.Clears, clears)
	})
}

// why returns the reason that the audit trail gives for an action, "" if it has none.
func (o operator) why(subject, action string) string {
	o.t.Helper()
	text, _ := o.run("audit", "--output", "json")
	for line := range strings.Lines(text) {
		var r admin.AuditLine
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			o.t.Fatal(err)
		}
		if r.Subject == subject && r.Action == action {
			return r.Why
		}
	}
	return ""
}

// One endpoint refuses every request, the platform lists another as leaving, and an invalid
// document is published. The admin interface of a single entry must show, without the log, what is
// wrong, why tealhall acted and what clears each concern. It must drop the concerns when their
// causes are gone.
func TestOperatorSeesEjectionAndRefusal(t *testing.T) {
	t.Parallel() // it mostly waits
	f := newFleet(t, 3)
	l := startTraffic(t, f)
	l.awaitReplies(t, 200) // successful requests earn retries
	// In light traffic entries use few endpoints, so the test takes the busiest one.
	bad := slices.MaxFunc(f.Endpoints[:4], func(a, b *demo.Endpoint) int { return int(a.Stats().Requests - b.Stats().Requests) })
	bad.SetFaults(standin.EndpointFaults{Shed: true})
	name := bad.VM.Name
	leaving := f.Endpoints[4].VM.Name
	f.MarkLeaving(leaving)
	refused := f.Publish([]byte(strings.Replace(fleetProfiles, `deadline = "3s"`, `deadline = "soon"`, 1)))
	var ejector *entry.Entry
	await(t, "the bad endpoint is ejected", func() bool {
		for _, e := range f.Entries {
			if f.auditCount(e.Name(), "endpoint "+name, "ejected") > 0 {
				ejector = e
			}
		}
		return ejector != nil
	})
	o := newOperator(t, ejector)
	await(t, "the entry knows that the endpoint is leaving", func() bool { return o.endpoint(leaving).State == "leaving" })
	await(t, "the document is refused", func() bool { return ask[admin.Status](o, "status").Profiles.Refused == refused })

	const clears = "3 good trial requests"
	if e := o.endpoint(name).Ejection; e != nil && (!strings.Contains(e.Why, "failed") || !strings.Contains(e.Clears, clears) || e.Consecutive < 1) {
		t.Errorf("the ejection is not explained: %+v", e)
	}
	await(t, "status explains the ejection", func() bool { return o.concern("endpoint "+name+" of pool counts is ejected: ", clears) })
	if !o.concern(`line 5: profile.counts.deadline: "soon"`, "publish a corrected one") {
		t.Errorf("status does not explain the refusal: %+v", ask[admin.Status](o, "status").Concerns)
	}
	for _, want := range []struct{ subject, action, why string }{
		{"endpoint " + name, "ejected", "cleared by " + clears},
		{published.ProfilesValue, "refused", `line 5: profile.counts.deadline: "soon"`},
	} {
		if why := o.why(want.subject, want.action); !strings.Contains(why, want.why) {
			t.Errorf("audit: %s %s: %q", want.subject, want.action, why)
		}
	}
	// The entry learns this from the list or from a peer that read the list, whichever is first.
	if why := o.why("endpoint "+leaving, "endpoint-leaving"); !strings.Contains(why, "list marks it as leaving") && !strings.Contains(why, "a peer reported that it is leaving") {
		t.Errorf("audit: reason that %s is leaving: %q", leaving, why)
	}
	if _, code := o.run("status", "--require-calm"); code != ctl.ExitNotCalm {
		t.Errorf("status --require-calm: exit code %d", code)
	}
	o.checkPages(f, ejector, refused)
	o.checkMetrics()

	bad.SetFaults(standin.EndpointFaults{})
	f.awaitInForce(t, f.Publish([]byte(fleetProfiles)))
	await(t, "the endpoint is in use again", func() bool { return o.endpoint(name).Ejection == nil })
	if o.concern("refused", "publish") || o.concern("is ejected", "") {
		t.Errorf("concerns that should have cleared: %+v", ask[admin.Status](o, "status").Concerns)
	}
	l.finish(t, f)
}

// checkPages compares the pages of the admin interface with the fleet that they describe.
func (o operator) checkPages(f *fleet, asked *entry.Entry, refused uint64) {
	o.t.Helper()
	s := ask[admin.Status](o, "status")
	if s.Entry.Name != asked.Name() || !s.Entry.Ready || s.Mode.Name != "ordinary" || s.Requests.Done == 0 ||
		s.Fleet.EntriesUsable != 3 || s.Fleet.EndpointsLeaving != 1 || len(s.Fleet.Readers) == 0 || len(s.Links) != 2 ||
		s.Connections.Callers == 0 || s.Connections.Endpoints == 0 || s.Platform.Calls == 0 || s.Pools[1].Ejected != 1 || s.Pools[1].Retry.Left == 0 {
		o.t.Errorf("status: %+v", s)
	}
	entries := ask[[]admin.EntryView](o, "entries")
	for i, e := range entries {
		if e.Name != f.Entries[i].Name() || e.State != "serving" || e.Profiles != 1 || e.Self != (f.Entries[i] == asked) || e.HeardAge < 0 {
			o.t.Errorf("entries: %+v", e)
		}
	}
	p := ask[admin.ProfilesView](o, "profiles")
	if p.Text != fleetProfiles || p.Published.Refused != refused || len(p.Services) != 3 || p.Services[1].Kind != "read" {
		o.t.Errorf("profiles: %+v", p)
	}
}

// checkMetrics compares the entry's metrics with docs/METRICS.md: each metric must have a row, and
// each row at least one metric.
func (o operator) checkMetrics() {
	o.t.Helper()
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		o.t.Fatal(err)
	}
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (counter|gauge|histogram) \\|").FindAllStringSubmatch(string(page), -1)
	name := strings.NewReplacer(".", `\.`, "<service>", `(counts|bookings|scans)`, "<pool>", `(counts|bookings|scans)`, "<reason>", `[a-z-]+`)
	metrics := ask[[]admin.MetricView](o, "metrics")
	described := make(map[string]bool)
	for _, row := range rows {
		pattern := regexp.MustCompile("^" + name.Replace(row[1]) + "$")
		found := false
		for _, m := range metrics {
			if pattern.MatchString(m.Name) && kindOf(m) == row[2] {
				found, described[m.Name] = true, true
			}
		}
		if !found {
			o.t.Errorf("docs/METRICS.md describes a %s that does not exist: %s", row[2], row[1])
		}
	}
	for _, m := range metrics {
		if !described[m.Name] {
			o.t.Errorf("docs/METRICS.md lacks the %s %s", kindOf(m), m.Name)
		}
	}
}

// The page for operators names the metrics to set alerts on. An alert on a metric that does not
// exist would never fire.
func TestOperationsPageNamesExistingMetrics(t *testing.T) {
	read := func(name string) string {
		text, err := os.ReadFile("../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	known := read("METRICS.md") + read("SETTINGS.md")
	groups := "entry|process|connections|requests|service|pool|profiles|vms|published|platform|fleet|peers|keys|limits|timeouts|addresses|tls|audit"
	for _, name := range regexp.MustCompile("`((?:"+groups+")\\.[^` ]+)`").FindAllStringSubmatch(read("OPERATIONS.md"), -1) {
		if !strings.Contains(known, "`"+name[1]+"`") && !strings.Contains(known, "`"+name[1]+".") {
			t.Errorf("docs/OPERATIONS.md names %s, which is neither a metric nor a setting", name[1])
		}
	}
}

func kindOf(m admin.MetricView) string {
	switch _, isGauge := m.Values["value"]; {
	case isGauge:
		return "gauge"
	case len(m.Values) == 1:
		return "counter"
	}
	return "histogram"
}
