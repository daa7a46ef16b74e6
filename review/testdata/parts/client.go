package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// call is one request of a client.
type call struct {
	method, host, target, kind string
	body                       []byte
	chunked                    bool
	budget                     time.Duration
}

// result is how a client attempt ended.
type result struct {
	id         string
	status     int
	retryAfter time.Duration
	// problem is a broken promise that the client sees by itself.
	problem string
	closes  bool
	err     error
	// unsent is set if no byte could be sent.
	unsent bool
}

func (c *call) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.target, c.host, id, c.budget.Milliseconds())
	switch {
	case c.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case c.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

func (c *call) encodedBody() []byte {
	if !c.chunked {
		return c.body
	}
	var b bytes.Buffer
	for rest := c.body; len(rest) > 0; {
		n := min(len(rest), 20000)
		fmt.Fprintf(&b, "%x\r\n", n)
		b.Write(rest[:n])
		b.WriteString("\r\n")
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

func (l *ledger) send(c *call, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = sentRequest{method: c.method, target: c.target, host: c.host, sum: sumOf(c.body), kind: c.kind, at: time.Now()}
}

func (l *ledger) end(r *result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[r.id]
	s.status, s.problem, s.ended = r.status, r.problem, time.Now()
	l.sent[r.id] = s
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer.
func (cc *clientConn) do(l *ledger, c *call) *result {
	id := newID()
	l.send(c, id)
	go func() { cc.Write(append([]byte(c.head(id)), c.encodedBody()...)) }()
	r := cc.read(c, id, time.Now().Add(c.budget))
	l.end(r)
	return r
}

// read reads the answer to a request and checks it as a client can.
func (cc *clientConn) read(c *call, id string, deadline time.Time) *result {
	r := &result{id: id, closes: true}
	cc.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(cc.reader, &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		return r
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.closes = resp.StatusCode, resp.Close
	sign := resp.Header.Get("X-Response-Signature")
	if resp.StatusCode < 300 && sign == "" {
		r.problem = fmt.Sprintf("MIXED: success %d without a signature and with %d bytes for request %s", resp.StatusCode, len(body), id)
		return r
	}
	if got := resp.Header.Get("X-Attempt-Id"); got != id {
		r.problem = fmt.Sprintf("MIXED: answer %d of %q for request %s", resp.StatusCode, got, id)
		return r
	}
	if sign != "" {
		parts := strings.Split(sign, ".")
		if len(parts) != 3 || parts[1] != fmt.Sprint(resp.StatusCode) || parts[2] != sumOf(append([]byte(id), body...)) {
			r.problem = fmt.Sprintf("MIXED: the answer of %s is not what the instance sent (status %d, %d bytes)", id, resp.StatusCode, len(body))
		}
	}
	var after float64
	fmt.Sscan(resp.Header.Get("Retry-After"), &after)
	r.retryAfter = time.Duration(after * float64(time.Second))
	return r
}
