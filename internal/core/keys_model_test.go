package core

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/idem"
)

// model drives three entries through faults that rapid draws.
type model struct {
	*clusterHarness
	t    *rapid.T
	cuts map[[2]string]bool
	// asked are the requests of callers, by entry and number.
	asked []asked
}

type asked struct {
	n  *node
	id RequestID
	a  Arrival
}

func (m *model) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, what) }

func (m *model) running() []*node {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return n.dead })
}

func (m *model) someone() *node {
	up := m.running()
	return up[m.pick("entry", len(up))]
}

// react draws what an endpoint, or the way to it, does with a request.
func (m *model) react(string, Arrival) reaction {
	re := reaction{after: time.Duration(1+m.pick("time", 40)) * 25 * ms}
	switch m.pick("endpoint", 12) {
	case 0:
		re.end.Kind = EndNotWritten
	case 1:
		re.head.NotRun, re.head.Status = true, 503
	case 2:
		re.end.Kind = EndLost
	case 3:
		re.end.Kind, re.ignores = EndLost, true
	case 4:
		re.end.Kind = EndTruncated
	case 5:
		re.head.Status = 503
	case 6:
		re.after = time.Hour
	case 7:
		re.head.Status = 500
	}
	return re
}

// send lets a caller send a request: a new one, one that it sent before, or
// another one under a key that was used before.
func (m *model) send() {
	n := m.someone()
	if n.asleep {
		return
	}
	var a Arrival
	binary.LittleEndian.PutUint64(a.Digest[:], uint64(len(m.asked)))
	switch m.pick("request", 10) {
	case 0:
		a.Service, a.Timeout = []string{"photos", "counts"}[m.pick("service", 2)], 3*sec
	case 1, 2, 3:
		a.Service, a.HasKey, a.Key = "waste", true, m.key(m.someone())
	default:
		if len(m.asked) == 0 {
			return
		}
		a = m.asked[len(m.asked)-1-m.pick("earlier", min(len(m.asked), 6))].a
		if !a.HasKey {
			return
		}
		if m.pick("other", 8) == 0 {
			a.Caller++
		}
	}
	if a.HasKey {
		a.Timeout = time.Duration(m.pick("timeout", 3)) * sec
	}
	id := m.sendRequest(n, a)
	m.asked = append(m.asked, asked{n, id, n.arrivals[id]})
}

// disturb lets something fail or be mended.
func (m *model) disturb() {
	n := m.someone()
	switch m.pick("fault", 8) {
	case 0:
		n.asleep = !n.asleep
	case 1:
		m.stop(n)
	case 2:
		n.dead = true
		m.replace(n)
	case 3, 4:
		pair := [2]string{n.hello.Name, m.someone().hello.Name}
		m.cuts[pair] = !m.cuts[pair]
	case 5:
		clear(m.cuts)
	case 6:
		if len(m.asked) > 0 {
			last := m.asked[len(m.asked)-1]
			m.do(last.n, func(now time.Duration, out *Actions) { last.n.CallerGone(now, last.id, out) })
		}
	case 7:
		if len(m.underWay) > 0 { // an older message is overtaken
			l := &m.underWay[m.pick("message", len(m.underWay))]
			l.at = max(l.at, m.now) + time.Duration(m.pick("late", 30))*100*ms
		}
	}
}

func (m *model) replace(n *node) {
	for i, name := range []string{"entry-0", "entry-1", "entry-2"} {
		if n.hello.Name == name {
			m.start(i)
		}
	}
}

// stop is a planned stop that may be cut short at any point, and whose parts of
// the hand-over may be lost, late or doubled.
func (m *model) stop(n *node) {
	if n.asleep {
		return
	}
	m.do(n, func(now time.Duration, out *Actions) { n.Leave(now, "a test", out) })
	m.run(time.Duration(m.pick("leaving", 4)) * 500 * ms)
	n.SealKeys(m.now - n.started)
	m.run(time.Duration(m.pick("sealed", 4)) * 500 * ms)
	for _, part := range n.Handover(1 + m.pick("size", 3)) {
		for _, address := range n.SuccessorAddresses(part.Home) {
			if to := m.nodeAt(address); m.reaches(n, to) && m.pick("lost", 6) > 0 {
				m.post(time.Duration(m.pick("slow", 3)-1)*sec, to, func() {
					m.do(to, func(now time.Duration, out *Actions) { to.Adopt(now, &part, out) })
				})
			}
		}
	}
	m.run(time.Duration(m.pick("handed over", 2)) * 100 * ms)
	m.do(n, func(now time.Duration, out *Actions) { n.Stopped(now, out) })
	m.run(time.Duration(m.pick("stopped", 4)) * 100 * ms)
	m.replace(n)
}

