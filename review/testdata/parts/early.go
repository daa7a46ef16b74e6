package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the disruption "early": the share of the instances that it affects, the share of the
// long requests that each of these rejects before they are in, and how long it lasts at a time.
const (
	earlyInstances = 0.7
	earlyRequests  = 0.4
	earlyLasts     = 6 * time.Second
	earlyPause     = time.Second
	// earlyLength is how long uploads are sent.
	earlyLength = 42 * time.Second
)

// The uploads: their sizes, and the size of a piece and the time between two of them, which together
// make 10 MB/s.
const (
	leastScan = 1_100_000
	mostScan  = 3_000_000
	piece     = 20_000
	pieceGap  = 2 * time.Millisecond
)

// early plays uploads of more than 1 MiB while instances reject some of them before they have read
// them. Each client sends one upload after the other, on a new connection each.
func early(disturbed bool) (*ledger, []string) {
	f := newFleet(3, []string{"za", "zb", "zc"})
	l := f.ledger
	f.publish(map[string]any{"up": routeOf("/up/", "upload", 0, 400, 1, 2, "field")}, []string{"field"})
	var on atomic.Bool
	const instances = 10
	for n := range instances {
		i := startInstance(l, f.store, "field", []string{"za", "zb", "zc"}[n%3], fmt.Sprintf("i-%02d", n), "", 2, 60*time.Millisecond)
		if float64(n) >= earlyInstances*instances {
			continue
		}
		i.behave = func(*instance, *http.Request) string {
			if on.Load() && rand.Float64() < earlyRequests {
				return answerEarly
			}
			return ""
		}
	}
	f.startAll()
	defer f.stopAll()
	var clients sync.WaitGroup
	end := time.Now().Add(earlyLength)
	for n := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(200+rand.Intn(400)) * time.Millisecond)
				c := &call{method: "POST", host: "a.example", target: fmt.Sprintf("/up/%d", n), kind: "once", budget: 2500 * time.Millisecond,
					body: filler(leastScan + rand.Intn(mostScan-leastScan))}
				cc, err := dialClient(f.entries[rand.Intn(len(f.entries))].caller)
				if err != nil {
					continue
				}
				upload(l, cc, c)
				cc.Close()
			}
		}()
	}
	for disturbed && time.Now().Before(end) {
		on.Store(true)
		time.Sleep(earlyLasts)
		on.Store(false)
		time.Sleep(earlyPause)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return l, l.check()
}

// upload sends an upload at the pace of a client's link and reads the answer.
func upload(l *ledger, cc *clientConn, c *call) {
	id := newID()
	l.send(c, id)
	go func() {
		cc.Write([]byte(c.head(id)))
		for rest := c.body; len(rest) > 0; time.Sleep(pieceGap) {
			n := min(len(rest), piece)
			if _, err := cc.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	l.end(cc.read(c, id, time.Now().Add(c.budget)))
}
