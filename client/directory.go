package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
)

// The limits of asking for entries.
const (
	askTimeout     = 2 * time.Second
	maxEntriesBody = 256 << 10
	// avoidFor is how long an entry that failed is tried last.
	avoidFor = 2 * time.Second
)

// directory keeps the entries to use for each service for their time to live.
type directory struct {
	opts Options

	mu      sync.Mutex
	answers map[string]keptAnswer
	avoid   map[string]time.Time
	latest  uint64
}

type keptAnswer struct {
	answer contract.EntriesAnswer
	until  time.Time
}

func newDirectory(opts Options) *directory {
	return &directory{opts: opts, answers: make(map[string]keptAnswer), avoid: make(map[string]time.Time)}
}

// entries returns the entries for a service in the order to try them.
func (d *directory) entries(ctx context.Context, service string) ([]contract.EntryAddress, error) {
	kept, ok := d.kept(service)
	if ok && d.opts.Clock().Before(kept.until) {
		return d.ordered(kept.answer.Entries), nil
	}
	answer, err := d.ask(ctx, service, kept.answer.Entries)
	if err == nil {
		d.keep(service, answer)
		return d.ordered(answer.Entries), nil
	}
	if ok {
		// An answer that has run out is better than none: entries that are
		// gone refuse the connection, which is a safe failure.
		return d.ordered(kept.answer.Entries), nil
	}
	return nil, err
}

func (d *directory) kept(service string) (keptAnswer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.answers[service]
	return k, ok
}

func (d *directory) keep(service string, answer contract.EntriesAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := d.opts.Clock().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
	d.answers[service] = keptAnswer{answer: answer, until: until}
	d.latest = max(d.latest, answer.Revision)
}

func (d *directory) revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// failed remembers that an entry did not answer, so that it is tried last for
// a while.
func (d *directory) failed(entry contract.EntryAddress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	d.avoid[entry.Address] = now.Add(avoidFor)
	for address, until := range d.avoid {
		if until.Before(now) {
			delete(d.avoid, address)
		}
	}
}

// ask gets an answer from the known entries or, failing them, the seeds.
func (d *directory) ask(ctx context.Context, service string, known []contract.EntryAddress) (contract.EntriesAnswer, error) {
	var addresses []string
	for _, e := range known {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, d.opts.Seeds...)
	var last error
	for _, address := range addresses {
		answer, err := d.askOne(ctx, address, service)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return contract.EntriesAnswer{}, last
}

func (d *directory) askOne(ctx context.Context, address, service string) (contract.EntriesAnswer, error) {
	var answer contract.EntriesAnswer
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "domain": {d.opts.Domain}, "caller": {d.opts.Caller}}
	target := "http://" + address + contract.EntriesPath + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, fault.Wrap(err, fault.BadSettings, "give entries' addresses as IP:port", "bad address %q", address)
	}
	resp, err := d.opts.HTTP.Do(req)
	if err != nil {
		return answer, fault.Wrap(err, fault.Unavailable, "check that an entry runs at this address", "entry %s did not answer", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEntriesBody))
	if err != nil {
		return answer, fault.Wrap(err, fault.Truncated, "ask again", "the answer of entry %s broke off", address)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fault.New(fault.Unavailable, "ask another entry", "entry %s answered %d: %s", address, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fault.Wrap(err, fault.BadMessage, "check that a tealhall entry runs at this address", "entry %s gave no list", address)
	}
	if len(answer.Entries) == 0 {
		return answer, fault.New(fault.Unavailable, "ask another entry", "entry %s knows no entry for %s", address, service)
	}
	return answer, nil
}

// ordered returns the entries in the order to try them: first one drawn by
// weight, then the others in the order of the answer, those that just failed
// last.
func (d *directory) ordered(entries []contract.EntryAddress) []contract.EntryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	var good, bad []contract.EntryAddress
	for _, e := range entries {
		if d.avoid[e.Address].After(now) {
			bad = append(bad, e)
			continue
		}
		good = append(good, e)
	}
	moveToFront(good, drawByWeight(good))
	return append(good, bad...)
}

func drawByWeight(entries []contract.EntryAddress) int {
	total := 0.0
	for _, e := range entries {
		total += e.Weight
	}
	drawn := rand.Float64() * total
	for i, e := range entries {
		drawn -= e.Weight
		if drawn < 0 {
			return i
		}
	}
	return 0
}

func moveToFront(entries []contract.EntryAddress, i int) {
	if i <= 0 || i >= len(entries) {
		return
	}
	chosen := entries[i]
	copy(entries[1:i+1], entries[:i])
	entries[0] = chosen
}