// check compares what callers were told with what endpoints ran.
func (m *model) check() {
	runs := map[idem.Key]int{}
	seen := map[string]bool{}
	for _, q := range m.asked {
		text := body(q.a)
		got, answered := q.n.replies[q.id]
		switch {
		case got.twice:
			m.t.Fatalf("%s was answered twice", text)
		case answered && got.Outcome == OutcomeNotRun && m.ran[text] > 0:
			m.t.Fatalf("%s: told not run (%v by %s), and it ran", text, got.Reason, q.n.hello.Name)
		case answered && got.Outcome == OutcomeDone && got.body != "" && got.body != text:
			m.t.Fatalf("%s got the answer of %s", text, got.body)
		case answered && got.Outcome == OutcomeDone && m.ran[text] == 0:
			m.t.Fatalf("%s: told done, and it never ran", text)
		}
		if q.a.HasKey && !seen[text] {
			seen[text] = true
			runs[q.a.Key] += m.ran[text]
			if runs[q.a.Key] > 1 {
				m.t.Fatalf("%s ran twice", text)
			}
		}
	}
}

// Stewards send waste entries through any entry and send them again when an
// answer is late, while entries sleep, crash, stop as planned, lose each other
// and forget old keys, and endpoints refuse, break off or say nothing. Whatever
// the order: no key runs twice, nobody is told "not run" or "done" of what was
// otherwise, and nobody gets another request's answer.
func TestStatementsHoldThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{clusterHarness: newClusterHarness(t, 0), t: rt, cuts: map[[2]string]bool{}}
		m.tick = 25 * ms
		m.config = func(cfg *Config) {
			cfg.MaxInFlight = 6
			cfg.Keys = idem.Config{Self: cfg.Self.Incarnation, EpochLength: 5 * sec, KeepEpochs: 2, MaxKeys: 6,
				MaxAnswerBytes: 300, MaxAnswerTotal: 900, MaxAdopted: 8}
		}
		m.cut = func(from, to *node) bool { return m.cuts[[2]string{from.hello.Name, to.hello.Name}] }
		m.endpoint = m.react
		m.dial = func() time.Duration { return []time.Duration{lag, lag, lag, 400 * ms, 3 * sec}[m.pick("dial", 5)] }
		m.republish(1, "[profile.waste]", "[profile.waste]\nretry_budget = 1", "[profile.photos]", "[profile.photos]\nretry_budget = 1")
		for i := range 3 {
			m.start(i)
		}
		m.publishVMs(1, "waste/w1", "waste/w2", "shared/s1", "counts/c1")
		m.run(sec)
		for range 60 {
			if m.pick("step", 4) == 0 {
				m.disturb()
			} else {
				m.send()
			}
			m.run(time.Duration(m.pick("wait", 5)) * 100 * ms)
			m.check()
		}
		clear(m.cuts)
		for _, n := range m.nodes {
			n.asleep = false
		}
		m.run(12 * sec)
		m.check()
		for _, q := range m.asked {
			if _, answered := q.n.replies[q.id]; !answered && !q.n.dead {
				if _, there := q.n.requests[q.id]; there {
					rt.Fatalf("%s still waits", body(q.a))
				}
			}
		}
		for _, n := range m.running() {
			if n.InFlight() > 0 || len(n.waiters) > 0 || n.keys.Running() > 0 {
				rt.Fatalf("%s: %d requests, %d keys awaited, %d running", n.hello.Name, n.InFlight(), len(n.waiters), n.keys.Running())
			}
		}
	})
}
