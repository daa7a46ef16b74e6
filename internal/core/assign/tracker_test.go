package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/tealhall/tealhall/internal/message"
	"pgregory.net/rapid"
)

// runTrackerCommand runs one line of a golden file: seconds, command, then key=value pairs and
// flags. Offers are validated at once; those marked bad are invalid. fetches has the latest fetch
// from each source.
func runTrackerCommand(t *testing.T, tr *Tracker, rng *rand.Rand, fetches map[uint64]Fetch, fields []string) string {
	seconds, _ := strconv.ParseFloat(fields[0], 64)
	now := time.Duration(seconds * float64(time.Second))
	args := make(map[string]uint64)
	for _, field := range fields[2:] {
		key, value, _ := strings.Cut(field, "=")
		args[key], _ = strconv.ParseUint(value, 10, 64)
	}
	flag := func(name string) bool { return slices.Contains(fields, name) }
	switch fields[1] {
	case "offer":
		m := message.Mark{Revision: args["rev"], Digest: args["digest"]}
		result := tr.Offer(now, m, args["from"])
		if result == Newer {
			tr.Settle(m, !flag("bad"))
		}
		return fmt.Sprintf("%v, in force %d", result, tr.InForce().Revision)
	case "seen":
		tr.NotePeerRevision(now, args["rev"], Source{Peer: args["from"], Near: flag("near"), Delay: time.Duration(args["delay"]) * time.Millisecond})
	case "caller":
		tr.NoteCallerRevision(now, args["rev"])
	case "next":
		f, due := tr.Next(now, []uint64{31, 32}, rng)
		if !due {
			return "nothing"
		}
		fetches[f.From] = f
		return fmt.Sprintf("ask %d after %d", f.From, f.After)
	case "received":
		tr.Received(now, fetches[args["from"]], 0, !flag("part"))
	case "done":
		tr.Done(now, fetches[args["from"]], !flag("failed"), rng)
	case "ready":
		ready, reason := tr.Ready(now, int(args["peers"]))
		return fmt.Sprintf("%v %s", ready, reason)
	case "pause":
		tr.Pause(now, time.Second)
	default:
		t.Fatalf("unknown command %s", fields[1])
	}
	return ""
}

func TestTrackerScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := NewTracker(0, TrackerConfig{})
		rng, fetches := rand.New(rand.NewPCG(1, 2)), make(map[uint64]Fetch)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				fields := strings.Fields(line)
				if result := runTrackerCommand(t, tr, rng, fetches, fields); result != "" {
					fmt.Fprintf(&b, "%s %s: %s\n", fields[0], fields[1], strings.TrimSpace(result))
				}
			}
			return b.String()
		})
	})
}

// Covers all entries starting again after a power loss: each knows two peers that are still
// starting and have not reported a revision. Where the configuration service never answers with an
// older revision, its confirmation is enough; where it may, or while a peer knows of a newer
// revision, the entry waits.
func TestReadyWhenPlatformConfirmsRevision(t *testing.T) {
	for _, current := range []bool{false, true} {
		tr := NewTracker(0, TrackerConfig{AlwaysCurrent: current})
		m := message.Mark{Revision: 4, Digest: 1}
		tr.Offer(0, m, 31)
		tr.Settle(m, true)
		if ready, _ := tr.Ready(0, 2); ready {
			t.Errorf("always current %v: ready with a peer's revision while another peer has not reported", current)
		}
		tr.NotePeerRevision(0, 5, Source{Peer: 32})
		tr.Offer(0, m, Platform)
		if ready, _ := tr.Ready(0, 3); ready {
			t.Errorf("always current %v: ready although a peer knows of a newer revision", current)
		}
		m.Revision = 5
		tr.Offer(0, m, Platform)
		tr.Settle(m, true)
		if ready, why := tr.Ready(0, 3); ready != current {
			t.Errorf("always current %v: ready is %v after the platform's confirmation: %s", current, ready, why)
		}
	}
}

// Guards against a published setting that changes back. For offers, reports and settlements from
// any source in any order, the revision in force only grows, and its text never changes.
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
				tr.NotePeerRevision(now, m.Revision, Source{Peer: from})
			case 3:
				if f, due := tr.Next(now, []uint64{1, 2}, rng); due {
					tr.Done(now, f, rapid.Bool().Draw(rt, "answered"), rng)
				}
			case 4:
				tr.Pause(now, time.Second)
			}
			got := tr.InForce()
			if got.Revision < before.Revision || got.Revision == before.Revision && got != before {
				rt.Fatalf("the revision in force went from %v to %v", before, got)
			}
			before = got
		}
	})
}

// Guards against entries that all read the list from the configuration service while it changes faster
// than peers pass it on: a peer that gave a later revision than the one in force, though not the latest,
// is asked again.
func TestPeerThatIsBehindIsAskedAgain(t *testing.T) {
	tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, 2))
	now, head := time.Duration(0), uint64(100)
	for range 20 {
		tracker.NotePeerRevision(now, head, Source{Peer: 31})
		f, due := tracker.Next(now, []uint64{31, 32}, rng)
		if !due || f.From != 31 {
			t.Fatalf("at %v the entry asks %d (due %v), want 31", now, f.From, due)
		}
		head += 5
		tracker.NotePeerRevision(now, head, Source{Peer: 31}) // while the fetch is under way
		now += 100 * time.Millisecond
		mark := message.Mark{Revision: head - 5, Digest: head}
		tracker.Settle(mark, tracker.Offer(now, mark, 31) == Newer)
		tracker.Done(now, f, true, rng)
		now += 200 * time.Millisecond
	}
}

// Guards against a starting entry that is never ready while the list changes faster than it can be
// fetched: each time it has the revision that it asked for, a later one exists. It is ready with
// the latest revision that existed when it had heard of enough peers, as a serving entry is.
func TestEntryIsReadyWhileRevisionsFollowEachOther(t *testing.T) {
	tracker := NewTracker(0, TrackerConfig{})
	for peer := range uint64(3) {
		tracker.NotePeerRevision(0, 100, Source{Peer: 10 + peer})
	}
	now, head := time.Duration(0), uint64(100)
	put := func(revision uint64) {
		mark := message.Mark{Revision: revision, Digest: revision}
		if tracker.Offer(now, mark, 10) == Newer {
			tracker.Settle(mark, true)
		}
	}
	put(90)
	if ready, _ := tracker.Ready(now, 3); ready {
		t.Fatal("ready with a revision from before its start")
	}
	for range 20 {
		fetched := head
		head += 5
		now += 200 * time.Millisecond
		tracker.NotePeerRevision(now, head, Source{Peer: 10})
		put(fetched)
		if ready, why := tracker.Ready(now, 3); ready != (fetched >= 100) {
			t.Fatalf("ready %v with revision %d: %s", ready, fetched, why)
		}
	}
}
