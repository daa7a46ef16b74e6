package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testClock is a clock that a test sets.
type testClock struct{ now time.Duration }

func (c *testClock) time() time.Duration { return c.now }

// Guards against stalled bodies that keep all memory, so that no other request gets any.
func TestStalledRequestGivesWay(t *testing.T) {
	clock := &testClock{}
	m := NewMemory(100, clock.time)
	var gaveWay []string
	receive := func(name string) *Part { return m.Receive(func() { gaveWay = append(gaveWay, name) }) }
	first, second := receive("first"), receive("second")
	if !first.Take(60) || !second.Take(40) {
		t.Fatal("there was room for both")
	}
	third := receive("third")
	if third.Take(10) || len(gaveWay) > 0 {
		t.Fatalf("a request that has just made progress gave way: %v", gaveWay)
	}
	clock.now += StallTime
	if !third.Take(10) || len(gaveWay) != 1 || gaveWay[0] != "first" {
		t.Fatalf("gave way: %v", gaveWay)
	}
	if !first.Lost() || first.Received() || first.Take(1) {
		t.Error("the request that gave way goes on")
	}
	first.Release()
	if !second.Received() || !third.Received() {
		t.Error("a request that made progress is lost")
	}
	clock.now += StallTime
	if receive("fourth").Take(60) || len(gaveWay) != 1 {
		t.Errorf("a request that has been received gave way: %v", gaveWay)
	}
	if s := m.Stats(); s.Held != 50 || s.GivenUp != 1 || s.Denied != 3 {
		t.Errorf("got %+v", s)
	}
}

// Guards against bytes that are lost or counted twice over any series of events, and against a sum above
// the limit.
func TestMemoryNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		clock := &testClock{}
		m := NewMemory(limit, clock.time)
		held := map[*Part]int64{}
		var parts []*Part
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			clock.now += time.Duration(rapid.Int64Range(0, int64(StallTime)).Draw(t, "wait"))
			if len(parts) == 0 || rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				var p *Part
				if rapid.Bool().Draw(t, "receive") {
					p = m.Receive(func() { held[p] = 0 })
				} else {
					p = m.Hold()
				}
				parts = append(parts, p)
				continue
			}
			p := rapid.SampledFrom(parts).Draw(t, "part")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				p.Release()
				held[p] = 0
			case 1:
				p.Received()
			default:
				if n := rapid.Int64Range(0, 400).Draw(t, "bytes"); p.Take(n) {
					held[p] += n
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if s := m.Stats(); s.Held != sum || sum > limit {
				t.Fatalf("held %d, counted %d, limit %d", sum, s.Held, limit)
			}
		}
	})
}
