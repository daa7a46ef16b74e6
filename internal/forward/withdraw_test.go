package forward

import (
	"net/http"
	"testing"
)

// Guards against a request that runs although its caller was told that it did not. Setting up the
// connection takes long, or the process is suspended meanwhile; the caller's deadline passes and it
// gets the answer "not run"; then the request is written after all. Send must therefore call
// MaySend once the connection is ready.
func TestRequestWithdrawnDuringDialIsNotSent(t *testing.T) {
	accepted := make(chan struct{}, 1)
	e := newEndpoint(t, func(p *endpointConn, number int) {
		accepted <- struct{}{}
		answerEvery(okAnswer)(p, number)
	})
	c := newConnections(t, Config{})
	out := outgoing(t, e.address, http.MethodPost, "hall 7")
	out.MaySend = func() bool {
		<-accepted // the connection is ready, and the caller has been answered meanwhile
		return false
	}
	_, delivery, err := exchangeText(c, out)
	if FailureOf(err) != Withdrawn || delivery.Wrote || !delivery.NewConn || delivery.Started != 0 {
		t.Fatalf("got %v, %+v", err, delivery)
	}
	out.MaySend = func() bool {
		<-accepted
		return true
	}
	mustExchange(t, c, out)
	if got, stats := e.arrivals.Load(), c.Stats(e.address); got != 1 || stats.Idle != 1 {
		t.Errorf("%d requests arrived, %+v", got, stats)
	}
}
