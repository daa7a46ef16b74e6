package main

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// drainWithin is the bound drain_ms.
	drainWithin = 2 * time.Second
	// machines is the number of machines, and killed how many of them are killed at once.
	machines = 14
	killed   = 7
	// downFor is how long these are down, removeAfter how long after the kill the instance is removed,
	// and watchFor how long after the kill its arrivals are watched.
	downFor     = 2 * time.Second
	removeAfter = 100 * time.Millisecond
	watchFor    = 4 * time.Second
	// betweenRounds lets the machines that were killed be in touch again.
	betweenRounds = 6 * time.Second
	rounds        = 5
)

// drain plays the removal of a service's only instance, which goes on serving for a while, while half
// of the machines are killed, those that read the store among them. Clients use the other machines only.
func drain(disturbed bool) (*ledger, []string) {
	f := newFleet(machines, []string{"za", "zb", "zc"})
	l := f.ledger
	f.publish(map[string]any{
		"read": routeOf("/read/", "idempotent", 1000, 250, 2, 2, "reads"),
		"book": routeOf("/book/", "non_idempotent", 1200, 300, 1, 2, "orders"),
	}, []string{"reads", "orders"})
	for n := range 3 {
		startInstance(l, f.store, "reads", "za", fmt.Sprintf("i-r%d", n), "", 2, 30*time.Millisecond)
	}
	f.startAll()
	defer f.stopAll()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	down := map[*entryProc]bool{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.Intn(100)) * time.Millisecond):
				}
				e := f.entries[rand.Intn(len(f.entries))]
				mu.Lock()
				skip := down[e]
				mu.Unlock()
				if skip {
					continue
				}
				cc, err := dialClient(e.caller)
				if err != nil {
					continue
				}
				c := &call{method: "GET", host: "a.example", target: fmt.Sprintf("/read/%d", n), kind: "idempotent", budget: 2 * time.Second}
				if n%2 == 0 {
					c = &call{method: "POST", host: "a.example", target: fmt.Sprintf("/book/%d", n), kind: "once", budget: 2500 * time.Millisecond, body: filler(800)}
				}
				cc.do(l, c)
				cc.Close()
			}
		}()
	}
	var broken []string
	for round := range rounds {
		leaving := startInstance(l, f.store, "orders", "za", fmt.Sprintf("i-o%d", round), "", 4, 30*time.Millisecond)
		time.Sleep(betweenRounds)
		victims := f.readers()
		for _, e := range f.entries {
			if len(victims) < killed && !slices.Contains(victims, e) {
				victims = append(victims, e)
			}
		}
		mu.Lock()
		for _, e := range victims {
			down[e] = true
		}
		mu.Unlock()
		time.Sleep(500 * time.Millisecond) // requests at these machines end
		if disturbed {
			for _, e := range victims {
				l.note("kill %s", e.name)
				e.signal(syscall.SIGKILL)
			}
		}
		began := time.Now()
		time.Sleep(removeAfter)
		leaving.unregister()
		acked := time.Now()
		l.note("%s is removed from the store and goes on serving", leaving.id)
		time.Sleep(time.Until(began.Add(downFor)))
		for _, e := range victims {
			if disturbed {
				<-e.ended
				f.start(e, false)
			}
		}
		time.Sleep(time.Until(began.Add(watchFor)))
		late := l.arrivedAfter(leaving, acked.Add(drainWithin), began.Add(watchFor))
		l.note("%d requests reached it more than drain_ms later, the last request %v after the ack", len(late), l.lastArrival(leaving, acked))
		broken = append(broken, late...)
		time.Sleep(time.Second)
		leaving.end(true)
		mu.Lock()
		clear(down)
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	return l, append(l.check(), broken...)
}

// readers returns the entries that watched the store within a second.
func (f *fleet) readers() (readers []*entryProc) {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range f.entries {
			if e.door.watches.Load() > 0 && !slices.Contains(readers, e) {
				readers = append(readers, e)
			}
		}
	}
	if len(readers) == 0 || len(readers) > killed {
		must(fmt.Errorf("%d entries read the store", len(readers)))
	}
	return readers
}

// unregister removes the instance from the store without a report that it leaves.
func (i *instance) unregister() {
	i.mu.Lock()
	i.silent = true
	i.mu.Unlock()
	i.store.remove("servers/" + i.id)
}

// arrivedAfter returns the requests that reached an instance in a span.
func (l *ledger) arrivedAfter(i *instance, from, to time.Time) (late []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range i.arrivals {
		if a.at.After(from) && a.at.Before(to) {
			late = append(late, fmt.Sprintf("DRAIN: %s reached %s %v after drain_ms", a.id, i.id, a.at.Sub(from).Round(time.Millisecond)))
		}
	}
	return late
}

// lastArrival returns how long after a time the last request reached an instance.
func (l *ledger) lastArrival(i *instance, from time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(i.arrivals) == 0 {
		return 0
	}
	return i.arrivals[len(i.arrivals)-1].at.Sub(from).Round(time.Millisecond)
}
