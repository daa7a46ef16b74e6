package admin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/admin/admintest"
	"github.com/tealhall/tealhall/internal/audit"
)

func newTrail(size, records int) *audit.Trail {
	trail := audit.New(size, func() time.Time { return admintest.Wall }, nil)
	for range records {
		trail.Add(audit.Record{Actor: "platform", Subject: "profiles", Action: "accepted"})
	}
	return trail
}

func serve(t *testing.T, source admin.Source, trail *audit.Trail) string {
	t.Helper()
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(3)
	metrics.GetOrRegisterGaugeFloat64("ratio", registry).Update(math.NaN())
	server := httptest.NewServer(admin.NewHandler(source, trail, registry))
	t.Cleanup(server.Close)
	return server.URL
}

func TestPages(t *testing.T) {
	cases := []struct {
		method, path string
		notReady     string
		status       int
		want         string
	}{
		{"GET", admin.StatusPath, "", 200, `"what": "endpoint waste-2 is ejected"`},
		{"GET", admin.EntriesPath, "", 200, `"incarnation": "7602076171306817144"`},
		{"GET", admin.EndpointsPath, "", 200, `"clears": "three trial requests that succeed"`},
		{"GET", admin.ProfilesPath, "", 200, `"service": "waste-entries"`},
		{"GET", admin.MetricsPath, "", 200, `"count": 3`},
		{"GET", admin.HealthPath, "no profiles yet", 200, `"ok"`},
		{"GET", admin.ReadyPath, "", 200, `"ready"`},
		{"GET", admin.ReadyPath, "no profiles yet", 503, `"error": "no profiles yet"`},
		{"HEAD", admin.StatusPath, "", 200, ""},
		{"GET", "/v2/status", "", 404, "docs/design/admin.md"},
		{"POST", admin.StatusPath, "", 405, "publish a profile"},
		{"DELETE", admin.EndpointsPath, "", 405, "publish a profile"},
		{"GET", admin.AuditPath + "?since=x", "", 400, "seq of the last record"},
		{"GET", admin.AuditPath + "?since=-1", "", 400, "seq of the last record"},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			url := serve(t, admintest.Sample{NotReady: c.notReady}, newTrail(4, 0))
			request, err := http.NewRequest(c.method, url+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
				t.Errorf("status %d, error %v, body:\n%s", response.StatusCode, err, body)
			}
		})
	}
}

// openAuditStream opens the audit stream and returns a function that reads its next record.
func openAuditStream(t *testing.T, ctx context.Context, url, query string) func() (admin.AuditLine, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+admin.AuditPath+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	decoder := json.NewDecoder(bufio.NewReader(response.Body))
	return func() (line admin.AuditLine, err error) {
		err = decoder.Decode(&line)
		return line, err
	}
}

func TestAuditPage(t *testing.T) {
	type recordSummary struct {
		Seq     uint64
		Dropped bool
	}
	cases := []struct {
		name          string
		size, records int
		query         string
		want          []recordSummary
	}{
		{"empty", 4, 0, "", nil},
		{"all records", 4, 2, "?since=0", []recordSummary{{1, false}, {2, false}}},
		{"records after a number", 4, 2, "?since=1&follow=0", []recordSummary{{2, false}}},
		{"overwritten records", 2, 4, "?since=1", []recordSummary{{3, true}, {4, false}}},
		{"number of an earlier process", 4, 1, "?since=77", []recordSummary{{1, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next := openAuditStream(t, context.Background(), serve(t, admintest.Sample{}, newTrail(c.size, c.records)), c.query)
			var got []recordSummary
			line, err := next()
			for ; err == nil; line, err = next() {
				got = append(got, recordSummary{line.Seq, line.Dropped})
			}
			if diff := cmp.Diff(c.want, got); err != io.EOF || diff != "" {
				t.Errorf("error %v, (-want +got):\n%s", err, diff)
			}
		})
	}
}

func TestAuditStreamFollowsNewRecords(t *testing.T) {
	trail := newTrail(4, 0)
	url := serve(t, admintest.Sample{}, trail)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A number from an earlier process must not hide the records of this one.
	next := openAuditStream(t, ctx, url, "?follow=true&since=500")
	for seq := range uint64(3) {
		trail.Add(audit.Record{Action: "tested"})
		if line, err := next(); err != nil || line.Seq != seq+1 {
			t.Fatalf("record %d: %+v, error %v", seq+1, line, err)
		}
	}
	cancel()
	if _, err := next(); err == nil {
		t.Error("the stream continues after its context was cancelled")
	}
}

func TestExposed(t *testing.T) {
	cases := []struct {
		address string
		secure  bool
		want    bool
	}{
		{"127.0.0.1:9090", false, false},
		{"[::1]:9090", false, false},
		{"0.0.0.0:9090", false, true},
		{"[::]:9090", false, true},
		{"10.0.0.7:9090", false, true},
		{"10.0.0.7:9090", true, false},
	}
	for _, c := range cases {
		address, err := net.ResolveTCPAddr("tcp", c.address)
		if err != nil {
			t.Fatal(err)
		}
		if got := admin.Exposed(address, c.secure); got != c.want {
			t.Errorf("%s, TLS %v: exposed %v", c.address, c.secure, got)
		}
	}
}
