package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// requestOf returns the request with the content from caller 1.
func requestOf(content uint64) Request { return Request{content, 1} }

func crash(content uint64, endpoint int, began, at time.Duration) Crash {
	return Crash{Request: requestOf(content), Endpoint: fmt.Sprint("e", endpoint), Incarnation: 1, Began: began, At: at}
}

func wantVerdicts(t *testing.T, table *Table, now time.Duration, verdicts map[uint64]Verdict) {
	t.Helper()
	for content, verdict := range verdicts {
		if got := table.Verdict(now, requestOf(content)); got != verdict {
			t.Errorf("request %d at %v: verdict %d, want %d", content, now, got, verdict)
		}
	}
}

// Guards against a request that crashes one endpoint after another and is still sent.
func TestThreeSuccessiveCrashesQuarantine(t *testing.T) {
	table := NewTable()
	wantVerdicts(t, table, sec, map[uint64]Verdict{7: Clear})
	for i := range 2 {
		at := time.Duration(i+1) * sec
		if !table.RecordCrash(at, crash(7, i, at-100*ms, at)) || table.RecordCrash(at, crash(7, i, at-100*ms, at)) {
			t.Errorf("crash %d: want it to be new the first time and known the second time", i)
		}
		wantVerdicts(t, table, at, map[uint64]Verdict{7: Suspected, 8: Clear})
	}
	table.RecordCrash(3*sec, crash(7, 2, 2*sec, 3*sec))
	wantVerdicts(t, table, 3*sec, map[uint64]Verdict{7: Quarantined, 8: Clear})
	wantVerdicts(t, table, 3*sec+quarantinePeriod, map[uint64]Verdict{7: Suspected})
	table.RecordCrash(4*sec+quarantinePeriod, crash(7, 3, 3*sec+quarantinePeriod, 4*sec+quarantinePeriod))
	wantVerdicts(t, table, 4*sec+quarantinePeriod, map[uint64]Verdict{7: Quarantined})
	table.Expire(4*sec + quarantinePeriod + crashRetention)
	wantVerdicts(t, table, 4*sec+quarantinePeriod+crashRetention, map[uint64]Verdict{7: Clear})
	if len(table.records) != 0 {
		t.Errorf("%d records are left after Expire", len(table.records))
	}
}

// Guards against a request that stays in quarantine although a later run completed.
func TestCompletedRunEndsQuarantine(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		at := time.Duration(i+1) * sec
		table.RecordCrash(at, crash(7, i, at-100*ms, at))
	}
	if table.RecordCompletion(4*sec, 500*ms, requestOf(7)) {
		t.Error("a run that completed before the first crash cleared crashes")
	}
	wantVerdicts(t, table, 4*sec, map[uint64]Verdict{7: Quarantined})
	if !table.RecordCompletion(4*sec, 3500*ms, requestOf(7)) || table.RecordCompletion(4*sec, 3500*ms, requestOf(7)) || table.RecordCompletion(4*sec, 4*sec, requestOf(8)) {
		t.Error("want only the first report of a completed run to clear crashes")
	}
	wantVerdicts(t, table, 4*sec, map[uint64]Verdict{7: Clear})
	table.RecordCrash(5*sec, crash(7, 9, 4*sec, 5*sec))
	wantVerdicts(t, table, 5*sec, map[uint64]Verdict{7: Suspected})
}

// Guards against the quarantine of a frequent request that was running on many endpoints of a
// failure domain when all of them lost power.
func TestOverlappingCrashesCountOnce(t *testing.T) {
	table := NewTable()
	for i := range 20 {
		table.RecordCrash(2*sec, crash(7, i, time.Duration(i)*ms, sec+time.Duration(i%3)*ms))
	}
	wantVerdicts(t, table, 2*sec, map[uint64]Verdict{7: Suspected})
}

// Guards against the quarantine of a harmless request that ran three times together with a request
// that crashes endpoints.
func TestCrashIsAttributedToMostSuspectedRequest(t *testing.T) {
	table := NewTable()
	for i := range 4 {
		at := time.Duration(i+1) * sec
		table.RecordCrash(at, crash(7, i, at-100*ms, at))
		if i < 3 {
			table.RecordCrash(at, crash(3, i, at-100*ms, at))
		}
	}
	wantVerdicts(t, table, 5*sec, map[uint64]Verdict{7: Quarantined, 3: Clear})
}

