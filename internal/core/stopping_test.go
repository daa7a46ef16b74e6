package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// stoppingHarness returns an entry whose endpoints take 100 ms a request, and which cuts off requests
// after the given time. Routes allow 1.5 s.
func stoppingHarness(t *testing.T, cutOff time.Duration, endpoints int) *entryHarness {
	h := newEntryHarness(t, idleEndpoints(endpoints, "d0")...)
	for _, kind := range route.Kinds() {
		for range 8 {
			id := h.sendRequest(kind, 3*sec)
			h.run(100 * ms)
			h.answer(id, 1, 200)
		}
	}
	h.sent, h.sentAt = nil, nil
	h.serviceTime, h.endpointsQueue = 100*ms, true
	h.do(func(out *Actions) {
		h.Leave(h.now, "a planned stop", out)
		h.SetCutOff(h.now + cutOff)
	})
	return h
}

// checkNothingCut lets time pass until the cut-off. It checks that no attempt runs then, and that each
// request was answered by an endpoint or refused as not run. It returns how many were refused.
func (h *entryHarness) checkNothingCut(left time.Duration) (refused int) {
	h.Helper()
	h.run(left)
	for id, attempts := range h.open {
		if len(attempts) > 0 {
			h.Errorf("request %d is cut off", id)
		}
	}
	for id, reply := range h.replies {
		if reply.Reason != ReasonStopping || reply.Outcome != OutcomeNotRun {
			h.Errorf("request %d was told %v, %v", id, reply.Outcome, reply.Reason)
		}
		if reply.RetryAfter > maxShortRetryDelay {
			h.Errorf("the caller of request %d is told to wait for %v", id, reply.RetryAfter)
		}
	}
	return len(h.replies)
}

// Guards against requests that a stopping entry takes so late that it cuts them off.
func TestStopRefusesRequestsThatItWouldCutOff(t *testing.T) {
	for _, kind := range route.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			const cutOff, lead = 2 * sec, 125 * ms
			h := stoppingHarness(t, cutOff, 4)
			end := h.now + cutOff
			for h.now < end-20*ms {
				id := h.sendRequest(kind, 9*sec)
				h.run(20 * ms)
				if _, refused := h.replies[id]; refused && end-h.now > lead {
					t.Fatalf("request %d was refused %v before the cut-off, though it takes 100 ms", id, end-h.now)
				}
			}
			if refused := h.checkNothingCut(end - h.now); refused < 5 {
				t.Errorf("%d requests were refused", refused)
			}
		})
	}
}

// Guards against a request that is cut off because it waited for room at a stopping entry.
func TestStopRefusesRequestsThatWaitTooLong(t *testing.T) {
	const cutOff = 500 * ms
	h := stoppingHarness(t, cutOff, 1)
	for range 30 {
		h.sendRequest(route.NonIdempotent, 9*sec)
	}
	if refused := h.checkNothingCut(cutOff); refused == 0 || refused == 30 {
		t.Errorf("%d of 30 requests were refused", refused)
	}
}

// Guards against a request that an endpoint refuses late in a stop, and that is then sent to another
// endpoint and cut off there.
func TestStopDoesNotRepeatRequestsThatItWouldCutOff(t *testing.T) {
	const cutOff = 300 * ms
	h := stoppingHarness(t, cutOff, 2)
	h.serviceTime = 0
	id := h.sendRequest(route.NonIdempotent, 9*sec)
	h.run(200 * ms)
	h.refuse(h.open[id][1], 0)
	if refused := h.checkNothingCut(100 * ms); refused != 1 {
		t.Errorf("%d of 1 requests were refused", refused)
	}
}

// Guards against an attempt that is written late in a stop because it waited for a connection.
func TestStopWithdrawsAttemptsThatAreNotWrittenInTime(t *testing.T) {
	h := stoppingHarness(t, 300*ms, 2)
	h.serviceTime = 0
	id := h.sendRequest(route.NonIdempotent, 9*sec)
	h.run(20 * ms)
	if !h.MaySend(h.now, id, 1) {
		t.Error("the attempt may not be written at once")
	}
	if h.MaySend(h.now+200*ms, id, 1) {
		t.Error("the attempt may be written 80 ms before the cut-off, and takes 100 ms")
	}
}

// Guards against a large upload that is passed on although the rest of its body arrives after the
// cut-off.
func TestStopRefusesUploadsThatArriveTooLate(t *testing.T) {
	const cutOff = sec
	for remaining, want := range map[time.Duration]int{300 * ms: 0, cutOff - 50*ms: 1, 2 * sec: 1} {
		h := stoppingHarness(t, cutOff, 2)
		h.arrive(route.Upload, Arrival{Timeout: 9 * sec, BodyRemaining: remaining})
		if refused := h.checkNothingCut(cutOff); refused != want {
			t.Errorf("the rest arrives after %v: %d requests were refused, want %d", remaining, refused, want)
		}
	}
}

// Guards against a stop that refuses requests that it can answer: their caller gives up before the
// cut-off, or the entry does not stop.
func TestStopTakesRequestsThatEndBeforeItsCutOff(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(2, "d0")...)
	h.serviceTime = 10 * ms
	h.sendRequest(route.NonIdempotent, 9*sec)
	h.run(100 * ms)
	h.do(func(out *Actions) { h.Leave(h.now, "a planned stop", out) })
	h.SetCutOff(h.now + sec)
	h.sendRequest(route.Upload, 900*ms)
	if refused := h.checkNothingCut(sec); refused != 0 {
		t.Errorf("%d requests were refused", refused)
	}
}

// Guards against the longest attempts of a service being forgotten while it has no requests, or
// remembered for ever.
func TestLongestAttemptIsOfRecentOnes(t *testing.T) {
	var l longestAttempt
	l.observe(sec, 3*sec)
	l.observe(2*sec, sec)
	l.observe(time.Hour, 2*sec)
	if got := l.duration(); got != 3*sec {
		t.Errorf("after an hour without requests %v, want 3 s", got)
	}
	for at := time.Hour; at < time.Hour+3*longestWindow; at += sec {
		l.observe(at, sec)
	}
	if got := l.duration(); got != sec {
		t.Errorf("after a minute of shorter ones %v, want 1 s", got)
	}
}
