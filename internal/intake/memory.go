// Package intake bounds what a process holds for the clients of its servers: the bytes of requests,
// and the open connections.
package intake

import (
	"container/list"
	"sync"
	"time"
)

// StallTime is how long a request may make no progress before it gives way to another one at a limit.
const StallTime = time.Second

// Memory bounds the bytes that are held of all requests together. At the limit, requests that are being
// received and have made no progress for StallTime give way to others, the one that has waited longest
// first; without such a request, nothing more is held. It is safe for concurrent use. A nil Memory
// bounds nothing.
type Memory struct {
	limit int64
	clock func() time.Duration

	mu   sync.Mutex
	used int64
	// receiving has the parts that may give way, as *Part, the one with the oldest progress first.
	receiving list.List
	stats     MemoryStats
}

// MemoryStats describes a Memory since the start of the process.
type MemoryStats struct {
	// Held is the number of bytes that are held now, and Receiving the number of requests that are
	// being received.
	Held      int64
	Receiving int
	// Denied counts how often nothing more was held, and GivenUp the requests that gave way.
	Denied, GivenUp uint64
}

// NewMemory returns a Memory of limit bytes. The clock returns the time since any fixed moment.
func NewMemory(limit int64, clock func() time.Duration) *Memory {
	return &Memory{limit: limit, clock: clock}
}

// Stats returns the current figures.
func (m *Memory) Stats() MemoryStats {
	if m == nil {
		return MemoryStats{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Held, s.Receiving = m.used, m.receiving.Len()
	return s
}

// Part is what is held of one request. Its methods are safe for concurrent use.
type Part struct {
	memory *Memory
	giveUp func()

	// The fields below are guarded by the lock of the memory.
	held     int64
	progress time.Duration
	// place is the part's place among those that may give way, nil if it has none.
	place *list.Element
	lost  bool
}

// Hold returns a part that never gives way. Release must be called at its end.
func (m *Memory) Hold() *Part { return &Part{memory: m} }

// Receive returns a part of a request that is being received. When it gives way, its bytes count as
// returned and giveUp is called, which must not block. Release must be called at its end.
func (m *Memory) Receive(giveUp func()) *Part {
	p := &Part{memory: m, giveUp: giveUp}
	if m == nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.progress = m.clock()
	p.place = m.receiving.PushBack(p)
	return p
}

// Take adds n bytes, and counts as progress. It reports false, and adds nothing, if there is no room
// or the part has given way.
func (p *Part) Take(n int64) bool {
	m := p.memory
	if m == nil {
		return true
	}
	m.mu.Lock()
	var given []*Part
	ok := !p.lost
	if ok {
		given, ok = m.makeRoom(p, n)
	}
	if ok {
		m.used += n
		p.held += n
		if p.place != nil {
			p.progress = m.clock()
			m.receiving.MoveToBack(p.place)
		}
	} else {
		m.stats.Denied++
	}
	m.mu.Unlock()
	for _, g := range given {
		g.giveUp()
	}
	return ok
}

// makeRoom lets stalled parts other than p give way until n bytes fit. It returns them, and whether
// the bytes fit. The lock must be held.
func (m *Memory) makeRoom(p *Part, n int64) (given []*Part, ok bool) {
	for m.used+n > m.limit {
		victim := m.stalled(p)
		if victim == nil {
			return given, false
		}
		m.drop(victim)
		given = append(given, victim)
	}
	return given, true
}

// stalled returns the part other than p that has waited longest, nil if none is stalled. The lock must
// be held.
func (m *Memory) stalled(p *Part) *Part {
	e := m.receiving.Front()
	if e != nil && e.Value.(*Part) == p {
		e = e.Next()
	}
	if e == nil || m.clock()-e.Value.(*Part).progress < StallTime {
		return nil
	}
	return e.Value.(*Part)
}

// drop makes a part give way. The lock must be held.
func (m *Memory) drop(p *Part) {
	m.used -= p.held
	p.held, p.lost = 0, true
	m.receiving.Remove(p.place)
	p.place = nil
	m.stats.GivenUp++
}

// GiveUpStalled makes the request give way that has made no progress for longest. It reports false if
// none is stalled.
func (m *Memory) GiveUpStalled() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	victim := m.stalled(nil)
	if victim != nil {
		m.drop(victim)
	}
	m.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.giveUp()
	return true
}

// Received records that the request has arrived as far as it is held; it does not give way any more.
// It reports false if the part has given way before.
func (p *Part) Received() bool {
	m := p.memory
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.place != nil {
		m.receiving.Remove(p.place)
		p.place = nil
	}
	return !p.lost
}

// Lost reports whether the part has given way.
func (p *Part) Lost() bool {
	if p.memory == nil {
		return false
	}
	p.memory.mu.Lock()
	defer p.memory.mu.Unlock()
	return p.lost
}

// Release returns all bytes of the part. It may be called more than once.
func (p *Part) Release() {
	m := p.memory
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= p.held
	p.held = 0
	if p.place != nil {
		m.receiving.Remove(p.place)
		p.place = nil
	}
}
