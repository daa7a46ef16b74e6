package core

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/idem"
)

// sendRequest sends a caller's request to an entry.
func (h *clusterHarness) sendRequest(n *node, a Arrival) RequestID {
	h.nextID++
	a.ID, a.Replayable = h.nextID, true
	if !a.HasKey {
		binary.LittleEndian.PutUint64(a.Digest[8:], uint64(h.nextID)) // makes each request distinct
	}
	n.arrivals[a.ID] = a
	h.do(n, func(now time.Duration, out *Actions) { n.Arrive(now, a, out) })
	return a.ID
}

// requestText returns a text that identifies a request by its service, caller, digest and key.
func requestText(a Arrival) string {
	return fmt.Sprintf("%s caller %d digest %x key %v", a.Service, a.Caller, a.Digest[:16], a.Key)
}

// carryOut carries out one step of a request.
func (h *clusterHarness) carryOut(n *node, d Directive) {
	t := attemptKey{d.ID, d.Attempt}
	answer := reply{Outcome: d.Outcome, Reason: d.Reason, after: d.RetryAfter}
	switch d.Step {
	case StepDispatch:
		n.open[t] = d
		h.post(h.dial(), n, func() { h.write(n, d) })
		h.post(d.Deadline-(h.now-n.started), n, func() { h.end(n, t, End{Kind: EndLost, TimedOut: true}) })
	case StepForward:
		n.open[t] = d
		h.post(lag, n, func() { h.forward(n, d) })
		h.post(d.Deadline-(h.now-n.started), n, func() { h.end(n, t, End{Kind: EndLost, TimedOut: true}) })
	case StepRelay:
		n.open[t] = d
		h.post(lag, n, func() { h.relay(n, d) })
		h.post(d.Deadline-(h.now-n.started), n, func() { h.end(n, t, End{Kind: EndLost, TimedOut: true}) })
	case StepCancel:
		h.post(0, n, func() { h.end(n, t, End{Kind: EndCancelled}) })
	case StepReply:
		h.recordReply(n, d.ID, answer)
	case StepReplay:
		answer.body = string(d.Answer.Body)
		h.recordReply(n, d.ID, answer)
	}
}

// recordReply records the reply to a caller and passes it to the entry that forwarded the request,
// if any.
func (h *clusterHarness) recordReply(n *node, id RequestID, a reply) {
	a.at = h.now
	_, a.repliedTwice = n.replies[id]
	n.replies[id] = a
	if relay := n.relays[id]; relay != nil {
		h.post(lag, n, func() { relay(a) })
	}
}

// write runs at the moment before the first byte of an attempt is sent.
func (h *clusterHarness) write(n *node, d Directive) {
	t := attemptKey{d.ID, d.Attempt}
	if _, open := n.open[t]; !open {
		return
	}
	if state := h.pathsOf(n); state != pathsWork {
		h.failDial(n, d, state)
		return
	}
	if !n.MaySend(h.now-n.started, d.ID, d.Attempt) {
		h.end(n, t, End{Kind: EndNotWritten})
		return
	}
	name, a := nameOf(d.Address), n.arrivals[d.ID]
	re := h.endpoint(name, a)
	h.written[name]++
	if !re.ignores && !re.head.NotRun && re.end.Kind != EndNotWritten {
		h.ran[requestText(a)]++
	}
	h.post(re.after, n, func() { h.answer(n, t, re, requestText(a)) })
}

// answer delivers an endpoint's answer to an entry.
func (h *clusterHarness) answer(n *node, t attemptKey, re reaction, text string) {
	if _, open := n.open[t]; !open {
		return
	}
	end := re.end
	if end.Kind != 0 && end.Kind != EndTruncated {
		h.end(n, t, end)
		return
	}
	re.head.ID, re.head.Attempt = t.id, t.n
	if re.head.Status == 0 {
		re.head.Status = http.StatusOK
	}
	out := h.do(n, func(now time.Duration, out *Actions) { n.Head(now, re.head, out) })
	for _, d := range out.Directives {
		if d.Step == StepCommit && d.ID == t.id {
			if end.Kind == 0 {
				end.Kind = EndComplete
			}
			end.Answer = &idem.Answer{Status: re.head.Status, Body: []byte(text)}
			h.recordReply(n, t.id, reply{Outcome: d.Outcome, body: text})
			h.end(n, t, end)
			return
		}
	}
	end.Kind = EndDiscarded
	if re.head.NotRun {
		end.Kind = EndNotRun
	}
	h.end(n, t, end)
}

