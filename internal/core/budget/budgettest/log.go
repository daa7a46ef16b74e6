// Package budgettest checks in tests that the repeats of a fleet stay within their bound.
package budgettest

import (
	"fmt"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// Log records when the requests and the repeats of all entries were sent to a pool.
type Log struct{ requests, repeats []time.Duration }

// Request records a request. Times may not decrease.
func (l *Log) Request(now time.Duration) { l.requests = append(l.requests, now) }

// Repeat records an attempt beyond the first of its request. Times may not decrease.
func (l *Log) Repeat(now time.Duration) { l.repeats = append(l.repeats, now) }

// Repeats returns the number of repeats from a time on.
func (l *Log) Repeats(from time.Duration) int { return count(l.repeats, from, 1<<62) }

// Window is the number of repeats in one window, the requests that they are compared with, and how
// many repeats the bound allows.
type Window struct {
	From              time.Duration
	Repeats, Requests int
	Allowed           float64
}

func (w Window) String() string {
	return fmt.Sprintf("%d repeats from %v on for %d requests, %.1f allowed", w.Repeats, w.From, w.Requests, w.Allowed)
}

// Exceeded reports whether the window has more repeats than the bound allows.
func (w Window) Exceeded() bool { return float64(w.Repeats) > w.Allowed }

// Worst returns the window with the most repeats beyond the bound, or closest to it. Windows begin
// anywhere.
func (l *Log) Worst(bound budget.RepeatBound) (worst Window) {
	const step = 50 * time.Millisecond
	consider := func(from time.Duration) {
		w := l.window(bound, from)
		if worst.Allowed == 0 || float64(w.Repeats)-w.Allowed > float64(worst.Repeats)-worst.Allowed {
			worst = w
		}
	}
	for _, at := range l.repeats {
		consider(at)
		consider(at - bound.Window + 1)
	}
	if n := len(l.repeats); n > 0 {
		for from := l.repeats[0] - bound.Window; from < l.repeats[n-1]; from += step {
			consider(from)
		}
	}
	return worst
}

// window compares the repeats of a window with the requests of that window, of the one before or of
// the one half a window before, whichever has most.
func (l *Log) window(bound budget.RepeatBound, from time.Duration) Window {
	w := Window{From: from, Repeats: count(l.repeats, from, from+bound.Window)}
	for _, earlier := range []time.Duration{0, bound.Window / 2, bound.Window} {
		w.Requests = max(w.Requests, count(l.requests, from-earlier, from-earlier+bound.Window))
	}
	w.Allowed = bound.Share*float64(w.Requests) + bound.Slack
	return w
}

// count returns the number of times in [from, to).
func count(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to)
	return end - first
}
