package client

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/fault"
)

// Limits of requests for the list of entries.
const (
	fetchTimeout   = 2 * time.Second
	maxEntriesBody = 256 << 10
	// avoidDuration is how long an entry is tried last after it failed.
	avoidDuration = 2 * time.Second
	// refreshRetryDelay is the delay before the next refresh after no entry answered.
	refreshRetryDelay = time.Second
)

// directory caches, for each service, the list of entries to use until its time to live is over.
type directory struct {
	opts Options
	http *http.Client

	mu         sync.Mutex
	services   map[string]*serviceEntries
	avoidUntil map[string]time.Time // by entry address
	// latestRevision is the highest revision that an entry has sent with a list.
	latestRevision uint64
}

// serviceEntries is the cached list of entries for one service.
type serviceEntries struct {
	// refreshing has one element while a goroutine refreshes the list. Other goroutines wait until
	// it is empty.
	refreshing chan struct{}
	entries    []contract.EntryAddress
	// expires is the time from which the list has to be refreshed.
	expires time.Time
}

func newDirectory(opts Options, httpClient *http.Client) *directory {
	return &directory{opts: opts, http: httpClient, services: make(map[string]*serviceEntries), avoidUntil: make(map[string]time.Time)}
}

// entries returns the entries for a service in the order to try them. Of concurrent calls one
// refreshes an expired list and the others wait for it.
func (d *directory) entries(ctx context.Context, service string) ([]contract.EntryAddress, error) {
	s := d.entriesFor(service)
	if list, ok := d.cached(s); ok {
		return list, nil
	}
	select {
	case s.refreshing <- struct{}{}:
		defer func() { <-s.refreshing }()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "allow more time", "the context ended before an entry was asked")
	}
	if list, ok := d.cached(s); ok {
		return list, nil
	}
	return d.refresh(ctx, service, s)
}

func (d *directory) entriesFor(service string) *serviceEntries {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[service]
	if !ok {
		s = &serviceEntries{refreshing: make(chan struct{}, 1)}
		d.services[service] = s
	}
	return s
}

// cached returns the entries of a list that has not expired.
func (d *directory) cached(s *serviceEntries) ([]contract.EntryAddress, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(s.entries) == 0 || !d.opts.Clock().Before(s.expires) {
		return nil, false
	}
	return d.ordered(s.entries), true
}

// refresh requests the entries of a service. If no entry answers, it returns the expired list:
// entries that have stopped refuse the connection, which is a safe failure.
func (d *directory) refresh(ctx context.Context, service string, s *serviceEntries) ([]contract.EntryAddress, error) {
	sent := d.opts.Clock()
	answer, err := d.fetch(ctx, service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && len(s.entries) == 0 {
		return nil, err
	}
	if err != nil {
		s.expires = d.opts.Clock().Add(refreshRetryDelay)
		return d.ordered(s.entries), nil
	}
	s.entries = answer.Entries
	// The entry counts the time to live from its response. Counted from the request, the list
	// cannot expire later here than at the entry.
	s.expires = sent.Add(time.Duration(answer.TTLMillis) * time.Millisecond)
	d.latestRevision = max(d.latestRevision, answer.Revision)
	return d.ordered(s.entries), nil
}

// addresses returns the addresses from which to request a list, in order: the entries of the cached
// lists of all services, beginning with the list that expires last, and then the seeds.
//
// The order guards against a caller whose list for a service has expired and still names an entry
// that has stopped. If the caller requested the new list from that entry on a connection that is
// being closed, the request would break off, although the list for another service names entries
// that serve.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	lists := slices.Collect(maps.Values(d.services))
	slices.SortFunc(lists, func(a, b *serviceEntries) int { return b.expires.Compare(a.expires) })
	var addresses []string
	add := func(address string) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, s := range lists {
		for _, e := range s.entries {
			add(e.Address)
		}
	}
	for _, seed := range d.opts.Seeds {
		add(seed)
	}
	return addresses
}

func (d *directory) revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latestRevision
}

// markFailed records that an entry did not answer, so that it is tried last for avoidDuration. It
// also removes expired records.
func (d *directory) markFailed(entry contract.EntryAddress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	d.avoidUntil[entry.Address] = now.Add(avoidDuration)
	for address, until := range d.avoidUntil {
		if until.Before(now) {
			delete(d.avoidUntil, address)
		}
	}
}

// fetch requests the list from one address after the other until an entry sends one.
func (d *directory) fetch(ctx context.Context, service string) (contract.EntriesAnswer, error) {
	var last error
	for _, address := range d.addresses() {
		answer, err := d.fetchFrom(ctx, address, service)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return contract.EntriesAnswer{}, last
}

func (d *directory) fetchFrom(ctx context.Context, address, service string) (contract.EntriesAnswer, error) {
	var answer contract.EntriesAnswer
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "domain": {d.opts.Domain}, "caller": {d.opts.Caller}}
	target := d.opts.url(address, contract.EntriesPath+"?"+query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, fault.Wrap(err, fault.BadSettings, "give entries' addresses as IP:port", "bad address %q", address)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return answer, fault.Wrap(err, fault.Unavailable, "check that an entry runs at this address", "entry %s did not answer", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEntriesBody))
	if err != nil {
		return answer, fault.Wrap(err, fault.Truncated, "ask again", "the response of entry %s broke off", address)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fault.New(fault.Unavailable, "ask another entry", "entry %s answered %d: %s", address, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fault.Wrap(err, fault.BadMessage, "check that a tealhall entry runs at this address", "entry %s sent no valid list of entries", address)
	}
	if len(answer.Entries) == 0 {
		return answer, fault.New(fault.Unavailable, "ask another entry", "entry %s knows no entry for %s", address, service)
	}
	return answer, nil
}

// ordered returns the entries in the order to try them: first an entry drawn at random by weight,
// then the others in the order of the list, and last the entries that failed recently. The caller
// holds d.mu.
func (d *directory) ordered(entries []contract.EntryAddress) []contract.EntryAddress {
	now := d.opts.Clock()
	var good, bad []contract.EntryAddress
	for _, e := range entries {
		if d.avoidUntil[e.Address].After(now) {
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
