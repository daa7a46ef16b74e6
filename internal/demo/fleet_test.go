package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/standin"
)

func startFleet(t *testing.T, cfg FleetConfig) *Fleet {
	t.Helper()
	f, err := NewFleet(cfg)
	t.Cleanup(f.Close)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

func exampleProfiles(t *testing.T, name string) []byte {
	t.Helper()
	document, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func newClient(t *testing.T, f *Fleet, caller string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Seeds: f.Seeds(), Caller: caller})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A caller asks which entries to use and sends reads and once-only requests through an entry to an
// endpoint. Each read gets its own answer and each once-only request runs once.
func TestRequestsThroughFleet(t *testing.T) {
	endpoint := standin.EndpointConfig{ServiceTime: standin.Constant(time.Millisecond)}
	f := startFleet(t, FleetConfig{
		Profiles: exampleProfiles(t, "mermaconteo.toml"),
		Domains:  []string{"a", "b"},
		Entries:  3,
		Pools: []PoolConfig{
			{Name: "live-counts", Endpoints: 3, Endpoint: endpoint},
			{Name: "waste-entries", Endpoints: 2, Endpoint: endpoint},
		},
	})
	c := newClient(t, f, "tablet-1")
	for i := range 20 {
		id := fmt.Sprintf("count-%d", i)
		r, err := c.Do(t.Context(), client.Request{Service: "live-counts", Method: http.MethodGet, Path: "/trays?id=" + id})
		if err != nil || r.Outcome != client.Done {
			t.Fatalf("read %s: %+v, %v", id, r, err)
		}
		if err := standin.CheckAnswer(r.Body, id, standin.AnswerSize(id)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		r, err := c.Do(t.Context(), client.Request{Service: "waste-entries", Method: http.MethodPost, Path: fmt.Sprintf("/log?id=w%d", i), Body: []byte("12 kg"), Once: true})
		if err != nil || r.Outcome != client.Done {
			t.Fatalf("write %d: %+v, %v", i, r, err)
		}
		if n := f.Ledger.Key(r.Key).Runs; n != 1 {
			t.Errorf("write %d ran %d times, want 1", i, n)
		}
	}
}