// end reports the end of an attempt to an entry.
func (h *clusterHarness) end(n *node, t attemptKey, e End) {
	if _, open := n.open[t]; !open {
		return
	}
	delete(n.open, t)
	e.ID, e.Attempt = t.id, t.n
	e.Replayable = n.arrivals[t.id].Replayable && !e.BodyFailed
	h.do(n, func(now time.Duration, out *Actions) { n.End(now, e, out) })
}

// forward sends a request to another entry and returns that entry's answer.
func (h *clusterHarness) forward(n *node, d Directive) {
	t := attemptKey{d.ID, d.Attempt}
	home := h.nodeAt(d.Address)
	if !h.reaches(n, home) {
		h.end(n, t, End{Kind: EndNotWritten, DialFailed: true})
		return
	}
	a := n.arrivals[d.ID]
	a.Forwarded = true
	h.post(lag, home, func() {
		id := h.nextID + 1
		home.relays[id] = func(answer reply) {
			if !h.reaches(home, n) {
				return
			}
			h.post(0, n, func() { h.relayReply(n, t, answer) })
		}
		h.sendRequest(home, a)
	})
}

// relayReply passes on another entry's answer unchanged.
func (h *clusterHarness) relayReply(n *node, t attemptKey, answer reply) {
	if _, open := n.open[t]; !open {
		return
	}
	head := Head{ID: t.id, Attempt: t.n, Status: http.StatusOK, HomeLost: answer.Reason == ReasonHomeLost}
	end := End{Kind: EndDiscarded}
	out := h.do(n, func(now time.Duration, out *Actions) { n.Head(now, head, out) })
	for _, d := range out.Directives {
		if d.Step == StepCommit && d.ID == t.id {
			h.recordReply(n, t.id, answer)
			end.Kind = EndComplete
		}
	}
	h.end(n, t, end)
}

// newServingCluster starts a fleet and runs it until all entries serve.
func newServingCluster(t testing.TB, entries int, endpoints ...string) *clusterHarness {
	t.Helper()
	h := newClusterHarness(t, entries)
	h.publishVMs(1, endpoints...)
	for range 100 {
		h.run(100 * ms)
		serving := 0
		for _, n := range h.nodes {
			if ready, _ := n.ReadyReason(h.now); ready && n.UsableEntries() == entries {
				serving++
			}
		}
		if serving == entries {
			return h
		}
	}
	for _, n := range h.nodes {
		_, why := n.ReadyReason(h.now)
		t.Errorf("%s: %s, %d usable", n.hello.Name, why, n.UsableEntries())
	}
	t.FailNow()
	return nil
}

// hasNote reports whether a note in an entry's audit trail contains text.
func (n *node) hasNote(text string) bool {
	for _, note := range n.notes {
		if strings.Contains(note.Subject+" "+note.Action+" "+note.Why, text) {
			return true
		}
	}
	return false
}

// key makes a new key whose home is an entry.
func (h *clusterHarness) key(home *node) idem.Key {
	h.keysMade++
	key := idem.Key{Home: home.hello.Incarnation, Epoch: home.keys.Epoch()}
	binary.LittleEndian.PutUint64(key.Random[:], h.keysMade)
	return key
}

// sendTraffic sends requests to the entries in turn while time passes, and returns the replies.
func (h *clusterHarness) sendTraffic(a Arrival, every, d time.Duration) (sent []reply) {
	type request struct {
		n  *node
		id RequestID
	}
	var all []request
	for end := h.now + d; h.now < end; h.run(every) {
		n := h.nodes[len(all)%len(h.nodes)]
		a.Caller = uint64(len(all))
		all = append(all, request{n, h.sendRequest(n, a)})
	}
	h.run(sec)
	for _, q := range all {
		sent = append(sent, q.n.replies[q.id])
	}
	return sent
}

// countReplies returns how many replies have an outcome.
func countReplies(all []reply, o Outcome) (n int) {
	for _, a := range all {
		if a.Outcome == o && a.at > 0 {
			n++
		}
	}
	return n
}

// totalWritten returns how many attempts were written to endpoints whose name begins with prefix.
func (h *clusterHarness) totalWritten(prefix string) (n int) {
	for name, written := range h.written {
		if strings.HasPrefix(name, prefix) {
			n += written
		}
	}
	return n
}
