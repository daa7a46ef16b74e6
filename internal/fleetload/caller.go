package fleetload

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tealhall/tealhall/internal/contract"
)

// caller sends requests over one persistent connection. It does little else, so that the processor
// time of a call is almost only that of the entry and the endpoint.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	// head is the text of a request up to its idempotency key; keys start with keyPrefix.
	head      string
	keyPrefix string
	latency   *hdrhistogram.Histogram
}

// The largest latency, in microseconds, and the number of significant digits that are recorded.
const (
	maxLatency    = int64(10 * time.Second / time.Microsecond)
	latencyDigits = 3
)

// newCaller connects to an entry or an endpoint. With a key prefix, each request is a POST with an
// idempotency key of its own; without one, it is a GET.
func newCaller(address, service, keyPrefix string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	method := http.MethodGet
	if keyPrefix != "" {
		method = http.MethodPost
	}
	return &caller{
		conn:      conn,
		reader:    bufio.NewReader(conn),
		head:      fmt.Sprintf("%s /counts HTTP/1.1\r\nHost: bench\r\n%s: %s\r\n%s: bench\r\n", method, contract.HeaderService, service, contract.HeaderCaller),
		keyPrefix: keyPrefix,
		latency:   hdrhistogram.New(1, maxLatency, latencyDigits),
	}, nil
}

// send writes one request.
func (c *caller) send() error {
	text := c.head
	if c.keyPrefix != "" {
		var random [16]byte
		_, _ = rand.Read(random[:])
		text += contract.HeaderIdempotencyKey + ": " + c.keyPrefix + hex.EncodeToString(random[:]) + "\r\nContent-Length: 0\r\n"
	}
	_, err := io.WriteString(c.conn, text+"\r\n")
	return err
}

// receive reads one answer; a status other than 200 is an error.
func (c *caller) receive() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %s", response.StatusCode, response.Header.Get(contract.HeaderReason))
	}
	return nil
}

// sendPaced sends requests at the interval every until ctx ends, beginning after first. If a call
// takes longer than the interval, the next request follows at once.
func (c *caller) sendPaced(ctx context.Context, first, every time.Duration) error {
	due := time.Now().Add(first)
	for sleep(ctx, time.Until(due)) {
		began := time.Now()
		if err := c.send(); err != nil {
			return err
		}
		if err := c.receive(); err != nil {
			return err
		}
		_ = c.latency.RecordValue(time.Since(began).Microseconds())
		due = due.Add(every)
	}
	return nil
}

// callers is a group of callers that share a rate of calls.
type callers []*caller

func (cs callers) close() {
	for _, c := range cs {
		_ = c.conn.Close()
	}
}

// run sends rate calls a second during window. It returns the cores used, the calls a second that
// were made and the 50th and 99th percentiles of their latency. With a rate of 0 it sends no calls.
func (cs callers) run(ctx context.Context, rate int, window time.Duration) (CallRound, error) {
	ctx, cancel := context.WithTimeout(ctx, window)
	defer cancel()
	m := startMeter()
	var failed error
	var once sync.Once
	var sending sync.WaitGroup
	every := time.Duration(0)
	if rate > 0 {
		every = time.Duration(len(cs)) * time.Second / time.Duration(rate)
	}
	for i, c := range cs {
		c.latency.Reset()
		if rate == 0 {
			continue
		}
		sending.Go(func() {
			if err := c.sendPaced(ctx, time.Duration(i)*every/time.Duration(len(cs)), every); err != nil {
				once.Do(func() { failed = err })
			}
		})
	}
	<-ctx.Done()
	sending.Wait()
	r := CallRound{Cores: m.cores()}
	elapsed := time.Since(m.began).Seconds()
	all := hdrhistogram.New(1, maxLatency, latencyDigits)
	for _, c := range cs {
		all.Merge(c.latency)
	}
	r.Rate = float64(all.TotalCount()) / elapsed
	r.P50, r.P99 = float64(all.ValueAtQuantile(50)), float64(all.ValueAtQuantile(99))
	return r, failed
}

// entriesFor asks an entry which entries the callers of a service in a failure domain should use.
func entriesFor(ctx context.Context, address, service, domain string) ([]contract.EntryAddress, error) {
	query := url.Values{"service": {service}, "caller": {"bench"}, "domain": {domain}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+contract.EntriesPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer contract.EntriesAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Entries) == 0 {
		return nil, fmt.Errorf("no entries for %s", service)
	}
	return answer.Entries, nil
}
