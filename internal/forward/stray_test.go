package forward

import (
	"net/http"
	"strings"
	"testing"
)

// answerFor returns an answer that carries the name of the request to which it belongs.
func answerFor(name, body string) string {
	return "HTTP/1.1 200 OK\r\nFor: " + name + "\r\nContent-Length: " + string('0'+rune(len(body))) + "\r\n\r\n" + body
}

// An endpoint may answer a request twice, and the second answer may arrive when the connection
// already carries another caller's request. That caller must get its own answer. The stray answer
// is discarded and the connection is closed, since further stray answers may follow.
func TestStrayAnswersAreDropped(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers string
		want    string
		failure Failure
	}{
		{"one stray answer", answerFor("a", "old") + answerFor("b", "new"), "new", None},
		{"two stray answers", answerFor("a", "old") + answerFor("a", "old") + answerFor("b", "new"), "new", None},
		{"too many stray answers", answerFor("a", "1") + answerFor("a", "2") + answerFor("a", "3") + answerFor("b", "new"), "", BadAnswer},
		{"stray answer without a length", "HTTP/1.1 200 OK\r\nFor: a\r\n\r\nold", "", BadAnswer},
		{"truncated stray answer", "HTTP/1.1 200 OK\r\nFor: a\r\nContent-Length: 9\r\n\r\nold", "", ConnectionLost},
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
			out.IsStray = func(answer http.Header) bool { return answer.Get("For") != "b" }
			text, delivery, err := exchangeText(connections, out)
			if text != c.want || FailureOf(err) != c.failure || !delivery.Wrote {
				t.Fatalf("got %q, %v", text, err)
			}
			if strays := strings.Count(c.answers, "For: a"); delivery.StrayAnswers != strays || delivery.Conn != 1 || delivery.Carried != 0 {
				t.Errorf("delivery %+v, want %d stray answers", delivery, strays)
			}
			if _, again, _ := exchangeText(connections, out); !again.NewConn || again.Conn != 2 {
				t.Error("the connection was used again")
			}
		})
	}
}
