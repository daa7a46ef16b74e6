package forward

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against taking a late copy of an endpoint's rejection for the answer to the next attempt at
// the same request.
func TestLateRejectionIsNotTheNextAttemptsAnswer(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nFor: booking\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	e := newEndpoint(t, func(p *endpointConn, _ int) {
		for rejected := false; p.readRequest() != nil; {
			if p.endpoint.arrivals.Load() == 1 {
				rejected = true
				p.writeText(rejection)
				continue
			}
			if rejected {
				p.writeText(rejection)
			}
			p.writeText(answerFor("booking", "ran"))
		}
	})
	connections := newConnections(t, Config{})
	out := outgoing(t, e.address, http.MethodPost, "book")
	out.Name, out.Once = "booking", true
	out.IsStray = func(answer http.Header) bool { return answer.Get("For") != out.Name }
	if text, _, err := exchangeText(connections, out); text != "" || err != nil {
		t.Fatalf("the first attempt got %q, %v", text, err)
	}
	if text, delivery, err := exchangeText(connections, outgoingAgain(out, "book")); text != "ran" || err != nil || !delivery.NewConn {
		t.Errorf("the second attempt got %q, %v on a new connection %v", text, err, delivery.NewConn)
	}
	if idle := connections.Stats(e.address).Idle; idle != 2 {
		t.Errorf("%d connections are kept for other requests, want 2", idle)
	}
}

// Guards against a connection that forgets which requests it has carried once it has carried many.
func TestConnectionCarriesBoundedNumberOfNamedRequests(t *testing.T) {
	e := newEndpoint(t, answerEvery(okAnswer))
	connections := newConnections(t, Config{})
	send := func(name string) Delivery {
		out := outgoing(t, e.address, http.MethodGet, "")
		out.Name = name
		return mustExchange(t, connections, out)
	}
	for i := range maxNamesPerConn {
		if delivery := send(fmt.Sprint("read-", i)); delivery.NewConn != (i == 0) {
			t.Fatalf("request %d used a new connection: %v", i, delivery.NewConn)
		}
	}
	if delivery := send("read-0"); !delivery.NewConn {
		t.Error("the same request was sent again on the connection that had carried it")
	}
	for range 2 * maxNamesPerConn {
		if delivery := send(""); delivery.NewConn {
			t.Fatal("a request without a name used a new connection")
		}
	}
}
