package core

import (
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// warming publishes that the endpoints of pool p are cold for three seconds after their start and
// bear 5.8 requests a second then.
func (y *entryHarness) warming(revision uint64) {
	d := harnessRoutes()
	d.Services[0].Warmup, d.Services[0].WarmupRate = 3000, 5.8
	y.publish(revision, d)
}

// mostInASecond returns the most attempts that an endpoint got in any second.
func (y *entryHarness) mostInASecond(name string) (most int) {
	for i, from := range y.sentAt {
		n := 0
		for j := i; j < len(y.sent) && y.sentAt[j] <= from+sec; j++ {
			if y.sent[j] == name {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// press asks for reads for a while, and endpoints answer each after 40 ms.
func (y *entryHarness) press(every, d time.Duration) {
	y.works = 40 * ms
	for end := y.now + d; y.now < end; {
		y.sendRequest(route.Idempotent, 3*sec)
		y.run(every)
	}
	y.works = 0
}

// An endpoint has become cold. It is idle and all reads would go there: 17 in a second crash it, and
// take those along that it holds. Whoever looks at it learns that it is cold before the first one is
// sent, sends no more than its part, and sends the rest elsewhere; once it is warm it is used as
// before.
func TestColdEndpointGetsWhatItBears(t *testing.T) {
	y := newEntryHarness(t, idle(3, "d0")...)
	y.warming(2)
	y.learn(8)
	y.run(2 * sec)
	cold := y.endpoint("d0-1")
	cold.coldUntil = y.now + 3*sec
	y.press(20*ms, 3*sec)
	if most := y.mostInASecond("d0-1"); most > 4 || most < 2 {
		t.Errorf("it gets %d in a second, an owner may send 3 and 1 more at once", most)
	}
	y.run(200 * ms)
	y.sent, y.sentAt = nil, nil
	y.press(20*ms, sec)
	if warm := y.mostInASecond("d0-1"); warm < 10 {
		t.Errorf("it gets %d in a second once it is warm", warm)
	}
}

// Nobody has room but a cold endpoint, and it has got what it bears: reads wait for it or for the
// others, and none is sent there nevertheless.
func TestNothingIsSentBeyondWhatAColdEndpointBears(t *testing.T) {
	y := newEntryHarness(t, idle(2, "d0")...)
	y.warming(2)
	y.learn(8)
	y.run(2 * sec)
	y.endpoint("d0-0").running = 4
	y.endpoint("d0-1").coldUntil = y.now + 3*sec
	y.press(10*ms, 2*sec)
	if most := y.mostInASecond("d0-1"); most > 4 || most == 0 {
		t.Errorf("it gets %d in a second", most)
	}
	if n := y.mostInASecond("d0-0"); n > 2 {
		t.Errorf("the full one gets %d", n)
	}
}

// An entry has just begun to serve and knows no other entry: all endpoints that come back would
// seem to be its own. It leaves cold ones alone until it has served for a while.
func TestEntryThatHasJustStartedLeavesColdEndpointsAlone(t *testing.T) {
	y := newEntryHarness(t, idle(2, "d0")...)
	y.warming(2)
	y.endpoint("d0-1").coldUntil = y.now + 30*sec
	for y.now < y.servingSince+settling-200*ms {
		y.press(20*ms, 20*ms)
	}
	if n := y.mostInASecond("d0-1"); n > 0 {
		t.Errorf("it got %d within %v of the start", n, settling)
	}
	y.press(20*ms, 2*sec)
	if n := y.mostInASecond("d0-1"); n == 0 {
		t.Error("it gets nothing later on")
	}
}

// The list says that an endpoint is cold, and one that is taken back after an evacuation may be
// cold although nobody says so yet. Nothing is sent there without a look that says more, also where
// looks are not to be had.
func TestEndpointIsTakenForColdUntilItSaysMore(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(y *entryHarness)
	}{
		{"the list says so", func(y *entryHarness) { y.listCold("d0-0") }},
		{"its failure domain is taken back", func(y *entryHarness) {
			y.relist(8, "d0")
			y.relist(9)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newEntryHarness(t, idle(1, "d0")...)
			y.warming(2)
			y.learn(8)
			y.run(2 * sec)
			c.happen(y)
			y.endpoint("d0-0").silent = true
			for range 12 {
				y.sendRequest(route.NonIdempotent, 3*sec)
				y.run(20 * ms)
			}
			if n := y.mostInASecond("d0-0"); n > 2 {
				t.Errorf("%d are sent blindly in 240 ms", n)
			}
			y.endpoint("d0-0").silent = false
			y.run(4 * sec) // those that waited are told, and the silence is forgotten
			y.endpoint("d0-0").running = 0
			y.sent, y.sentAt = nil, nil
			y.press(20*ms, sec)
			if n := y.mostInASecond("d0-0"); n < 10 {
				t.Errorf("it says that it is warm and gets %d in a second", n)
			}
		})
	}
}

// listCold publishes the boxes with one of them cold.
func (y *entryHarness) listCold(name string) {
	list := y.listed(8)
	for i := range list.VMs {
		list.VMs[i].Cold = list.VMs[i].Name == name
	}
	y.offerList(list)
}
