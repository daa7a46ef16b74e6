package forward

import (
	"net/http"
	"testing"
)

// A booking runs though its caller was told that it did not. The connection took
// long to set up, or the process slept meanwhile; the caller's deadline passed,
// "not run" was answered, and then the request was written after all. So whoever
// sends is asked once more when the connection is there.
func TestRequestWithdrawnDuringDialIsNotSent(t *testing.T) {
	accepted := make(chan struct{}, 1)
	e := newEndpoint(t, func(p *endpointConn, number int) {
		accepted <- struct{}{}
		answerEvery(okAnswer)(p, number)
	})
	c := newConnections(t, Config{})
	out := outgoing(t, e.address, http.MethodPost, "hall 7")
	out.MaySend = func() bool {
		<-accepted // the connection is there, and the caller was answered meanwhile
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
