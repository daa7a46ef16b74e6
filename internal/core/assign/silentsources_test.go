package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"pgregory.net/rapid"
)

// pendingAnswer is when a fetch of a simulated entry ends, and whether its source answered.
type pendingAnswer struct {
	fetch    Fetch
	at       time.Duration
	answered bool
}

// Guards against a revision that is late although one of the sources answers, whichever of the
// others, or the configuration service, are silent.
func TestOneSourceThatAnswersIsEnough(t *testing.T) {
	const (
		callTimeout = 3 * time.Second
		tick        = 10 * time.Millisecond
		limit       = 2 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		peers := rapid.IntRange(1, maxSources).Draw(rt, "peers")
		answering := rapid.IntRange(0, peers).Draw(rt, "the one that answers; 0: the configuration service")
		latency := rapid.SampledFrom([]time.Duration{tick, 100 * time.Millisecond, sourcePatience - tick}).Draw(rt, "latency")
		tracker, rng := NewTracker(0, TrackerConfig{}), rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed")))
		mark := message.Mark{Revision: 1, Digest: 1}
		tracker.Settle(mark, true)
		for peer := 1; peer <= peers; peer++ {
			tracker.NotePeerRevision(0, 2, Source{Peer: uint64(peer), Near: rapid.Bool().Draw(rt, "near")})
		}
		var pending []pendingAnswer
		for now := time.Duration(0); tracker.InForce().Revision != 2; now += tick {
			if now > limit+latency {
				rt.Fatalf("not in force after %v", now)
			}
			kept := pending[:0]
			for _, p := range pending {
				if now < p.at {
					kept = append(kept, p)
					continue
				}
				if p.answered {
					tracker.Settle(message.Mark{Revision: 2, Digest: 2}, true)
				}
				tracker.Done(now, p.fetch, p.answered, rng)
			}
			pending = kept
			if f, due := tracker.Next(now, nil, rng); due {
				p := pendingAnswer{f, now + callTimeout, false}
				if f.From == uint64(answering) {
					p.at, p.answered = now+latency, true
				}
				pending = append(pending, p)
			}
		}
	})
}
