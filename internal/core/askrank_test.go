package core

import (
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// Two of six VMs stay slow for minutes. An entry that goes on asking them spends a third of
// its looks on them, and with the bound on looks the busy seconds are without any. They
// are asked now and then only, and once they are well they get work again. A VM that is
// slow for one moment, in which it is asked three times, is not taken for one of them.
func TestVMsThatStaySlowAreAskedRarely(t *testing.T) {
	boxes := idle(6, "d0")
	y := newYard(t, boxes...)
	y.learn(12)
	boxes[0].pace, boxes[1].pace = 1200, 1200
	work := func(n int) (looks int) {
		y.looked, y.sent = nil, nil
		for range n {
			id := y.ask(route.Idempotent, 3*sec)
			y.run(100 * ms)
			y.answer(id, 1, 200)
		}
		for _, name := range y.looked {
			if name == boxes[0].name || name == boxes[1].name {
				looks++
			}
		}
		return looks
	}
	work(20)
	if looks := work(50); looks > 15 {
		t.Errorf("%d of %d looks at VMs that stay slow", looks, len(y.looked))
	}
	boxes[0].pace, boxes[1].pace = 100, 100
	work(40)
	if work(40); !slices.Contains(y.sent, boxes[0].name) || !slices.Contains(y.sent, boxes[1].name) {
		t.Errorf("they are well and get nothing: %v", y.sent)
	}
	boxes[2].pace = 500
	e := &y.poolRows[0].Endpoints[2]
	for range 4 {
		y.ask(route.NonIdempotent, 3*sec)
		y.run(20 * ms)
	}
	if got := e.Paces.Lasting(y.now); got != 1 {
		t.Errorf("slow for 80 ms, taken to stay %v times as slow", got)
	}
}
