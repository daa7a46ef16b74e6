package entry_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/platform"
)

// An operator sends a second signal while an upload is in flight. The stop must end at once and
// report how many requests it cuts off, and the caller must see that its upload was not answered.
// No goroutine of any entry may be left, including those of entries that are stopped or killed
// while they start.
func TestQuickStopReportsCutRequestsAndLeaksNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	f := newFleet(t, 3)
	e := f.Entries[0]
	scan := startUpload(t, f, e, "scan")
	ctx, secondSignal := context.WithCancel(t.Context())
	stopped := make(chan entry.StopSummary)
	go func() { stopped <- e.Stop(ctx) }()
	awaitRefusal(t, e)
	secondSignal()
	if summary := <-stopped; summary.Cut != 1 {
		t.Errorf("%+v: want one request cut off, the upload in flight", summary)
	}
	_ = scan.body.Close()
	if err := <-scan.result; err == nil {
		t.Error("the upload was cut off, but its caller got an answer")
	}
	if f.auditCount(e.Name(), "planned stop", "cuts-off") != 1 {
		t.Error("no audit record of the requests that were cut off")
	}
	for i := range 10 {
		short, err := f.AddEntry("short", i)
		if err != nil {
			t.Fatal(err)
		}
		f.RemoveEntry(short)
		if i%2 == 0 {
			short.Kill()
			continue
		}
		short.Stop(ctx)
	}
	f.Close()
	http.DefaultClient.CloseIdleConnections()
	await(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
}

// An entry starts while the configuration service is down and there is no peer. It must report that
// it is not ready, and why. It refuses a read as not run; it must not say so for a booking, since
// an earlier try may have run elsewhere.
func TestEntryWithoutConfigurationRefusesRequests(t *testing.T) {
	f := newFleet(t, 1)
	_, newKey := homeOf(t, f)
	known := f.Entries[0]
	f.RemoveEntry(known)
	known.Kill()
	f.Server.Kill()
	fresh, err := f.AddEntry("fresh", 0)
	if err != nil {
		t.Fatal(err)
	}
	if ready, why := fresh.Ready(); ready || why == "" {
		t.Errorf("ready %v, reason %q, want not ready and a reason", ready, why)
	}
	newKey("earlier").expect(t, fresh, "unknown", "starting")
	booking{id: "keyless"}.expect(t, fresh, "not-run", "starting")
}

// A caller sent a write through an entry that had begun its stop 1.6 s before. The endpoint took
// long, and the entry closed the connection 4.2 s after its signal, 1.8 s before it would have been
// killed, so the caller repeated the write. The time for requests in flight had been computed apart
// from the stop's other steps, which took 1.5 s less than assumed.
func TestStopWaitsForAnswersUntilItsGraceTimeEnds(t *testing.T) {
	t.Parallel() // waits most of the time
	const grace = 6 * time.Second
	f := newFleet(t, 1, func(cfg *demo.FleetConfig) {
		cfg.Adjust = platform.Terms{StopWithin: grace, AnswersTTL: 5 * time.Second}.Apply
	})
	e := f.Entries[0]
	scan := startUpload(t, f, e, "scan")
	f.RemoveEntry(e)
	summary := e.Stop(t.Context())
	_ = scan.body.Close()
	if summary.Cut != 1 {
		t.Errorf("%+v: want one request cut off, the upload in flight", summary)
	}
	if least := grace * 5 / 6; summary.Took < least {
		t.Errorf("the stop took %v and cut off an upload that may take %v from the signal", summary.Took, least)
	}
}
