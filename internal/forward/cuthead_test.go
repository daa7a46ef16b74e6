package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer that breaks off in its head and reaches the caller as a whole one with an
// empty or short body.
func TestAnswerCutInHeadIsNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nSigned: 3e1b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSigned: 3e1b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSigned: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSigned: 3e1b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nSigned: 3e1b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nSigned: 3e1b\r\n\r\n",
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			t.Run(fmt.Sprintf("%s, %.60q", method, head), func(t *testing.T) {
				for cut := range strings.LastIndex(head, "\n") {
					e := newEndpoint(t, func(p *endpointConn, number int) {
						p.readRequest()
						p.writeText(head[:cut])
						p.CloseWrite()
					})
					c := newConnections(t, Config{AllowUnframed: true})
					if text, _, err := exchangeText(c, outgoing(t, e.address, method, "")); err == nil {
						t.Errorf("cut after %q the answer is whole, with body %q", head[:cut], text)
					}
				}
			})
		}
	}
}
