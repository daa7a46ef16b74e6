package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/standin"
	"github.com/tealhall/tealhall/internal/wait"
)

// Rates and sizes of the generated traffic.
const (
	readEvery   = 10 * time.Millisecond
	onceEvery   = 40 * time.Millisecond
	uploadEvery = 250 * time.Millisecond
	readBytes   = 600
	uploadBytes = 300 << 10
	maxInFlight = 64
	// requestTimeout limits one request including its retries.
	requestTimeout = 10 * time.Second
)

// stream sends requests to one service at a steady rate.
type stream struct {
	tally *tally
	from  time.Time
	every time.Duration
	// make returns the n-th request and the expected size of the answer's body.
	make    func(id string, n int) (client.Request, int64)
	callers []*client.Client
}

// streams returns the streams of requests and adds a tally for each.
func (s *session) streams() []*stream {
	build := func(service, kind string, from, every time.Duration, request func(string, int) (client.Request, int64)) *stream {
		t := newTally(service, kind)
		s.tallies = append(s.tallies, t)
		return &stream{tally: t, from: s.began.Add(from), every: every, make: request, callers: s.callers}
	}
	return []*stream{
		build(readService, "read", 0, readEvery, readRequest),
		build(onceService, "once-only write", 0, onceEvery, onceRequest),
		build(uploadService, "upload", uploadsFrom, uploadEvery, uploadRequest),
	}
}

func readRequest(id string, _ int) (client.Request, int64) {
	path := fmt.Sprintf("/trays?%s=%s&%s=%d", standin.IDParameter, id, standin.BytesParameter, readBytes)
	return client.Request{Service: readService, Method: http.MethodGet, Path: path, Header: requestHeader(id)}, readBytes
}

func onceRequest(id string, n int) (client.Request, int64) {
	return client.Request{
		Service: onceService,
		Method:  http.MethodPost,
		Path:    fmt.Sprintf("/entries?%s=%s", standin.IDParameter, id),
		Header:  requestHeader(id),
		Body:    fmt.Appendf(nil, `{"tray": %d, "grams": %d}`, n, 100+n%900),
		Once:    true,
	}, standin.AnswerSize(id)
}

func uploadRequest(id string, n int) (client.Request, int64) {
	return client.Request{
		Service: uploadService,
		Method:  http.MethodPut,
		Path:    fmt.Sprintf("/photos/%d?%s=%s", n, standin.IDParameter, id),
		Header:  requestHeader(id),
		Body:    bytes.Repeat([]byte{byte(n)}, uploadBytes),
	}, standin.AnswerSize(id)
}

// run sends requests until ctx ends and then waits for the answers.
func (s *stream) run(ctx context.Context) {
	wait.For(ctx, time.Until(s.from))
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	tokens := make(chan struct{}, maxInFlight)
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tokens <- struct{}{}
		sent.Go(func() {
			defer func() { <-tokens }()
			s.send(n)
		})
	}
}

// send sends one request and counts its result. It does not use the stream's context, so that the
// end of the stream cancels no request.
func (s *stream) send(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	id := requestID(s.tally.service, n)
	request, size := s.make(id, n)
	s.tally.countSent()
	began := time.Now()
	result, err := s.callers[n%len(s.callers)].Do(ctx, request)
	s.tally.add(id, result, time.Since(began), checkAnswer(id, size, request, result, err))
}

// checkAnswer returns an error if an answer with status 200 is not the answer that the endpoint
// must give to the request. It returns nil for failed requests and for answers with another status.
func checkAnswer(id string, size int64, request client.Request, result client.Result, err error) error {
	if err != nil || result.Status != http.StatusOK {
		return nil
	}
	if result.Outcome != client.Done {
		return fmt.Errorf("the answer to %q has status %d but the outcome is not done", id, result.Status)
	}
	if err := standin.CheckAnswer(result.Body, id, size); err != nil {
		return err
	}
	if len(request.Body) == 0 {
		return nil
	}
	sum := sha256.Sum256(request.Body)
	if got := result.Header.Get(standin.BodyDigestHeader); got != hex.EncodeToString(sum[:]) {
		return fmt.Errorf("the endpoint received a different body for %q than was sent", id)
	}
	return nil
}

// requestID returns the id of the n-th request to a service.
func requestID(service string, n int) string { return fmt.Sprintf("%s-%d", service, n) }
