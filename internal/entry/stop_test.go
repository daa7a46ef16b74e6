package entry_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/demo"
	"github.com/tealhall/tealhall/internal/entry"
	users "github.com/tealhall/tealhall/platform"
)

// An operator loses patience with a long upload and sends the second signal. The
// stop ends at once, says how many requests it cuts, and the caller sees that
// its upload was not answered. Nothing of any entry is left running, also of
// those that were stopped or killed while they started.
func TestQuickStopSaysWhatItCutsAndLeavesNothing(t *testing.T) {
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
		t.Errorf("%+v: the upload was in flight", summary)
	}
	_ = scan.body.Close()
	if err := <-scan.ends; err == nil {
		t.Error("the upload that was cut off seemed answered")
	}
	if f.audited(e.Name(), "planned stop", "cuts-off") != 1 {
		t.Error("the audit trail doesn't say that requests were cut off")
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

// An entry starts while the configuration service is down and no peer is there.
// It isn't ready and says why. A caller that asks it nevertheless is told that
// its read was not run; of a booking it must not say so, since an earlier try
// may have run elsewhere.
func TestEntryThatKnowsNothing(t *testing.T) {
	f := newFleet(t, 1)
	_, newKey := homeOf(t, f)
	only := f.Entries[0]
	f.RemoveEntry(only)
	only.Kill()
	f.Server.Kill()
	fresh, err := f.AddEntry("fresh", 0)
	if err != nil {
		t.Fatal(err)
	}
	if ready, why := fresh.Ready(); ready || why == "" {
		t.Errorf("ready %v: %q", ready, why)
	}
	newKey("earlier").expect(t, fresh, "unknown", "starting")
	booking{id: "keyless"}.expect(t, fresh, "not-run", "starting")
}

// A tablet closed a tray through an entry that had been told to stop 1.6 s before. The endpoint
// took long, and the entry closed the connection 4.2 s after its signal, 1.8 s before it would
// have been killed: the steward logged the waste again. The time for the requests in flight had
// been worked out beside the stop's own steps, which took 1.5 s less than it supposed.
func TestStopWaitsForAnswersUntilItsGraceTimeEnds(t *testing.T) {
	t.Parallel() // it mostly waits
	const grace = 6 * time.Second
	f := newFleet(t, 1, func(cfg *demo.FleetConfig) {
		cfg.Adjust = users.Terms{StopWithin: grace, AnswersTTL: 5 * time.Second}.Apply
	})
	e := f.Entries[0]
	scan := startUpload(t, f, e, "scan")
	f.RemoveEntry(e)
	summary := e.Stop(t.Context())
	_ = scan.body.Close()
	if summary.Cut != 1 {
		t.Errorf("%+v: the upload was in flight", summary)
	}
	if least := grace * 5 / 6; summary.Took < least {
		t.Errorf("the stop took %v and cut off an upload that may take %v", summary.Took, least)
	}
}
