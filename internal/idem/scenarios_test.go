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

// faultScenarios are sequences of steps at the entries a, b and c. Their tables keep two epochs of
// a minute each, and have room for three keys and slightly less than two large answers. A key is
// written as HOME.EPOCH.NAME. The required result of a step, if any, follows " = ". In begin2
// another caller uses the key, and in begin3 the caller uses it for another request.
var faultScenarios = []struct{ name, steps string }{
	// The connection breaks after the run and the answer is lost. The caller sends the same key
	// through entry b, which names the home, and the home replays the answer.
	{"lost answer", `a begin a.1.k = run; b begin a.1.k = not-home; a begin a.1.k = join
		a finish a.1.k done; a begin a.1.k = replay`},
	// A write waits too long in the queue. Its caller is told "not run" and sends it again with a
	// new key. Then a suspended entry wakes and forwards an earlier try, and a timer fires late.
	// If the first key ran now, the write would run twice.
	{"late try after release", `a begin a.1.k = run; a release a.1.k; a may a.1.k = false
		a begin a.1.k = spent; a begin a.1.k2 = run; a may a.1.k2 = true`},
	// The table is full and a caller is told "not run". Then another key is released, and a delayed
	// try of the refused key arrives. It must not run, but new keys may.
	{"late try after full", `a begin a.1.k1 = run; a begin a.1.k2 = run; a begin a.1.k3 = run
		a begin a.1.k4 = full; a release a.1.k1; a begin a.1.k4 = spent; a begin a.1.k5 = run`},
	// The entry is suspended for ten minutes while a write runs, and skips many epochs. It must
	// still have the running key, or a retry would run it again. A key of an old epoch that arrives
	// for the first time cannot be distinguished from a dropped one.
	{"pause over many epochs", `a begin a.1.old = run; a finish a.1.old done; a begin a.2.k = from-future
		a at 1m; a begin a.2.k = run; a at 10m; a begin a.2.k = join; a begin a.1.old = expired
		a begin a.2.first = expired; a finish a.2.k done; a begin a.2.k = replay; a keys = 1
		a at 11m; a begin a.2.k = expired; a keys = 0; a at 1m; a epoch = 12`},
	// A caller sends another caller's key, or its own key with another request. Neither may
	// disclose the state or the answer of the first request, also not at a successor.
	{"other caller or request", `a begin a.1.k = run; a begin2 a.1.k = mismatch; a begin3 a.1.k = mismatch
		a finish a.1.k done; a begin2 a.1.k = mismatch; a begin3 a.1.k = mismatch; a hand b
		b begin2 a.1.k = mismatch; b begin3 a.1.k = mismatch; b begin a.1.k = replay`},
	// An endpoint goes silent while it runs the request, and the caller is told "unknown". A late
	// answer may still be replayed. The key must never run again, and "done" must never change.
	{"late answer", `a begin a.1.k = run; a finish a.1.k unknown; a release a.1.k; a may a.1.k = false
		a begin a.1.k = outcome-unknown; a finish a.1.k done; a finish a.1.k unknown; a begin a.1.k = replay`},
	// An entry stops as planned while a write runs. The successor replies "not run" only for keys
	// that never ran, and "unknown" for the running one until a second hand-over. The sealed table
	// stays in its epoch, or it would drop keys during the hand-over.
	{"planned stop", `a begin a.1.done = run; a finish a.1.done done; a begin a.1.k = run; a begin a.1.gone = run
		a release a.1.gone; a seal; a begin a.1.new = sealed; a at 10m; a epoch = 1; a hand b
		b begin a.1.done = replay; b begin a.1.k = outcome-unknown; b begin a.1.gone = sealed-not-run
		b begin a.1.new = sealed-not-run; b may a.1.k = false; a finish a.1.k done; a hand b; b begin a.1.k = replay`},
	// A part of a hand-over is lost in a partition and another one comes twice. Until the partition
	// heals, a lost key cannot be distinguished from one that never began. The successor hands its
	// adopted keys over to its own successor.
	{"hand-over in parts", `a begin a.1.k1 = run; a begin a.1.k2 = run; a begin a.1.k3 = run
		a part b 0 2; a part b 0 2; b begin a.1.k3 = outcome-unknown; b begin a.1.x = outcome-unknown
		b hand c; c begin a.1.x = outcome-unknown; a part b 2 3; b begin a.1.k3 = outcome-unknown
		b begin a.1.x = sealed-not-run; b hand c; c begin a.1.x = sealed-not-run`},
	// Several entries stop within a minute and hand over to the same successor. Keys that do not
	// fit or are too old are dropped, and their callers are told "unknown".
	{"many hand-overs", `a begin a.1.k1 = run; a begin a.1.k2 = run; c begin c.1.k1 = run; c begin c.1.k2 = run
		c begin c.1.k3 = run; a at 3m; a hand b; b begin a.2.x = expired; b begin a.3.x = sealed-not-run
		c hand b; b begin a.1.k1 = not-home; b begin c.1.x = sealed-not-run; b at 2m; b begin c.1.k1 = not-home`},
	// Large answers exceed the room for answers. The newest are kept, because a caller that lost
	// its answer retries soon. No key runs again.
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

// scenarioEntries contains the entries of a scenario by name.
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

// runStep runs one step and returns its result, or "".
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
	if _, err := NewKey(1, 1, iotest.ErrReader(errors.New("no random bits left"))); fault.KindOf(err) != fault.BadKey {
		t.Errorf("NewKey without random bits: got error %v, want kind BadKey", err)
	}
	for _, change := range [][2]string{
		{"th1", "th2"}, {"abc", "ABC"}, {"0000000000000abc", "abc"}, {"0000000000000abc", "0000000000000000"},
		{".7.", ".07."}, {".7.", ".+7."}, {".7.", ".0."}, {".7.", ".."}, {".7.", ".4294967296."}, {".7.", "."},
		{"566", "56"}, {"566", "5666"}, {"566", "56F"}, {"566", "566 "}, {"566", "566.0"},
	} {
		text := strings.Replace(want, change[0], change[1], 1)
		if _, err := ParseKey(text); fault.KindOf(err) != fault.BadKey {
			t.Errorf("ParseKey(%q): got error %v, want kind BadKey", text, err)
		}
	}
}
