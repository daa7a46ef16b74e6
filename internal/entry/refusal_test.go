package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/settings"
)

// Guards against refusals made outside the core that come as plain text with undocumented reasons.
// Callers decide by the reason what to do, and took such refusals for an unknown outcome.
func TestAllRefusalsUseErrorAnswerFormat(t *testing.T) {
	f := newFleet(t, 1, func(cfg *demo.FleetConfig) {
		cfg.Profiles = []byte(strings.Replace(fleetProfiles, "64MB", "5KB", 1))
		adjust := cfg.Adjust
		cfg.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Limits.ReplayBodyBytes = 1000
		}
	})
	e := f.Entries[0]
	const scan = "POST /scan?id=s HTTP/1.1\r\nHost: scans\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4000, strings.Repeat("x", 4000))
	cases := []struct {
		name, request string
		status        int
		reason        string
		outcome       contract.Outcome
	}{
		{"malformed head", "GET / HTTP/1.1\r\nHost: counts\r\nX : y\r\n\r\n", 400, "bad-request", contract.OutcomeNotRun},
		{"unsupported expectation", "GET / HTTP/1.1\r\nHost: counts\r\nExpect: gold\r\n\r\n", 417, "bad-request", contract.OutcomeNotRun},
		{"unknown reserved path", "GET /.tealhall/none HTTP/1.1\r\nHost: counts\r\n\r\n", 404, "bad-request", contract.OutcomeNotRun},
		{"wrong method on a reserved path", "POST /.tealhall/entries HTTP/1.1\r\nHost: counts\r\nContent-Length: 0\r\n\r\n", 405, "bad-request", contract.OutcomeNotRun},
		{"invalid depth", "GET / HTTP/1.1\r\nHost: counts\r\nTealhall-Depth: many\r\n\r\n", 508, "too-deep", contract.OutcomeNotRun},
		{"unknown service", "GET / HTTP/1.1\r\nHost: none\r\n\r\n", 404, "unknown-service", contract.OutcomeNotRun},
		{"body too large, with Content-Length", scan + "Content-Length: 6000\r\n\r\n", 413, "body-too-large", contract.OutcomeNotRun},
		{"body too large, chunked", scan + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk, 413, "body-too-large", contract.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, answer := sendRaw(t, e.CallerAddress(), c.request)
			if response.StatusCode != c.status || answer.Reason != c.reason || answer.Outcome != c.outcome || answer.Remedy == "" {
				t.Errorf("got status %d, %+v", response.StatusCode, answer)
			}
			h := response.Header
			if h.Get(contract.HeaderReason) != c.reason || h.Get(contract.HeaderOutcome) != string(c.outcome) ||
				h.Get(contract.HeaderEntry) != e.Name() {
				t.Errorf("got headers %v", h)
			}
		})
	}
}

// sendRaw sends the text of a request unchanged and reads the entry's error answer.
func sendRaw(t *testing.T, address, request string) (*http.Response, contract.ErrorAnswer) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer contract.ErrorAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return response, answer
}
