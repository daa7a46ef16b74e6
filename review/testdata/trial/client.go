package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	attempt    string
	status     int // 0 if there was no whole answer
	body       string
	signature  string
	retryAfter string
	err        error
	sent       time.Time
	took       time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt on a new connection and waits for its answer as long as the client has time.
func send(addr, method, host, path, body string, budget time.Duration) (r result) {
	r.attempt, r.sent = newID(), time.Now()
	defer func() { r.took = time.Since(r.sent) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	c.SetDeadline(r.sent.Add(budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, r.attempt, budget.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		r.err = err
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return r
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.body = response.StatusCode, strings.TrimSpace(string(data))
	r.signature, r.retryAfter = response.Header.Get("X-Response-Signature"), response.Header.Get("Retry-After")
	return r
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s no answer after %v: %v", r.attempt, r.took.Round(time.Millisecond), r.err)
	}
	return fmt.Sprintf("%s status %d after %v, body %q", r.attempt, r.status, r.took.Round(time.Millisecond), r.body)
}
