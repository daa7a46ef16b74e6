package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// endlessBody is a body that goes on until it is stopped.
type endlessBody struct{ stopped chan struct{} }

func (b *endlessBody) Read(p []byte) (int, error) {
	pause := time.NewTimer(time.Millisecond)
	defer pause.Stop()
	select {
	case <-pause.C:
		return copy(p, "part"), nil
	case <-b.stopped:
		return 0, io.ErrUnexpectedEOF
	}
}

// Guards against an answer without a length that is cut off by a reset while the upload is written, and
// taken for a whole one: the kernel reports the reset to the writer alone, and the reader sees an end.
func TestResetDuringUploadDoesNotEndAnswer(t *testing.T) {
	half, reset := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(p *endpointConn, _ int) {
		if p.awaitRequest() {
			p.writeText("HTTP/1.1 200 OK\r\n\r\nhalf")
			close(half)
			<-reset
			p.reset()
		}
	})
	c := newConnections(t, Config{AllowUnframed: true})
	out := outgoing(t, e.address, http.MethodPost, "")
	body := &endlessBody{stopped: make(chan struct{})}
	out.Body, out.ContentLength = body, -1
	resp, _, err := c.Send(context.Background(), out)
	if err != nil {
		t.Fatal(err)
	}
	defer close(body.stopped)
	<-half
	close(reset)
	<-resp.Body.(*answerBody).exchange.upload.done // the writer has got the error
	if text, err := io.ReadAll(resp.Body); FailureOf(err) != Truncated {
		t.Errorf("got %q, %v; want an answer that is cut off", text, err)
	}
}

// Guards against a whole answer without a length that is refused, because the endpoint answers before it
// has read the upload.
func TestUnframedAnswerEndsWithConnection(t *testing.T) {
	done := make(chan struct{})
	e := newEndpoint(t, func(p *endpointConn, _ int) {
		if p.awaitRequest() {
			p.writeText("HTTP/1.1 200 OK\r\n\r\nwhole")
			p.CloseWrite()
			<-done // the connection stays half open
		}
	})
	defer close(done)
	c := newConnections(t, Config{AllowUnframed: true})
	out := outgoing(t, e.address, http.MethodPost, "")
	body := &endlessBody{stopped: make(chan struct{})}
	defer close(body.stopped)
	out.Body, out.ContentLength = body, -1
	if text, _, err := exchangeText(c, out); text != "whole" || err != nil {
		t.Errorf("got %q, %v", text, err)
	}
}
