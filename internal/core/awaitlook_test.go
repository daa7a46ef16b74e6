package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/core/budget"
)

// Callers press, the looks that are allowed are spent, and every second endpoint is slow. Requests
// went blindly to whatever looked least used: four of ten late answers of the worst seconds were
// such ones, at endpoints that turned out slow or full. One that can still be in time waits for a
// look.
func TestRequestWaitsForALookRatherThanGoBlindly(t *testing.T) {
	boxes := idle(12, "d0")
	for i := range boxes {
		if i%2 == 1 {
			boxes[i].pace = 500
		}
	}
	y := newYard(t, boxes...)
	y.learn(8)
	y.run(sec)
	looks := budget.NewLooks(2) // 21 a second for 20 requests, of which half find a slow one first
	looks.Request(64)
	for looks.TrySpend(y.now, 12, 1) {
	}
	y.pools["p"].looks = looks
	y.press(50*ms, 2*sec)
	y.run(300 * ms)
	slow := 0
	for _, name := range y.sent {
		if y.box(name).pace == 500 {
			slow++
		}
	}
	if slow > len(y.sent)/4 || len(y.sent) < 38 {
		t.Errorf("%d were sent, %d of them to slow endpoints", len(y.sent), slow)
	}
}
