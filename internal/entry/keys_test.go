package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/client"
	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/standin"
)

// answer is the answer of an entry to one try.
type answer struct {
	outcome, reason, replayed, body string
	err                             error
}

// booking is a request that must run once, as a caller without package client sends it. Its answer
// has size bytes, or one line if size is 0.
type booking struct {
	key, id string
	size    int64
}

func (b booking) answerSize() int64 {
	if b.size > 0 {
		return b.size
	}
	return standin.AnswerSize(b.id)
}

// send makes one try through an entry.
func (b booking) send(ctx context.Context, e *entry.Entry) answer {
	target := fmt.Sprintf("http://%s/bookings?id=%s&bytes=%d", e.CallerAddress(), b.id, b.answerSize())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(b.id))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set(contract.HeaderService, "bookings")
	request.Header.Set(contract.HeaderCaller, "raw")
	request.Header.Set(contract.HeaderRequest, b.id)
	if b.key != "" {
		request.Header.Set(contract.HeaderIdempotencyKey, b.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	h := response.Header
	return answer{h.Get(contract.HeaderOutcome), h.Get(contract.HeaderReason), h.Get(contract.HeaderReplayed), string(body), err}
}

// expect makes one try and compares the outcome and the reason.
func (b booking) expect(t *testing.T, e *entry.Entry, outcome, reason string) {
	t.Helper()
	got := b.send(t.Context(), e)
	if got.err != nil || got.outcome != outcome || got.reason != reason {
		t.Errorf("%s at %s: got outcome %q, reason %q, error %v, want outcome %q, reason %q", b.id, e.Name(), got.outcome, got.reason, got.err, outcome, reason)
	}
}

// expectReplay makes one try, which must return the stored answer of the first run.
func (b booking) expectReplay(t *testing.T, e *entry.Entry) {
	t.Helper()
	got := b.send(t.Context(), e)
	if got.outcome != string(contract.OutcomeDone) || got.replayed != contract.ReplayedValue {
		t.Errorf("%s at %s: outcome %q, reason %q, want a replay", b.id, e.Name(), got.outcome, got.reason)
	} else if err := standin.CheckAnswer([]byte(got.body), b.id, b.answerSize()); err != nil {
		t.Error(err)
	}
}

// homeOf returns an entry that serves bookings, and a function that makes requests with keys for
// it.
func homeOf(t *testing.T, f *fleet) (home *entry.Entry, newKey func(id string) booking) {
	t.Helper()
	response, err := http.Get("http://" + f.Entries[0].CallerAddress() + contract.EntriesPath + "?service=bookings")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var list contract.EntriesAnswer
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil || len(list.Entries) == 0 {
		t.Fatalf("entries for bookings: %+v, error %v", list, err)
	}
	first := list.Entries[0]
	at := slices.IndexFunc(f.Entries, func(e *entry.Entry) bool { return e.Name() == first.Name })
	return f.Entries[at], func(id string) booking {
		key, err := client.NewKey(first.KeyPrefix)
		if err != nil {
			t.Fatal(err)
		}
		return booking{key: key, id: id}
	}
}

func entriesExcept(f *fleet, e *entry.Entry) []*entry.Entry {
	return slices.DeleteFunc(slices.Clone(f.Entries), func(o *entry.Entry) bool { return o == e })
}

func (f *fleet) expectRuns(t *testing.T, b booking, want int) {
	t.Helper()
	if got := f.Ledger.Key(b.key).Runs; got != want {
		t.Errorf("%s ran %d times, want %d", b.id, got, want)
	}
}

// A caller closes its connection. A read must then be cancelled and free its slot, while a request
// with a key runs on. The caller repeats the keyed request through the same and another entry,
// during the run and after it: each try must get the answer of the one run.
func TestKeyedRequestRunsOnceAfterCallerLeaves(t *testing.T) {
	clock := standin.NewManualClock()
	f := newFleet(t, 4, func(cfg *demo.FleetConfig) { cfg.Pools[1].Endpoint.Clock = clock })
	home, newKey := homeOf(t, f)
	b := newKey("left")
	leaving, leave := context.WithCancel(t.Context())
	firstTry := make(chan answer)
	go func() { firstTry <- b.send(leaving, home) }()
	clock.AwaitTimers(2) // the run and its deadline
	leave()
	<-firstTry

	read, cancel := context.WithCancel(t.Context())
	go sendSlowRead(read, home)
	working := func(s standin.EndpointStats) bool { return s.Runs > 0 }
	await(t, "the read runs at an endpoint", func() bool { return f.anyEndpoint("counts", working) })
	cancel()
	cancelled := func(s standin.EndpointStats) bool { return s.CancelledRunning > 0 }
	await(t, "the read is cancelled", func() bool { return f.anyEndpoint("counts", cancelled) })
	if f.anyEndpoint("bookings", cancelled) {
		t.Error("the booking was cancelled when its caller left")
	}

	other := entriesExcept(f, home)[0]
	answers := make(chan answer)
	go func() { answers <- b.send(t.Context(), other) }()
	for _, again := range []*entry.Entry{home, other} {
		go func() { answers <- b.send(t.Context(), again) }()
	}
	clock.Advance(time.Second)
	for range 3 {
		if got := <-answers; got.outcome != string(contract.OutcomeDone) || got.body != b.id+"\n" {
			t.Errorf("a try during the run: %+v", got)
		}
	}
	for _, e := range f.Entries {
		b.expectReplay(t, e)
	}
	f.expectRuns(t, b, 1)
}

func sendSlowRead(ctx context.Context, e *entry.Entry) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.CallerAddress()+"/slow?work=1h", nil)
	request.Header.Set(contract.HeaderService, "counts")
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

