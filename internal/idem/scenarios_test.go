package idem

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
)

// faultScenarios are sessions of entries a, b, c with epochs of a minute, two kept,
// room for three keys and not quite two large answers. A key is written
// HOME.EPOCH.NAME; a step names the result that it must have, if any. begin2
// comes from another caller, begin3 with another request.
var faultScenarios = []struct{ name, steps string }{
	// A cook logs a tray, the answer is lost on the way, the tablet sends the
	// same key through entry b. b names the home, which replays the answer.
	// Cause: a connection that broke after the run.
	{"lost answer", `a begin a.1.k = run; b begin a.1.k = not-home; a begin a.1.k = join
		a finish a.1.k done; a begin a.1.k = replay`},
	// A booking waits too long in the queue, its caller is told "not run" and
	// books again with a new key. Then an entry that had slept with an earlier
	// try in hand passes it on, and a timer wakes late. If the first key ran
	// now, the client's credit would be spent twice.
	{"late try after release", `a begin a.1.k = run; a release a.1.k; a may a.1.k = false
		a begin a.1.k = spent; a begin a.1.k2 = run; a may a.1.k2 = true`},
	// The table is full and a caller is told "not run". A key is released, and
	// only then a delayed try of the refused key arrives. New keys may run.
	{"late try after full", `a begin a.1.k1 = run; a begin a.1.k2 = run; a begin a.1.k3 = run
		a begin a.1.k4 = full; a release a.1.k1; a begin a.1.k4 = spent; a begin a.1.k5 = run`},
	// The entry sleeps ten minutes in the middle of a booking and its epochs
	// jump. The booking must be there when it wakes, or a retry would run it
	// again. A key that comes first now can't be told from a forgotten one.
	{"pause over many epochs", `a begin a.1.old = run; a finish a.1.old done; a begin a.2.k = from-future
		a at 1m; a begin a.2.k = run; a at 10m; a begin a.2.k = join; a begin a.1.old = expired
		a begin a.2.first = expired; a finish a.2.k done; a begin a.2.k = replay; a keys = 1
		a at 11m; a begin a.2.k = expired; a keys = 0; a at 1m; a epoch = 12`},
	// Somebody presents another's key, or a caller presents its own with
	// another request. Nothing of the first may show, in whatever state, also
	// at a successor: a wrong answer on a tablet is a wrong order tomorrow.
	{"other caller or request", `a begin a.1.k = run; a begin2 a.1.k = mismatch; a begin3 a.1.k = mismatch
		a finish a.1.k done; a begin2 a.1.k = mismatch; a begin3 a.1.k = mismatch; a hand b
		b begin2 a.1.k = mismatch; b begin3 a.1.k = mismatch; b begin a.1.k = replay`},
	// An endpoint goes silent with the request; the caller is told "unknown".
	// The true answer, late, may still be told. Nothing makes the key run
	// again or turns "done" back.
	{"late answer", `a begin a.1.k = run; a finish a.1.k unknown; a release a.1.k; a may a.1.k = false
		a begin a.1.k = outcome-unknown; a finish a.1.k done; a finish a.1.k unknown; a begin a.1.k = replay`},
	// A planned stop with a booking still running. The successor says "not
	// run" only of what never ran, and "unknown" of the running one until a
	// second hand-over. The sealed clock stands still, or the table would
	// forget keys while it is handed over.
	{"planned stop", `a begin a.1.done = run; a finish a.1.done done; a begin a.1.k = run; a begin a.1.gone = run
		a release a.1.gone; a seal; a begin a.1.new = sealed; a at 10m; a epoch = 1; a hand b
		b begin a.1.done = replay; b begin a.1.k = outcome-unknown; b begin a.1.gone = sealed-not-run
		b begin a.1.new = sealed-not-run; b may a.1.k = false; a finish a.1.k done; a hand b; b begin a.1.k = replay`},
	// A part of a hand-over is lost in a partition and another comes twice. A
	// lost key can't be told from one that never began, until the partition
	// heals. What the successor knows goes on to its own successor.
	{"hand-over in parts", `a begin a.1.k1 = run; a begin a.1.k2 = run; a begin a.1.k3 = run
		a part b 0 2; a part b 0 2; b begin a.1.k3 = outcome-unknown; b begin a.1.x = outcome-unknown
		b hand c; c begin a.1.x = outcome-unknown; a part b 2 3; b begin a.1.k3 = outcome-unknown
		b begin a.1.x = sealed-not-run; b hand c; c begin a.1.x = sealed-not-run`},
	// Entries stop within a minute and hand over to the same successor. What
	// does not fit or is too old is forgotten: its callers are told "unknown".
	{"many hand-overs", `a begin a.1.k1 = run; a begin a.1.k2 = run; c begin c.1.k1 = run; c begin c.1.k2 = run
		c begin c.1.k3 = run; a at 3m; a hand b; b begin a.2.x = expired; b begin a.3.x = sealed-not-run
		c hand b; b begin a.1.k1 = not-home; b begin c.1.x = sealed-not-run; b at 2m; b begin c.1.k1 = not-home`},
	// Large answers fill the room for answers. The newest stay, because a
	// caller that lost its answer asks soon. Nothing runs again.
	{"answers too large", `a begin a.1.k1 = run; a finish a.1.k1 large; a begin a.1.k1 = replay
		a begin a.1.k2 = run; a finish a.1.k2 too-large; a begin a.1.k3 = run; a finish a.1.k3 large; a begin a.1.k1 = done-no-answer
		a begin a.1.k2 = done-no-answer; a begin a.1.k3 = replay`},
}

