package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/settings"
)

// refusingDialer refuses the connections of one entry to endpoints.
func refusingDialer(refused string) func(cfg *demo.FleetConfig) {
	return func(cfg *demo.FleetConfig) {
		cfg.DialEndpoint = func(ctx context.Context, entry, address string) (*net.TCPConn, error) {
			if entry == refused {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return conn.(*net.TCPConn), nil
		}
	}
}

// Guards against answers to relayed requests that differ from others: that are not whole, name the
// outcome or the entry twice, or name another entry than the one that the caller asked.
func TestCallersOfCutEntryGetWholeAnswers(t *testing.T) {
	f := newFleet(t, 3, refusingDialer("entry-1"))
	cut := f.Entries[0]
	for i := range 20 {
		for _, c := range []struct {
			method, service string
			body            int
		}{
			{http.MethodGet, "counts", 0},
			{http.MethodPost, "scans", 1000},
			{http.MethodPost, "scans", 3 << 20},
		} {
			target := fmt.Sprintf("http://%s/%s?id=r-%d&bytes=5000", cut.CallerAddress(), c.service, i)
			request, err := http.NewRequestWithContext(t.Context(), c.method, target, bytes.NewReader(bytes.Repeat([]byte("x"), c.body)))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(contract.HeaderService, c.service)
			request.Header.Set(contract.HeaderRequest, fmt.Sprintf("%s-%d-%d", c.service, c.body, i))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			h := response.Header
			if err != nil || response.StatusCode != http.StatusOK || len(body) != 5000 {
				t.Fatalf("%s with %d bytes: status %d, %d bytes, %v, %v", c.service, c.body, response.StatusCode, len(body), err, h)
			}
			if got := h[contract.HeaderOutcome]; len(got) != 1 || got[0] != string(contract.OutcomeDone) {
				t.Errorf("outcome %v", got)
			}
			if got := h[contract.HeaderEntry]; len(got) != 1 || got[0] != cut.Name() {
				t.Errorf("the answer names entries %v", got)
			}
		}
	}
}

// windowRequests returns the requests for a pool that an entry counts for the bound on repeats.
func windowRequests(t *testing.T, e *entry.Entry, pool string) float64 {
	t.Helper()
	all := ask[[]admin.MetricView](newOperator(t, e), "metrics")
	i := slices.IndexFunc(all, func(v admin.MetricView) bool { return v.Name == "pool."+pool+".window_requests" })
	if i < 0 {
		t.Fatalf("%s has no metric of the requests for %s", e.Name(), pool)
	}
	return all[i].Values["value"]
}

// Guards against a relayed request that counts for the fleet's bound on repeats at two entries, because
// the one that took it does not tell the other that it has counted it.
func TestEntryTellsThatItCountedRelayedRequest(t *testing.T) {
	f := newFleet(t, 3, refusingDialer("entry-1"), func(cfg *demo.FleetConfig) {
		adjust := cfg.Adjust
		cfg.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Limits.RepeatShare, s.Limits.RepeatWindow.Duration = 0.2, time.Hour
		}
	})
	const sent = 20
	for i := range sent {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/counts?id=r-%d", f.Entries[0].CallerAddress(), i), nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(contract.HeaderService, "counts")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d", i, response.StatusCode)
		}
	}
	counted := 0.0
	for _, e := range f.Entries {
		counted += windowRequests(t, e, "counts")
	}
	if counted != sent {
		t.Errorf("%v requests were counted of %d sent", counted, sent)
	}
}
