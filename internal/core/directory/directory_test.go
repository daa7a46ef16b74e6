package directory

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tealhall/tealhall/internal/core/assign"
	"pgregory.net/rapid"
)

// testView returns a view with perDomain entries in each of three failure domains, all serving.
func testView(perDomain int) *View {
	v := &View{Self: 100, Region: "r"}
	for i := range 3 * perDomain {
		e := Entry{Incarnation: uint64(100 + i), Address: fmt.Sprint("10.0.0.", i), Region: "r", Domain: fmt.Sprint("d", i%3)}
		v.Entries = append(v.Entries, e)
		v.Serving = append(v.Serving, e.Incarnation)
	}
	return v
}

const callers = 9000

// firstChoices counts for how many callers, spread evenly over three failure domains, each entry
// comes first, and how many of these entries are in the caller's own domain.
func firstChoices(v *View) (count map[uint64]int, own int) {
	count = make(map[uint64]int)
	for i := range callers {
		req := Request{Service: "s", Caller: assign.Key("caller", fmt.Sprint(i)), Domain: fmt.Sprint("d", i%3)}
		c := v.Answer(req).Entries[0]
		count[c.Incarnation]++
		if c.Domain == req.Domain {
			own++
		}
	}
	return count, own
}

func TestCallersSpreadAndStayInTheirFailureDomain(t *testing.T) {
	v := testView(2)
	count, own := firstChoices(v)
	if own < callers*9/10 {
		t.Errorf("%d of %d callers stay in their failure domain", own, callers)
	}
	for id, n := range count {
		if n < callers/6*9/10 || n > callers/6*11/10 {
			t.Errorf("entry %d comes first for %d callers, want about %d", id, n, callers/6)
		}
	}
}

// Guards against requests that wait at a full entry while others have room: when one failure domain
// gets more callers than it can serve, its callers move to the others.
func TestOverloadedDomainGetsFewerCallers(t *testing.T) {
	v := testView(2)
	before, _ := firstChoices(v)
	for i := range v.Entries {
		if v.Entries[i].Domain == "d0" {
			v.Entries[i].Load = 0.97
		}
	}
	after, _ := firstChoices(v)
	if was, is := before[100]+before[103], after[100]+after[103]; is > was*3/4 {
		t.Errorf("the overloaded failure domain has %d callers, %d before; want at most three quarters", is, was)
	}
	v.Entries[0].Load, v.Entries[3].Load = math.Inf(1), math.NaN()
	for _, c := range v.Answer(Request{Domain: "d0"}).Entries {
		if c.Weight < 1 || c.Weight > MaxWeight {
			t.Errorf("weight %d is out of bounds", c.Weight)
		}
	}
}

// Guards against a second failure right after the first: when an entry leaves, all its callers
// could move to the same other entry and overload it. Their answers must have different entries in
// second place, spread over all entries.
func TestCallersOfRemovedEntrySpread(t *testing.T) {
	v := testView(5)
	second := make(map[uint64]int)
	moved := 0
	for i := range callers {
		req := Request{Service: "s", Caller: assign.Key("caller", fmt.Sprint(i)), Domain: "d0"}
		answer := v.Answer(req)
		if answer.Entries[0].Incarnation != 100 {
			continue
		}
		moved++
		second[answer.Entries[1].Incarnation]++
		v.Entries[0].Leaving = true
		if now := v.Answer(req); now.Entries[0].Incarnation != answer.Entries[1].Incarnation {
			t.Fatalf("caller %d goes to entry %d, but its answer had entry %d in second place", i, now.Entries[0].Incarnation, answer.Entries[1].Incarnation)
		}
		v.Entries[0].Leaving = false
	}
	for id, n := range second {
		if n > moved*2/5 {
			t.Errorf("entry %d gets %d of %d callers", id, n, moved)
		}
	}
}

func TestAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(v *View)
		want   []uint64
	}{
		{"only serving entries if there are enough", func(v *View) { v.Serving = []uint64{100, 101, 102} }, []uint64{100, 101, 102}},
		{"filled up with others if serving entries are few", func(v *View) { v.Serving = []uint64{104}; v.Entries = v.Entries[:5] }, []uint64{100, 101, 104}},
		{"this entry is leaving", func(v *View) { v.Entries = v.Entries[:3]; v.Entries[0].Leaving = true }, []uint64{101, 102}},
		{"another entry is suspected", func(v *View) { v.Entries = v.Entries[:3]; v.Entries[2].Suspected = true }, []uint64{100, 101}},
		{"this entry hears from no other", func(v *View) {
			v.Entries = v.Entries[:3]
			v.Entries[1].Suspected, v.Entries[2].Suspected = true, true
		}, []uint64{100, 101, 102}},
		{"no entry is known", func(v *View) { v.Entries = nil }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := testView(3)
			c.change(v)
			answer := v.Answer(Request{Service: "s", Caller: 5, Domain: "d1"})
			var got []uint64
			for _, choice := range answer.Entries {
				got = append(got, choice.Incarnation)
			}
			slices.Sort(got)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if answer.TTL < DefaultMaxTTL*2/3 || answer.TTL > DefaultMaxTTL || answer.AnsweredBy != 100 {
				t.Errorf("answered by entry %d with a time to live of %v", answer.AnsweredBy, answer.TTL)
			}
		})
	}
}

func TestAnswersHaveEnoughEntriesAndDomains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := testView(rapid.IntRange(1, 6).Draw(rt, "per domain"))
		usable, domains := 0, map[string]bool{}
		for i := range v.Entries {
			e := &v.Entries[i]
			e.Leaving, e.Suspected = rapid.IntRange(0, 3).Draw(rt, "leaving") == 0, rapid.IntRange(0, 3).Draw(rt, "suspected") == 0
			e.Load = rapid.Float64Range(0, 2).Draw(rt, "load")
			if !e.Leaving && !e.Suspected {
				usable++
				domains[e.Domain] = true
			}
		}
		v.Serving = v.Serving[:rapid.IntRange(0, len(v.Serving)).Draw(rt, "serving")]
		got := v.Answer(Request{Caller: rapid.Uint64().Draw(rt, "caller"), Domain: "d1"}).Entries
		seen, found := map[uint64]bool{}, map[string]bool{}
		for _, c := range got {
			e := v.Entries[c.Incarnation-100]
			if seen[c.Incarnation] || e.Leaving || (e.Suspected && usable >= MinDomains) {
				rt.Fatalf("entry %d must not be in the answer", c.Incarnation)
			}
			seen[c.Incarnation], found[c.Domain] = true, true
		}
		if len(got) < min(MinChoices, usable) || len(found) < min(MinDomains, len(domains)) || len(got) > MaxChoices {
			rt.Fatalf("answer has %d entries in %d failure domains, of %d usable entries in %d failure domains", len(got), len(found), usable, len(domains))
		}
	})
}

func BenchmarkAnswer(b *testing.B) {
	v := testView(20)
	v.Serving = v.Serving[:8]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.Answer(Request{Service: "s", Caller: uint64(i), Domain: "d1"})
	}
}

// Guards against callers of a service with fewer entries than an answer has: they would send part
// of their requests to the fallback entries, which choose endpoints without knowing of the others.
// Fallback entries get weight only as far as the serving entries are full.
func TestFallbackEntriesGetNoWeightWhileServingEntriesHaveRoom(t *testing.T) {
	for _, c := range []struct {
		name             string
		load             float64
		fallbackWeighted bool
	}{
		{"room", 0.2, false},
		{"full", 1.0, true},
	} {
		v := View{Region: "r", Serving: []uint64{1}}
		for i := range uint64(4) {
			v.Entries = append(v.Entries, Entry{Incarnation: i + 1, Region: "r", Domain: string(rune('a' + i%2))})
		}
		v.Entries[0].Load = c.load
		answer := v.Answer(Request{Service: "s", Caller: 7, Domain: "b"})
		for _, e := range answer.Entries {
			if serving := e.Incarnation == 1; serving && e.Weight == 0 || !serving && e.Weight > 0 != c.fallbackWeighted {
				t.Errorf("%s: entry %d has weight %d", c.name, e.Incarnation, e.Weight)
			}
		}
		if len(answer.Entries) < MinChoices || answer.Entries[0].Incarnation != 1 {
			t.Errorf("%s: answer is %+v", c.name, answer.Entries)
		}
	}
}
