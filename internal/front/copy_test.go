package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/tealhall/tealhall/internal/forward"
)

// An endpoint dies while it answers, after the entry has passed on the first part. The caller must
// see a broken connection rather than a complete answer, whether the answer is delimited by its
// length, in chunks, or in HTTP/1.0 by the end of the connection.
func TestCutOffAnswerBreaksConnection(t *testing.T) {
	tests := []struct {
		name, version string
		length        int64
		want          error
	}{
		{"length", "HTTP/1.1", 9, io.ErrUnexpectedEOF},
		{"chunks", "HTTP/1.1", -1, io.ErrUnexpectedEOF},
		{"end of connection", "HTTP/1.0", -1, syscall.ECONNRESET},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, _ *http.Request) {
				cut := io.MultiReader(strings.NewReader("part"), failing{io.ErrUnexpectedEOF})
				if _, err := CopyAnswer(w, fakeAnswer(cut, test.length)); !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("got %v", err)
				}
			})
			c := dial(t, address)
			c.send(lines("GET / "+test.version, "Host: a", "", ""))
			if _, _, err := c.answer(http.MethodGet); !errors.Is(err, test.want) {
				t.Errorf("the caller got the error %v, want %v", err, test.want)
			}
		})
	}
}

// failing is a reader that always fails with err.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Each part of a streaming answer must reach the caller before the endpoint sends the next one.
// Hop-by-hop headers of the endpoint's connection must not reach the caller.
func TestStreamingAnswerIsFlushedPartByPart(t *testing.T) {
	source, endpoint := io.Pipe()
	_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, _ *http.Request) {
		resp := fakeAnswer(source, -1)
		resp.Trailer = http.Header{"Sum": nil}
		resp.Body = io.NopCloser(io.MultiReader(source, atEnd(func() { resp.Trailer.Set("Sum", "2") })))
		if n, err := CopyAnswer(w, resp); n != 2 || err != nil {
			t.Errorf("copied %d, %v", n, err)
		}
	})
	c := dial(t, address)
	c.send(lines("GET / HTTP/1.1", "Host: a", "", ""))
	io.WriteString(endpoint, "1")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1", "2"} {
		part := make([]byte, 1)
		if _, err := io.ReadFull(resp.Body, part); err != nil || string(part) != want {
			t.Fatalf("got %q, %v", part, err)
		}
		if want == "1" {
			io.WriteString(endpoint, "2")
		}
	}
	endpoint.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.Trailer.Get("Sum") != "2" {
		t.Errorf("got trailers %v", resp.Trailer)
	}
	if resp.Header.Get("X-End") != "2" || resp.Header.Get("X-Hop")+resp.Header.Get("Keep-Alive")+resp.Header.Get("Connection") != "" {
		t.Errorf("got headers %v", resp.Header)
	}
}

// atEnd is an empty reader that calls the function when it is read.
type atEnd func()

func (f atEnd) Read([]byte) (int, error) { f(); return 0, io.EOF }

// proxyTo is a minimal entry: it sends each request to one endpoint and copies the answer back.
func proxyTo(c *forward.Connections, address string, limits BodyLimits) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := NewReplayBody(w, r, limits)
		if err != nil {
			refuseRequest(w, err, false)
			return
		}
		reader, _ := body.Reader()
		resp, delivery, err := c.Send(r.Context(), forward.Outgoing{
			Address: address, Request: r, Body: reader, ContentLength: body.Length(), Trailer: r.Trailer,
		})
		if err != nil {
			refuseRequest(w, err, delivery.Wrote)
			return
		}
		CopyAnswer(w, resp)
	}
}

