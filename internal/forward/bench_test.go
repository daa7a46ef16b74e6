package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
)

// BenchmarkCall compares one small call on a reused connection through this package, through the
// standard transport and through a single client connection of that transport.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Tealhall-Load", "in-flight=1,queued=0,slots=2")
		io.WriteString(w, "0123456789012345678901234567890123456789")
	}))
	defer server.Close()
	address, _ := url.Parse(server.URL)
	request, _ := http.NewRequest(http.MethodGet, server.URL+"/tray?kind=live", nil)
	request.Header.Set("Tealhall-Service", "live-counts")
	drain := func(b *testing.B, resp *http.Response, err error) {
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.Run("forward", func(b *testing.B) {
		c := newConnections(b, Config{MaxConnsPerEndpoint: 64})
		extra := http.Header{"Tealhall-Deadline-Ms": {"250"}, "Tealhall-Attempt": {"1"}}
		b.ReportAllocs()
		for b.Loop() {
			resp, _, err := c.Send(ctx, Outgoing{Address: address.Host, Request: request, Extra: extra, Once: true})
			drain(b, resp, err)
		}
	})
	b.Run("transport", func(b *testing.B) {
		request := request.WithContext(ctx)
		b.ReportAllocs()
		for b.Loop() {
			resp, err := transport.RoundTrip(request)
			drain(b, resp, err)
		}
	})
	b.Run("client-conn", func(b *testing.B) {
		request := request.WithContext(ctx)
		conn, err := transport.NewClientConn(ctx, "http", address.Host)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		b.ReportAllocs()
		for b.Loop() {
			resp, err := conn.RoundTrip(request)
			drain(b, resp, err)
		}
	})
}
