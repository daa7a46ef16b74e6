package entry_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/settings/certs"
	"github.com/tealhall/tealhall/internal/settings/certs/certstest"
	"github.com/tealhall/tealhall/internal/standin"
)

// startTLSEntry starts an entry with TLS on all its connections. Its certificate names its IP
// address.
func startTLSEntry(t *testing.T, name string, authority *certstest.Authority, published fixedPlatform, seeds ...string) *entry.Entry {
	t.Helper()
	dir := t.TempDir()
	files := certs.Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "ca")}
	writeCertificate(t, files, authority)
	mutual, err := certs.Open(files)
	if err != nil {
		t.Fatal(err)
	}
	callers, err := certs.Open(certs.Files{Certificate: files.Certificate, Key: files.Key})
	if err != nil {
		t.Fatal(err)
	}
	client := func() *tls.Config { return mutual.Client("") }
	s := settings.Default()
	s.Name, s.Region, s.FailureDomain, s.Peers.Seeds = name, "r", "a", seeds
	callerSide, peerSide := listenLoopback(t), listenLoopback(t)
	s.Addresses.Caller, s.Addresses.Peer = callerSide.Addr().String(), peerSide.Addr().String()
	e, err := entry.New(s, entry.Options{
		Platform:       published,
		CallerListener: callerSide,
		PeerListener:   peerSide,
		TLS:            entry.TLS{Callers: callers.Server(), HomeClient: client, PeerServer: mutual.Server(), PeerClient: client},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return e
}

func listenLoopback(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func writeCertificate(t *testing.T, files certs.Files, authority *certstest.Authority) {
	t.Helper()
	certificate, key := authority.Issue(t, "entry", "127.0.0.1")
	for name, text := range map[string][]byte{files.Certificate: certificate, files.Key: key, files.Authorities: authority.PEM} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// With TLS on all connections, entries find each other, a caller that offers HTTP/2 is served, and
// a booking that is sent to several entries is forwarded to its key's home and runs once. A caller
// that does not trust the authority, or that uses plain HTTP, is not served.
func TestTLSOnAllConnections(t *testing.T) {
	endpoint, err := standin.NewEndpoint(standin.EndpointConfig{Name: "bookings-1", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Server().Kill)
	published := fixedPlatform{
		published.ProfilesValue: {Name: published.ProfilesValue, Revision: 1, Data: []byte(fleetProfiles)},
		published.VMsValue: {Name: published.VMsValue, Revision: 1,
			Data: published.EncodeVMs(published.VMList{VMs: []published.VM{endpoint.VM("bookings", "r", "a")}})},
	}
	authority := certstest.NewAuthority(t)
	first := startTLSEntry(t, "entry-1", authority, published)
	second := startTLSEntry(t, "entry-2", authority, published, first.PeerAddress())
	await(t, "the entries know each other", func() bool { return first.KnownEntries() == 2 && second.KnownEntries() == 2 })

	trusted := x509.NewCertPool()
	trusted.AppendCertsFromPEM(authority.PEM)
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}, ForceAttemptHTTP2: true}}
	key := keyPrefix(t, secure, second) + strings.Repeat("0a", 16)
	for _, e := range []*entry.Entry{first, second, first} {
		response, err := secure.Do(bookingRequest(t, "https://"+e.CallerAddress(), key))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if outcome := response.Header.Get(contract.HeaderOutcome); outcome != string(contract.OutcomeDone) {
			t.Errorf("booking sent to %s: outcome %s %s", e.Name(), outcome, response.Header.Get(contract.HeaderReason))
		}
	}
	if runs := endpoint.Ledger().Request("b1").Runs; runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
	if _, err := http.DefaultClient.Do(bookingRequest(t, "https://"+first.CallerAddress(), key)); err == nil {
		t.Error("a caller that does not trust the authority was served")
	}
	if response, err := http.DefaultClient.Do(bookingRequest(t, "http://"+first.CallerAddress(), key)); err == nil {
		response.Body.Close()
		if response.StatusCode < http.StatusBadRequest {
			t.Errorf("plain HTTP was served: %s", response.Status)
		}
	}
}

// keyPrefix asks an entry for the prefix of the keys whose home it is.
func keyPrefix(t *testing.T, c *http.Client, e *entry.Entry) string {
	t.Helper()
	response, err := c.Get("https://" + e.CallerAddress() + contract.EntriesPath + "?service=bookings")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var list contract.EntriesAnswer
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	for _, known := range list.Entries {
		if known.Name == e.Name() {
			return known.KeyPrefix
		}
	}
	t.Fatalf("the list from %s lacks the entry itself: %+v", e.Name(), list)
	return ""
}

func bookingRequest(t *testing.T, address, key string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/bookings?id=b1", strings.NewReader("hall 7"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = http.Header{
		contract.HeaderService:        {"bookings"},
		contract.HeaderCaller:         {"raw"},
		contract.HeaderRequest:        {"b1"},
		contract.HeaderIdempotencyKey: {key},
	}
	return request
}
