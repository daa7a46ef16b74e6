package forward

import (
	"net/http"
	"testing"
)

// answerFor is an answer with the name of the request that it belongs to.
func answerFor(name, body string) string {
	return "HTTP/1.1 200 OK\r\nFor: " + name + "\r\nContent-Length: " + string('0'+rune(len(body))) + "\r\n\r\n" + body
}

// An endpoint answers a request twice, and the second answer arrives when the connection
// carries another caller's request already. Its caller must get its own answer; what
// belongs to nobody is dropped, and so is the connection, since who knows what follows.
func TestStrayAnswersAreDropped(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers string
		want    string
		failure Failure
	}{
		{"one stray answer", answerFor("a", "old") + answerFor("b", "new"), "new", None},
		{"two", answerFor("a", "old") + answerFor("a", "old") + answerFor("b", "new"), "new", None},
		{"no end of them", answerFor("a", "1") + answerFor("a", "2") + answerFor("a", "3") + answerFor("b", "new"), "", BadAnswer},
		{"one without a length", "HTTP/1.1 200 OK\r\nFor: a\r\n\r\nold", "", BadAnswer},
		{"one that breaks off", "HTTP/1.1 200 OK\r\nFor: a\r\nContent-Length: 9\r\n\r\nold", "", Died},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, func(p *endpointConn, _ int) {
				for p.readRequest() != nil {
					p.writeText(c.answers)
					if c.failure != None {
						p.Close()
					}
				}
			})
			connections := newConnections(t, Config{AllowUnframed: true})
			out := outgoing(t, e.address, http.MethodGet, "")
			out.Stray = func(answer http.Header) bool { return answer.Get("For") != "b" }
			text, delivery, err := exchangeText(connections, out)
			if text != c.want || FailureOf(err) != c.failure || !delivery.Wrote {
				t.Fatalf("got %q, %v", text, err)
			}
			if _, again, _ := exchangeText(connections, out); !again.NewConn {
				t.Error("the connection was used again")
			}
		})
	}
}
