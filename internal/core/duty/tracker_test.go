package duty

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/tealhall/tealhall/internal/message"
	"pgregory.net/rapid"
)

// trackerSession runs one command of a golden file: offers are validated at
// once, revisions named in "bad" are invalid.
func trackerSession(t *testing.T, tr *Tracker, rng *rand.Rand, d *datadriven.TestData) string {
	var seconds float64
	var rev, digest, from uint64
	d.MaybeScanArgs(t, "at", &seconds)
	d.MaybeScanArgs(t, "rev", &rev)
	d.MaybeScanArgs(t, "digest", &digest)
	d.MaybeScanArgs(t, "from", &from)
	now := time.Duration(seconds * float64(time.Second))
	switch d.Cmd {
	case "offer":
		m := message.Mark{Revision: rev, Digest: digest}
		verdict := tr.Offer(now, m, from)
		if verdict == Adopt {
			tr.Settle(m, !d.HasArg("bad"))
		}
		return fmt.Sprintf("%v, in force %d\n", verdict, tr.InForce().Revision)
	case "seen":
		tr.Seen(now, rev, from)
	case "caller":
		tr.SeenByCaller(now, rev)
	case "next":
		f, due := tr.Next(now, []uint64{31, 32})
		if !due {
			return "nothing\n"
		}
		return fmt.Sprintf("ask %d after %d\n", f.From, f.After)
	case "done":
		tr.Done(now, Fetch{From: from}, !d.HasArg("failed"), rng)
	case "ready":
		var peers int
		d.ScanArgs(t, "peers", &peers)
		ready, reason := tr.Ready(now, peers)
		return strings.TrimSpace(fmt.Sprint(ready, " ", reason)) + "\n"
	case "pause":
		tr.Pause(now, time.Second)
	}
	return ""
}

func TestTrackerSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := NewTracker(0, TrackerConfig{})
		rng := rand.New(rand.NewPCG(1, 2))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return trackerSession(t, tr, rng, d)
		})
	})
}

// A user would see a published setting change back. Whatever is offered, seen
// and settled by whomever in whatever order, the revision in force only grows
// and never changes its text.
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := NewTracker(0, TrackerConfig{})
		rng := rand.New(rand.NewPCG(1, 2))
		var before message.Mark
		for step := range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now := time.Duration(step) * 100 * time.Millisecond
			m := message.Mark{Revision: rapid.Uint64Range(0, 9).Draw(rt, "revision"), Digest: rapid.Uint64Range(0, 1).Draw(rt, "digest")}
			from := rapid.Uint64Range(0, 3).Draw(rt, "from")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				tr.Offer(now, m, from)
				tr.Settle(m, rapid.Bool().Draw(rt, "valid"))
			case 2:
				tr.Seen(now, m.Revision, from)
			case 3:
				if f, due := tr.Next(now, []uint64{1, 2}); due {
					tr.Done(now, f, rapid.Bool().Draw(rt, "answered"), rng)
				}
			case 4:
				tr.Pause(now, time.Second)
			}
			got := tr.InForce()
			if got.Revision < before.Revision || got.Revision == before.Revision && got != before {
				rt.Fatalf("went from %v to %v", before, got)
			}
			before = got
		}
	})
}
