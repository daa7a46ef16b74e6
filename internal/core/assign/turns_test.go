package assign

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// turnsFleet replays peers that ask one entry for a value of a given size, in parts.
type turnsFleet struct {
	turns      *Turns
	rate       float64
	size, part int
	linkFreeAt time.Duration
}

// fetchAll lets n peers ask at the same time and returns when each has the value. Peers come back
// when they were told to, and ask for the next part as soon as they have one.
func (f *turnsFleet) fetchAll(n int) []time.Duration {
	got, nextAt, done := make([]int, n), make([]time.Duration, n), make([]time.Duration, n)
	for left := n; left > 0; {
		next := -1
		for peer := range n {
			if done[peer] == 0 && (next < 0 || nextAt[peer] < nextAt[next]) {
				next = peer
			}
		}
		now, part := nextAt[next], min(f.part, f.size-got[next])
		if wait := f.turns.Ask(now, TransferID{Peer: uint64(next + 1), Name: "v"}, f.size, got[next], part); wait > 0 {
			nextAt[next] = now + wait
			continue
		}
		f.linkFreeAt = max(f.linkFreeAt, now) + time.Duration(float64(part)/f.rate*float64(time.Second))
		got[next] += part
		nextAt[next] = f.linkFreeAt + 3*ms
		if got[next] == f.size {
			done[next] = f.linkFreeAt
			left--
		}
	}
	return done
}

// Guards against peers that all get a large value at the same late time, in shares of a slow link: the
// first could pass it on in a tenth of that time.
func TestPeersAreSentLargeValueInTurn(t *testing.T) {
	const rate, size, peers = 1.25e6, 150 << 10, 10
	one := time.Duration(float64(size) / rate * float64(time.Second))
	f := &turnsFleet{turns: NewTurns(rate), rate: rate, size: size, part: 32 << 10}
	done := f.fetchAll(peers)
	for i, at := range done {
		t.Logf("peer %d has the value after %v", i, at)
	}
	if first := done[0]; first > 2*one {
		t.Errorf("the first peer has the value after %v, the link needs %v for one", first, one)
	}
	if last := done[peers-1]; last > 3*peers*one/2 {
		t.Errorf("the last peer has the value after %v, the link needs %v for all", last, peers*one)
	}
	for i := 2; i < peers; i++ {
		if done[i] < done[i-2] {
			t.Errorf("peer %d is served after %v, before peer %d, which asked first", i, done[i], i-2)
		}
	}
}

// Guards against small values, or values on a fast or unknown link, that wait for no reason.
func TestSmallValuesDoNotWait(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		size int
	}{{"small value", 1.25e6, 4 << 10}, {"fast link", 125e6, 150 << 10}, {"unknown link", 0, 1 << 20}} {
		turns := NewTurns(c.rate)
		for peer := range uint64(12) {
			if wait := turns.Ask(0, TransferID{Peer: peer + 1}, c.size, 0, min(c.size, 32<<10)); wait > 0 {
				t.Errorf("%s: peer %d waits %v", c.name, peer, wait)
			}
		}
	}
}

// Guards against a peer that stops in the middle of a transfer, or does not come back, and keeps all
// others waiting.
func TestPeersThatStopKeepNoPlace(t *testing.T) {
	turns := NewTurns(1.25e6)
	const size, part = 300 << 10, 32 << 10
	ask := func(now time.Duration, peer uint64) time.Duration {
		return turns.Ask(now, TransferID{Peer: peer, Name: "v"}, size, 0, part)
	}
	if ask(0, 1) > 0 || ask(0, 2) == 0 || ask(0, 3) == 0 {
		t.Fatal("want the first peer to be sent a part and the others to wait")
	}
	later := longestTurnWait + turnPatience + 50*ms
	if wait := ask(later, 4); wait > 0 {
		t.Errorf("a peer waits %v for peers that have stopped", wait)
	}
	if turns.Waiting() != 0 || turns.Sending() != 1 {
		t.Errorf("%d wait and %d are sent the value", turns.Waiting(), turns.Sending())
	}
}

// Guards against peers that wait forever, and against state that grows with the number of peers that
// ask.
func TestEveryPeerGetsItsTurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(1, 200).Draw(rt, "Mbit/s")) * 1e6 / 8
		f := &turnsFleet{turns: NewTurns(rate), rate: rate, size: rapid.IntRange(1, 1<<20).Draw(rt, "size"), part: 32 << 10}
		peers := rapid.IntRange(1, 100).Draw(rt, "peers")
		done := f.fetchAll(peers)
		most := time.Duration(float64(peers*f.size) / rate * float64(time.Second))
		for peer, at := range done {
			if limit := 2*most + time.Second; at > limit {
				rt.Fatalf("peer %d of %d has the value after %v, want at most %v", peer, peers, at, limit)
			}
		}
		if f.turns.Waiting() > maxWaiting {
			rt.Fatalf("%d places", f.turns.Waiting())
		}
	})
}
