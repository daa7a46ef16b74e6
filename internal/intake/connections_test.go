package intake

import (
	"net"
	"net/http"
	"slices"
	"testing"
)

// testConn is a connection that records its end.
type testConn struct {
	net.Conn
	name   string
	closed *[]string
}

func (c *testConn) Close() error { *c.closed = append(*c.closed, c.name); return nil }

// Guards against clients that occupy all connections: new clients must find a place, and requests in
// progress must keep theirs.
func TestConnectionsThatWaitGiveWay(t *testing.T) {
	clock := &testClock{}
	var closed []string
	stalled := 0
	c := NewConnections(3, clock.time, func() bool { stalled--; return stalled >= 0 })
	open := func(name string) *testConn {
		conn := &testConn{name: name, closed: &closed}
		c.State(conn, http.StateNew)
		return conn
	}
	expect := func(what string, want ...string) {
		t.Helper()
		if !slices.Equal(closed, want) {
			t.Errorf("%s: closed %v, want %v", what, closed, want)
		}
		closed = nil
	}
	busy, idle, silent := open("busy"), open("idle"), open("silent")
	c.State(busy, http.StateActive)
	c.State(idle, http.StateActive)
	c.State(idle, http.StateIdle)
	open("second")
	expect("a fresh connection may still send its request", "idle")
	open("third")
	expect("no connection has waited long enough", "third")
	clock.now += firstRequestTime
	third := open("third")
	expect("the connection without a request that has waited longest", "silent")
	c.State(silent, http.StateClosed)
	c.State(third, http.StateActive)
	clock.now += firstRequestTime
	fourth := open("fourth")
	expect("the other one", "second")
	c.State(fourth, http.StateActive)
	open("fifth")
	expect("all are in progress", "fifth")
	stalled = 1
	open("sixth")
	expect("a request that makes no progress gives way")
	c.State(busy, http.StateClosed)
	if s := c.Stats(); s.Open != 3 || s.Closed != 3 || s.Refused != 2 {
		t.Errorf("got %+v", s)
	}
}
