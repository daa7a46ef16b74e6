package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/standin"
)

// pairInterval is the time between pairs of calls.
const pairInterval = 50 * time.Millisecond

// pairedCalls measures the latency that an entry adds to a call. It makes each call twice in a row,
// directly to an endpoint and through an entry to that endpoint, so that both calls run under the
// same load of the machine.
type pairedCalls struct {
	http   *http.Client
	direct string
	entry  string

	mu            sync.Mutex
	count         int
	failed        int
	directLatency *hdrhistogram.Histogram
	entryLatency  *hdrhistogram.Histogram
}

func newPairedCalls(c *http.Client, endpoint, entry string) *pairedCalls {
	return &pairedCalls{http: c, direct: endpoint, entry: entry, directLatency: newHistogram(), entryLatency: newHistogram()}
}

func (p *pairedCalls) run(ctx context.Context) {
	ticker := time.NewTicker(pairInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.pair(n)
		}
	}
}

// pair makes the n-th pair of calls. The order of the two calls alternates from pair to pair.
func (p *pairedCalls) pair(n int) {
	order := []string{p.direct, p.entry}
	if n%2 == 0 {
		order[0], order[1] = order[1], order[0]
	}
	took := make(map[string]time.Duration, len(order))
	for _, address := range order {
		d, err := p.call(address, fmt.Sprintf("pair-%d", n))
		if err != nil {
			p.countFailure()
			return
		}
		took[address] = d
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	_ = p.directLatency.RecordValue(took[p.direct].Microseconds())
	_ = p.entryLatency.RecordValue(took[p.entry].Microseconds())
}

func (p *pairedCalls) countFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
}

func (p *pairedCalls) call(address, id string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/?"+standin.IDParameter+"="+id, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(contract.HeaderService, pairedService)
	began := time.Now()
	response, err := p.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	took := time.Since(began)
	if err != nil {
		return 0, err
	}
	return took, standin.CheckAnswer(body, id, standin.AnswerSize(id))
}

func (p *pairedCalls) report() AddedLatencyReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return AddedLatencyReport{
		Pairs:     p.count,
		Failed:    p.failed,
		DirectP50: quantileLatency(p.directLatency, 50),
		DirectP99: quantileLatency(p.directLatency, 99),
		EntryP50:  quantileLatency(p.entryLatency, 50),
		EntryP99:  quantileLatency(p.entryLatency, 99),
	}
}
