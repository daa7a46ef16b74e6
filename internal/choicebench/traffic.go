package choicebench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"runtime"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/standin"
)

// maxInFlight bounds the requests of the generator, whatever the entries do.
const maxInFlight = 4000

// answerBytes is the size of an answer.
const answerBytes = 128

// traffic is an open-loop Poisson generator.
type traffic struct {
	http *http.Client
	// targets are the addresses that each caller may use.
	targets [][]string
	rate    float64
	// work draws the time that a request needs at its endpoint. It goes with
	// the request, so that all variants serve the same requests.
	work func(*rand.Rand) time.Duration
}

func newTraffic(ctx context.Context, f *demo.Fleet, cfg Config, cell *Cell) (*traffic, error) {
	t := &traffic{
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
		rate: cell.Load * float64(cfg.Endpoints*cfg.Slots) / cfg.Service.Seconds(),
		work: func(rng *rand.Rand) time.Duration { return cell.Scenario.work(cfg.Service, rng) },
	}
	for caller := range cfg.Callers {
		if !cell.Variant.Steered {
			t.targets = append(t.targets, f.Seeds())
			continue
		}
		address, err := t.ask(ctx, f.Seeds()[caller%len(f.Seeds())], caller, cfg.Domains[caller%len(cfg.Domains)])
		if err != nil {
			return nil, err
		}
		t.targets = append(t.targets, []string{address})
	}
	return t, nil
}

// ask returns the entry that a caller is told to use first.
func (t *traffic) ask(ctx context.Context, entry string, caller int, domain string) (string, error) {
	query := url.Values{"service": {service}, "domain": {domain}, "caller": {callerName(caller)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+contract.EntriesPath+"?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	response, err := t.http.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var answer contract.EntriesAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "", err
	}
	if len(answer.Entries) == 0 {
		return "", fmt.Errorf("entry %s names no entry for %s", entry, service)
	}
	return answer.Entries[0].Address, nil
}

func callerName(i int) string { return fmt.Sprintf("caller-%d", i) }

// run sends for the time d. A request's latency counts from when it was due,
// so that no stall is hidden. A nil cell discards the figures.
func (t *traffic) run(ctx context.Context, d time.Duration, seed uint64, cell *Cell) {
	rng := rand.New(rand.NewPCG(seed, 7))
	gate := make(chan struct{}, maxInFlight)
	var under sync.WaitGroup
	begun := time.Now()
	for at := time.Duration(0); at < d && ctx.Err() == nil; at += t.gap(rng) {
		due := begun.Add(at)
		spinUntil(due)
		caller := rng.IntN(len(t.targets))
		work := t.work(rng)
		address := t.targets[caller][rng.IntN(len(t.targets[caller]))]
		gate <- struct{}{}
		under.Add(1)
		go func() {
			defer under.Done()
			ok := t.send(ctx, address, caller, work)
			if cell != nil {
				cell.record(time.Since(due), ok)
			}
			<-gate
		}()
	}
	under.Wait()
}

func (t *traffic) gap(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / t.rate * float64(time.Second))
}

// spinUntil waits without a timer, which would be late by up to a millisecond.
func spinUntil(at time.Time) {
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

func (t *traffic) send(ctx context.Context, address string, caller int, work time.Duration) bool {
	target := fmt.Sprintf("http://%s/?id=x&bytes=%d&%s=%dns", address, answerBytes, standin.WorkParameter, work)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	request.Header.Set(contract.HeaderService, service)
	request.Header.Set(contract.HeaderCaller, callerName(caller))
	response, err := t.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	return err == nil && n == answerBytes && response.StatusCode == http.StatusOK
}
