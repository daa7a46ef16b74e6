package published_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/published"
)

// Guards against entries that regard a list of a restored service as older than the list that they
// have.
func TestRevisionsOfLaterGenerationsAreLater(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		generations := rapid.Uint64Range(1, 1<<18)
		count := rapid.Uint64Range(0, 1<<44-1)
		generation, before, after := generations.Draw(rt, "generation"), count.Draw(rt, "before"), count.Draw(rt, "after")
		old, unsettled, settled := published.InGeneration(generation-1, before), published.Unsettled(published.InGeneration(generation, after)), published.InGeneration(generation, after)
		if old >= unsettled || unsettled >= published.InGeneration(generation, 0) || published.Settled(unsettled) || !published.Settled(settled) {
			rt.Fatalf("%d, %d, %d are not in order", old, unsettled, settled)
		}
		for _, r := range []uint64{unsettled, settled} {
			if published.GenerationOf(r) != generation || published.ServiceRevision(r) != after {
				rt.Fatalf("%d is revision %d of generation %d", r, published.ServiceRevision(r), published.GenerationOf(r))
			}
		}
	})
	for text, revision := range map[string]uint64{"61": 61, "61 of era 3": published.InGeneration(3, 61), "7 of era 1, unsettled": published.Unsettled(published.InGeneration(1, 7))} {
		if got := published.RevisionText(revision); got != text {
			t.Errorf("got %q, want %q", got, text)
		}
	}
}
