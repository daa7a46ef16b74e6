package core

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/idem"
)

// faultModel drives three entries through faults that rapid draws.
type faultModel struct {
	*clusterHarness
	t    *rapid.T
	cuts map[[2]string]bool
	// sent are the requests of callers, by entry and number.
	sent []sentRequest
}

type sentRequest struct {
	n  *node
	id RequestID
	a  Arrival
}

func (m *faultModel) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }

// running returns the entries that are not dead.
func (m *faultModel) running() []*node {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return n.dead })
}

func (m *faultModel) anyEntry() *node {
	up := m.running()
	return up[m.draw("entry", len(up))]
}

// react draws how an endpoint, or the connection to it, reacts to a request.
func (m *faultModel) react(string, Arrival) reaction {
	re := reaction{after: time.Duration(1+m.draw("time", 40)) * 25 * ms}
	switch m.draw("endpoint", 12) {
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

// send sends a caller's request: a new one, one that was sent before, or another one with a key
// that was used before.
func (m *faultModel) send() {
	n := m.anyEntry()
	if n.asleep {
		return
	}
	var a Arrival
	binary.LittleEndian.PutUint64(a.Digest[:], uint64(len(m.sent)))
	switch m.draw("request", 10) {
	case 0:
		a.Service, a.Timeout = []string{"photos", "counts"}[m.draw("service", 2)], 3*sec
	case 1, 2, 3:
		a.Service, a.HasKey, a.Key = "waste", true, m.key(m.anyEntry())
	default:
		if len(m.sent) == 0 {
			return
		}
		a = m.sent[len(m.sent)-1-m.draw("earlier", min(len(m.sent), 6))].a
		if !a.HasKey {
			return
		}
		if m.draw("other", 8) == 0 {
			a.Caller++
		}
	}
	if a.HasKey {
		a.Timeout = time.Duration(m.draw("timeout", 3)) * sec
	}
	id := m.sendRequest(n, a)
	m.sent = append(m.sent, sentRequest{n, id, n.arrivals[id]})
}

// injectFault injects or ends a fault.
func (m *faultModel) injectFault() {
	n := m.anyEntry()
	switch m.draw("fault", 8) {
	case 0:
		n.asleep = !n.asleep
	case 1:
		m.stop(n)
	case 2:
		n.dead = true
		m.replace(n)
	case 3, 4:
		pair := [2]string{n.hello.Name, m.anyEntry().hello.Name}
		m.cuts[pair] = !m.cuts[pair]
	case 5:
		clear(m.cuts)
	case 6:
		if len(m.sent) > 0 {
			last := m.sent[len(m.sent)-1]
			m.do(last.n, func(now time.Duration, out *Actions) { last.n.CallerGone(now, last.id, out) })
		}
	case 7:
		if len(m.deliveries) > 0 { // a message is delayed until newer ones overtake it
			l := &m.deliveries[m.draw("message", len(m.deliveries))]
			l.at = max(l.at, m.now) + time.Duration(m.draw("late", 30))*100*ms
		}
	}
}

// replace starts a new process for the entry of n.
func (m *faultModel) replace(n *node) {
	for i, name := range []string{"entry-0", "entry-1", "entry-2"} {
		if n.hello.Name == name {
			m.start(i)
		}
	}
}

// stop runs a planned stop with random pauses between its steps and replaces the entry. Each part
// of the hand-over goes to all its successors; each of these copies may be lost or late.
func (m *faultModel) stop(n *node) {
	if n.asleep {
		return
	}
	m.do(n, func(now time.Duration, out *Actions) { n.Leave(now, "a test", out) })
	m.run(time.Duration(m.draw("leaving", 4)) * 500 * ms)
	n.SealKeys(m.now - n.started)
	m.run(time.Duration(m.draw("sealed", 4)) * 500 * ms)
	for _, part := range n.Handover(1 + m.draw("size", 3)) {
		for _, address := range n.SuccessorAddresses(part.Home) {
			if to := m.nodeAt(address); m.reaches(n, to) && m.draw("lost", 6) > 0 {
				m.post(time.Duration(m.draw("slow", 3)-1)*sec, to, func() {
					m.do(to, func(now time.Duration, out *Actions) { to.Adopt(now, &part, out) })
				})
			}
		}
	}
	m.run(time.Duration(m.draw("handed over", 2)) * 100 * ms)
	m.do(n, func(now time.Duration, out *Actions) { n.Stopped(now, out) })
	m.run(time.Duration(m.draw("stopped", 4)) * 100 * ms)
	m.replace(n)
}

// checkReplies compares the replies that callers got with the requests that endpoints ran.
func (m *faultModel) checkReplies() {
	runs := map[idem.Key]int{}
	seen := map[string]bool{}
	for _, q := range m.sent {
		text := requestText(q.a)
		got, answered := q.n.replies[q.id]
		switch {
		case got.repliedTwice:
			m.t.Fatalf("%s was answered twice", text)
		case answered && got.Outcome == OutcomeNotRun && m.ran[text] > 0:
			m.t.Fatalf("%s: reported as not run (%v by %s), but it ran", text, got.Reason, q.n.hello.Name)
		case answered && got.Outcome == OutcomeDone && got.body != "" && got.body != text:
			m.t.Fatalf("%s got the answer of %s", text, got.body)
		case answered && got.Outcome == OutcomeDone && m.ran[text] == 0:
			m.t.Fatalf("%s: reported as done, but it never ran", text)
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

// Callers send requests through any entry and send them again when an answer is late. Meanwhile
// entries sleep, crash, stop as planned, lose contact with each other and forget old keys, and
// endpoints refuse, break off or do not answer. Whatever the order: no key runs twice, no request
// is wrongly reported as "not run" or "done", and no caller gets another request's answer.
func TestOutcomesHoldThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &faultModel{clusterHarness: newClusterHarness(t, 0), t: rt, cuts: map[[2]string]bool{}}
		m.tick = 25 * ms
		m.config = func(cfg *Config) {
			cfg.MaxInFlight = 6
			cfg.Keys = idem.Config{Self: cfg.Self.Incarnation, EpochLength: 5 * sec, KeepEpochs: 2, MaxKeys: 6,
				MaxAnswerBytes: 300, MaxAnswerTotal: 900, MaxAdopted: 8}
		}
		m.cut = func(from, to *node) bool { return m.cuts[[2]string{from.hello.Name, to.hello.Name}] }
		m.endpoint = m.react
		m.dial = func() time.Duration { return []time.Duration{lag, lag, lag, 400 * ms, 3 * sec}[m.draw("dial", 5)] }
		m.republish(1, "[profile.waste]", "[profile.waste]\nretry_budget = 1", "[profile.photos]", "[profile.photos]\nretry_budget = 1")
		for i := range 3 {
			m.start(i)
		}
		m.publishVMs(1, "waste/w1", "waste/w2", "shared/s1", "counts/c1")
		m.run(sec)
		for range 60 {
			if m.draw("step", 4) == 0 {
				m.injectFault()
			} else {
				m.send()
			}
			m.run(time.Duration(m.draw("wait", 5)) * 100 * ms)
			m.checkReplies()
		}
		clear(m.cuts)
		for _, n := range m.nodes {
			n.asleep = false
		}
		m.run(12 * sec)
		m.checkReplies()
		for _, q := range m.sent {
			if _, answered := q.n.replies[q.id]; !answered && !q.n.dead {
				if _, there := q.n.requests[q.id]; there {
					rt.Fatalf("%s is still waiting for a reply", requestText(q.a))
				}
			}
		}
		for _, n := range m.running() {
			if n.InFlight() > 0 || len(n.waiters) > 0 || n.keys.Running() > 0 {
				rt.Fatalf("%s: %d requests in flight, %d keys with waiters, %d keys running", n.hello.Name, n.InFlight(), len(n.waiters), n.keys.Running())
			}
		}
	})
}
