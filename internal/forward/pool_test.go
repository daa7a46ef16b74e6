package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// A network device may lose the state of the entry's open connections, whose segments are then
// dropped, while new connections work and the endpoint is healthy. The entry must detect that
// nothing is acknowledged, close the connection and the idle ones to the same address, and reach
// the endpoint on a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	silenced := make(chan struct{}, 2)
	e := newEndpoint(t, func(p *endpointConn, number int) {
		p.readRequest()
		p.writeText(okAnswer)
		if number <= 2 {
			p.dropIncoming()
			silenced <- struct{}{}
			return
		}
		answerEvery(okAnswer)(p, number)
	})
	c := newConnections(t, Config{SilentAfter: 100 * time.Millisecond})
	openConnections(t, c, e.address, 2)
	<-silenced
	<-silenced
	_, delivery, err := exchangeText(c, outgoing(t, e.address, http.MethodPost, "tray"))
	if FailureOf(err) != Silent || !delivery.Wrote || delivery.NewConn {
		t.Fatalf("got %v, %+v", err, delivery)
	}
	if got := c.Stats(e.address); got.Idle != 0 || got.Silent != 1 {
		t.Errorf("the other idle connection was kept: %+v", got)
	}
	if delivery := mustExchange(t, c, outgoing(t, e.address, http.MethodPost, "tray")); !delivery.NewConn {
		t.Error("no new connection was used")
	}
}

// openConnections opens number connections to address and leaves them idle.
func openConnections(t *testing.T, c *Connections, address string, number int) {
	t.Helper()
	var answers []*http.Response
	for range number {
		resp, _, err := c.Send(t.Context(), outgoing(t, address, http.MethodGet, ""))
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, resp)
	}
	for _, resp := range answers {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if got := c.Stats(address).Idle; got != number {
		t.Fatalf("%d connections are idle, want %d", got, number)
	}
}

// A slow endpoint must not be taken for a dead connection. Otherwise its other connections would be
// closed and opened again, at 1 ms each, while it is already slow.
func TestSlowEndpointIsNotSilent(t *testing.T) {
	e := newEndpoint(t, func(p *endpointConn, _ int) { p.readRequest() })
	c := newConnections(t, Config{SilentAfter: 20 * time.Millisecond, HeaderTimeout: 200 * time.Millisecond})
	_, _, err := exchangeText(c, outgoing(t, e.address, http.MethodGet, ""))
	if FailureOf(err) != AnswerTimeout {
		t.Errorf("got %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, _, err := c.Send(ctx, outgoing(t, e.address, http.MethodGet, "")); FailureOf(err) != Deadline {
		t.Errorf("got %v, want the deadline", err)
	}
}

func TestIdleConnectionReuse(t *testing.T) {
	clock := new(manualClock)
	clock.advance(time.Hour)
	e := newEndpoint(t, answerEvery(okAnswer))
	c := newConnections(t, Config{Clock: clock.read, FreshWithin: time.Second, IdleTimeout: time.Minute, MaxConnsPerEndpoint: 1})
	steps := []struct {
		name string
		wait time.Duration
		once bool
		conn uint64 // connections dialled so far
	}{
		{"first", 0, true, 1},
		{"fresh enough for once", time.Second, true, 1},
		{"too old for once, replaced by a new one", 2 * time.Second, true, 2},
		{"reused by a request that may run twice", 2 * time.Second, false, 2},
		{"that request kept it alive", time.Second, true, 2},
		{"past the idle timeout", 2 * time.Minute, false, 3},
	}
	for _, step := range steps {
		clock.advance(step.wait)
		out := outgoing(t, e.address, http.MethodPost, "tray")
		out.Once = step.once
		mustExchange(t, c, out)
		if got := c.Stats(e.address).Dialed; got != step.conn {
			t.Errorf("%s: %d connections were dialled, want %d", step.name, got, step.conn)
		}
	}
	clock.advance(2 * time.Minute)
	c.sweep()
	if got := c.Stats(e.address).Idle; got != 0 {
		t.Errorf("%d connections are idle past the idle timeout", got)
	}
	mustExchange(t, c, outgoing(t, e.address, http.MethodGet, ""))
	c.Drop(e.address)
	if got := c.Stats(e.address); got != (ConnStats{}) {
		t.Errorf("after the drop: %+v", got)
	}
}

// When an endpoint leaves, an answer in progress must be delivered whole, and its connection must
// be closed afterwards.
func TestDropLetsBusyConnectionsEnd(t *testing.T) {
	e := newEndpoint(t, answerEvery(okAnswer))
	c := newConnections(t, Config{})
	resp, _, err := c.Send(t.Context(), outgoing(t, e.address, http.MethodGet, ""))
	if err != nil {
		t.Fatal(err)
	}
	p := c.lookup(e.address)
	c.Drop(e.address)
	text, err := io.ReadAll(resp.Body)
	if string(text) != "ok" || err != nil {
		t.Errorf("got %q, %v", text, err)
	}
	resp.Body.Close()
	if got := p.snapshot(); got.Busy != 0 || got.Idle != 0 {
		t.Errorf("the connection was kept: %+v", got)
	}
}
