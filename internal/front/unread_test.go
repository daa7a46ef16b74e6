package front

import (
	"net/http"
	"testing"
)

// Guards against a refusal that waits for the rest of a body which the handler does not read.
func TestAnswerDoesNotWaitForUnreadBody(t *testing.T) {
	_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, framing := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Content-Length: 1000000"} {
		conn := dial(t, address)
		conn.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n")
		if resp, _, err := conn.answer(http.MethodPost); err != nil || resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: %v, %v", framing, resp, err)
		}
		if _, err := conn.reader.ReadByte(); err == nil {
			t.Errorf("%s: the connection was used again", framing)
		}
	}
	conn := dial(t, address)
	for range 2 {
		conn.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
		if resp, _, err := conn.answer(http.MethodPost); err != nil || resp.Close {
			t.Errorf("a whole body: %v, %v", resp, err)
		}
	}
}