// Guards against entries that quarantine different requests after the same events: the verdicts
// must not depend on the order in which an entry learns of the events.
func TestVerdictsDoNotDependOnOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			Crash
			completed bool
		}
		var events []event
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(1, 3000).Draw(t, "at")) * ms
			c := crash(uint64(rapid.IntRange(1, 4).Draw(t, "content")), rapid.IntRange(0, 500).Draw(t, "endpoint"), at-100*ms, at)
			c.Caller = uint64(rapid.IntRange(1, 2).Draw(t, "caller"))
			events = append(events, event{c, rapid.IntRange(0, 5).Draw(t, "completed") == 0})
		}
		learn := func(table *Table, e event) {
			if e.completed {
				table.RecordCompletion(4*sec, e.At, e.Request)
			} else {
				table.RecordCrash(4*sec, e.Crash)
			}
		}
		first, second := NewTable(), NewTable()
		seen := map[string]bool{}
		var set []event
		for _, e := range events { // each endpoint crashes at most once under the same request
			key := fmt.Sprint(e.Endpoint, e.Request, e.completed)
			if !seen[key] {
				seen[key] = true
				set = append(set, e)
			}
		}
		for _, e := range set {
			learn(first, e)
		}
		rng := rand.New(rand.NewPCG(1, uint64(len(events))))
		rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
		for _, e := range set {
			learn(second, e)
		}
		for content := uint64(1); content <= 4; content++ {
			for caller := range uint64(3) {
				r := Request{content, caller + 1}
				if a, b := first.Verdict(4*sec, r), second.Verdict(4*sec, r); a != b {
					t.Fatalf("request %v: verdicts %d and %d after the same events", r, a, b)
				}
			}
		}
	})
}

// Guards against a request that crashes endpoints under one caller name after another without being
// quarantined, and against a single caller whose crashes quarantine the content for all callers.
func TestQuarantineForOneCallerAndForAll(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		at := time.Duration(i+1) * sec
		table.RecordCrash(at, crash(7, i, at-100*ms, at))
	}
	verdict := func(content, caller uint64) Verdict { return table.Verdict(4*sec, Request{content, caller}) }
	if verdict(7, 1) != Quarantined || verdict(7, 2) == Quarantined {
		t.Errorf("after crashes under caller 1: verdict %d for caller 1, %d for caller 2", verdict(7, 1), verdict(7, 2))
	}
	c := crash(7, 3, 3500*ms, 3600*ms)
	c.Caller = 2
	table.RecordCrash(4*sec, c)
	if verdict(7, 3) != Quarantined || verdict(8, 3) != Clear {
		t.Errorf("after a crash under caller 2: verdict %d for caller 3, %d for another content", verdict(7, 3), verdict(8, 3))
	}
	table.RecordCompletion(4*sec, 3900*ms, Request{7, 4})
	if verdict(7, 3) != Clear || verdict(7, 1) != Quarantined {
		t.Errorf("after a run for caller 4 completed: verdict %d for caller 3, %d for caller 1", verdict(7, 3), verdict(7, 1))
	}
}

// Guards against callers that fill the memory with requests, and against a quarantined request
// whose record is evicted in favour of theirs.
func TestMemoryIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		at := time.Duration(i+1) * sec
		table.RecordCrash(at, crash(7, i, at-100*ms, at))
	}
	for i := range uint64(maxRecords) {
		table.RecordCrash(4*sec, crash(1000+i, int(i), 3*sec, 4*sec))
	}
	for i := range 2 * maxCrashes {
		at := 5*sec + time.Duration(i)*100*ms
		table.RecordCrash(at, crash(7, 100_000+i, at-50*ms, at))
	}
	if len(table.records) != maxRecords || len(table.Crashes(requestOf(7))) != maxCrashes {
		t.Errorf("%d records, %d crashes of one request", len(table.records), len(table.Crashes(requestOf(7))))
	}
	wantVerdicts(t, table, 20*sec, map[uint64]Verdict{7: Quarantined})
}

// Guards against quarantine by coincidence: endpoints keep crashing for another reason while they
// run unique requests and frequent ones.
func TestUnrelatedCrashesQuarantineNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		rng := rand.New(rand.NewPCG(3, rapid.Uint64().Draw(t, "seed")))
		for i := range 40 {
			now := time.Duration(i+1) * 700 * ms
			for content := uint64(1); content <= 3; content++ { // each runs on the endpoint and completes elsewhere
				table.RecordCrash(now, crash(content, i, now-time.Duration(rng.IntN(200))*ms, now))
				if table.Verdict(now, requestOf(content)) == Quarantined {
					t.Fatalf("request %d is in quarantine at %v", content, now)
				}
				table.RecordCompletion(now, now+time.Duration(rng.IntN(300))*ms, requestOf(content))
			}
			table.RecordCrash(now, crash(uint64(100+i), i, now-100*ms, now))
		}
		if got := table.Quarantined(30*sec, nil); len(got) != 0 {
			t.Fatalf("in quarantine: %v", got)
		}
	})
}