// refuseRequest answers a request whose body or exchange failed with err. If the body was too
// large, the header Sent-On states whether a part of the request was sent to the endpoint.
func refuseRequest(w http.ResponseWriter, err error, sentOn bool) {
	var large *BodyTooLargeError
	if !errors.As(err, &large) {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set("Sent-On", strconv.FormatBool(sentOn))
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}

// Bodies pass through front and forward: bodies that fit the buffer, larger ones, ones that exceed
// the limit or are malformed, and one to an endpoint that answers before the upload ends.
func TestBodiesThroughEntry(t *testing.T) {
	const kept, most = 100, 5000
	_, endpoint := serve(t, ServerConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			w.Header().Set("Sum", r.Trailer.Get("Sum"))
			w.Write(body)
		}
	})
	connections := forward.New(forward.Config{Clock: testClock()})
	t.Cleanup(connections.Close)
	_, address := serve(t, ServerConfig{}, proxyTo(connections, endpoint, BodyLimits{Buffer: kept, Max: most}))
	small, large, tooLarge := strings.Repeat("s", kept), strings.Repeat("l", most), strings.Repeat("t", most+1)
	tests := []struct {
		name, request, body string
		status              int
		sentOn              string
	}{
		{"no body", lines("GET / HTTP/1.1", "Host: a", "", ""), "", 200, ""},
		{"small", withLength("/", small), small, 200, ""},
		{"small in chunks", inChunks("/", small), small, 200, ""},
		{"large", withLength("/", large), large, 200, ""},
		{"large in chunks", inChunks("/", large), large, 200, ""},
		{"too large, announced", withLength("/", tooLarge), "", 413, "false"},
		{"too large in chunks, sent on in part", inChunks("/", tooLarge), "", 413, "true"},
		{"bare line feed in the chunked coding", lines("POST / HTTP/1.1", "Host: a", "Transfer-Encoding: chunked", "", "1\na", "0", "", ""), "", 502, ""},
		{"answer before the upload ends", "POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + small + small, "", 429, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := dial(t, address)
			c.send(test.request)
			resp, text, err := c.answer(http.MethodPost)
			if err != nil || resp.StatusCode != test.status || resp.StatusCode == 200 && text != test.body {
				t.Fatalf("got %+v, %d bytes, %v", resp, len(text), err)
			}
			if got := resp.Header.Get("Sent-On"); got != test.sentOn {
				t.Errorf("Sent-On is %q, want %q", got, test.sentOn)
			}
			if strings.Contains(test.request, "Sum") && resp.StatusCode == 200 && resp.Header.Get("Sum") != "7" {
				t.Errorf("the trailer did not arrive: %v", resp.Header)
			}
		})
	}
}

// withLength returns a POST request whose body has a Content-Length.
func withLength(target, body string) string {
	return lines("POST "+target+" HTTP/1.1", "Host: a", "Content-Length: "+decimal(len(body)), "", body)
}

// inChunks returns a POST request whose body is sent in two chunks with a trailer.
func inChunks(target, body string) string {
	half := len(body) / 2
	return lines("POST "+target+" HTTP/1.1", "Host: a", "Transfer-Encoding: chunked", "Trailer: Sum", "",
		hexadecimal(half), body[:half], hexadecimal(len(body)-half), body[half:], "0", "Sum: 7", "", "")
}

// A caller closes its connection while its request waits. The context of the request must end, so
// that the endpoint's slot is freed, also if the body was streamed.
func TestCallerGoneEndsRequest(t *testing.T) {
	for _, buffer := range []int64{100, 1} {
		started, ended := make(chan struct{}), make(chan struct{})
		_, address := serve(t, ServerConfig{}, func(w http.ResponseWriter, r *http.Request) {
			body, err := NewReplayBody(w, r, BodyLimits{Buffer: buffer})
			if err != nil {
				t.Error(err)
				return
			}
			reader, _ := body.Reader()
			io.Copy(io.Discard, reader)
			close(started)
			<-r.Context().Done()
			close(ended)
		})
		c := dial(t, address)
		c.send(withLength("/", "tray"))
		<-started
		c.Close()
		<-ended
	}
}
