package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
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