func TestFaultScenarios(t *testing.T) {
	for _, c := range faultScenarios {
		t.Run(c.name, func(t *testing.T) {
			s := scenarioEntries{}
			for step := range strings.FieldsFuncSeq(c.steps, func(r rune) bool { return r == ';' || r == '\n' }) {
				command, want, _ := strings.Cut(step, " = ")
				if got := s.runStep(strings.Fields(command)); got != want {
					t.Fatalf("%s: got %q, want %q", command, got, want)
				}
			}
		})
	}
}

// scenarioEntries holds the entries that a test has named and their clocks.
type scenarioEntries map[string]*scenarioEntry

type scenarioEntry struct {
	*Table
	now time.Duration
}

func (s scenarioEntries) entry(name string) *scenarioEntry {
	if s[name] == nil {
		s[name] = &scenarioEntry{Table: NewTable(Config{Self: uint64(name[0]), EpochLength: time.Minute,
			KeepEpochs: 2, MaxKeys: 3, MaxAnswerBytes: 150, MaxAnswerTotal: 290, MaxAdopted: 4})}
	}
	return s[name]
}

func scenarioKey(text string) Key {
	parts := strings.Split(text, ".")
	epoch, _ := strconv.ParseUint(parts[1], 10, 32)
	k := Key{Home: uint64(parts[0][0]), Epoch: uint32(epoch)}
	copy(k.Random[:], parts[2])
	return k
}

// runStep takes one step and returns its result, or "".
func (s scenarioEntries) runStep(f []string) string {
	n, op, arg := s.entry(f[0]), f[1], append(f[2:], "")[0]
	switch op {
	case "begin":
		return n.Begin(n.now, scenarioKey(arg), 1, Digest{1}).Kind.String()
	case "begin2":
		return n.Begin(n.now, scenarioKey(arg), 2, Digest{1}).Kind.String()
	case "begin3":
		return n.Begin(n.now, scenarioKey(arg), 1, Digest{3}).Kind.String()
	case "may":
		return fmt.Sprint(n.MayDispatch(scenarioKey(arg)))
	case "release":
		n.Release(scenarioKey(arg))
	case "finish":
		result, size := Done, map[string]int{"large": 150, "too-large": 151}[f[3]]
		if f[3] == "unknown" {
			result = Unknown
		}
		n.Finish(scenarioKey(arg), result, &Answer{Body: make([]byte, max(size-answerOverhead, 0))})
	case "at":
		n.now, _ = time.ParseDuration(arg)
		n.Tick(n.now)
	case "seal":
		n.Seal(n.now)
	case "hand":
		to := s.entry(arg)
		to.Adopt(to.now, n.cfg.Self, n.OldestEpoch(), n.Export(), true)
		for _, a := range n.ExportAdopted() {
			to.AdoptPart(to.now, a.Home, a.OldestEpoch, a.Total, a.Records)
		}
	case "part":
		to, all := s.entry(arg), n.Export()
		from, until := int(f[3][0]-'0'), int(f[4][0]-'0')
		to.AdoptPart(to.now, n.cfg.Self, n.OldestEpoch(), len(all), all[from:until])
	case "keys":
		return fmt.Sprint(n.Stats().Keys)
	case "epoch":
		return fmt.Sprint(n.Epoch())
	}
	return ""
}

func TestKeyHasOneTextForm(t *testing.T) {
	k, err := NewKey(0xabc, 7, bytes.NewReader([]byte("0123456789abcdef")))
	const want = "th1.0000000000000abc.7.30313233343536373839616263646566"
	if err != nil || k.String() != want {
		t.Fatalf("got %s, %v", k, err)
	}
	if back, err := ParseKey(want); back != k || err != nil {
		t.Fatalf("got %v, %v", back, err)
	}
	if _, err := NewKey(1, 1, iotest.ErrReader(errors.New("dry"))); fault.KindOf(err) != fault.BadKey {
		t.Errorf("key without random bits: %v", err)
	}
	for _, change := range [][2]string{
		{"th1", "th2"}, {"abc", "ABC"}, {"0000000000000abc", "abc"}, {"0000000000000abc", "0000000000000000"},
		{".7.", ".07."}, {".7.", ".+7."}, {".7.", ".0."}, {".7.", ".."}, {".7.", ".4294967296."}, {".7.", "."},
		{"566", "56"}, {"566", "5666"}, {"566", "56F"}, {"566", "566 "}, {"566", "566.0"},
	} {
		text := strings.Replace(want, change[0], change[1], 1)
		if _, err := ParseKey(text); fault.KindOf(err) != fault.BadKey {
			t.Errorf("%q: got error %v", text, err)
		}
	}
}