func (f *fleet) anyEndpoint(pool string, is func(standin.EndpointStats) bool) bool {
	return slices.ContainsFunc(f.Endpoints, func(e *demo.Endpoint) bool { return e.VM.Pool == pool && is(e.Stats()) })
}

// The stored answers of these bookings take more than one message of a hand-over.
const (
	largeAnswers     = 40
	largeAnswerBytes = 12_000
)

// All entries are replaced one after the other while the caller of a booking still asks for its
// outcome. The home's keys move to its successors and from them to others, and new processes join
// that rank before the entries that have the keys. Each entry must find the answer, and must report
// a key that was never sent as not run.
func TestKeysSurviveReplacementOfEveryEntry(t *testing.T) {
	t.Parallel() // waits most of the time
	f := newFleet(t, 5)
	home, newKey := homeOf(t, f)
	ran, unused, other := newKey("ran"), newKey("unused"), newKey("other")
	ran.expect(t, home, "done", "")
	var large []booking
	for i := range largeAnswers {
		b := newKey(fmt.Sprintf("large-%d", i))
		b.size = largeAnswerBytes
		b.expect(t, home, "done", "")
		large = append(large, b)
	}
	for i, e := range append([]*entry.Entry{home}, entriesExcept(f, home)...) {
		f.stop(t, e)
		f.replace(t, e.Name(), i)
		for _, target := range f.Entries {
			ran.expectReplay(t, target)
			unused.expect(t, target, "not-run", "home-stopped")
			booking{key: ran.key, id: other.id}.expect(t, target, "not-run", "key-mismatch")
		}
		for _, b := range large {
			b.expectReplay(t, f.Entries[i])
		}
	}
	f.expectRuns(t, ran, 1)
	f.expectRuns(t, unused, 0)
}

// The home of a booking is killed. No other entry can know whether the booking ran, so none may
// report that it was not run, nor run it. The same holds for a key that never arrived.
func TestOutcomeUnknownAfterHomeIsKilled(t *testing.T) {
	f := newFleet(t, 3)
	home, newKey := homeOf(t, f)
	ran, unused := newKey("ran"), newKey("unused")
	ran.expect(t, home, "done", "")
	f.RemoveEntry(home)
	home.Kill()
	for _, e := range f.Entries {
		ran.expect(t, e, "unknown", "home-unreachable")
		unused.expect(t, e, "unknown", "home-unreachable")
	}
	f.expectRuns(t, ran, 1)
	f.expectRuns(t, unused, 0)
}

// An entry's VM is lost under load, with bookings in flight at the entry. Callers turn to other
// entries, reads are answered, and no caller gets a wrong outcome for a booking, although the
// outcome may be "unknown".
func TestEntryKilledUnderLoad(t *testing.T) {
	t.Parallel() // waits most of the time
	f := newFleet(t, 5, func(cfg *demo.FleetConfig) {
		cfg.Pools[0].Endpoint.ServiceTime = standin.Constant(20 * time.Millisecond)
		cfg.Pools[1].Endpoint.ServiceTime = standin.Constant(80 * time.Millisecond)
	})
	l := startTraffic(t, f)
	for i := range 2 {
		l.awaitReplies(t, 200)
		home, _ := homeOf(t, f)
		f.RemoveEntry(home)
		home.Kill()
		l.awaitReplies(t, 200)
		f.replace(t, home.Name(), i)
	}
	l.awaitReplies(t, 200)
	reads, bookings := l.finish(t, f)
	if reads.notRun+reads.unknown+bookings.notRun > 0 || bookings.done == 0 {
		t.Errorf("reads %+v, bookings %+v, want every read done, no booking not run and some done", reads, bookings)
	}
}
