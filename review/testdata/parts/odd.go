package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	// settled is how long the store and the machines are calm before requests are counted.
	settled = 4 * time.Second
	// counted is for how long requests are counted.
	counted = 20 * time.Second
	// leastLater is the number of requests on later routes from which the rule holds.
	leastLater = 20
)

// oddItem is an item of another writer: it has the form of an instance's, a service that no config
// names, and the address of an instance.
const oddItem = `{"addr":%q,"info":{"service":"elsewhere","version":"v1","zone":"za","slots":2},"status":{"state":"ready","seq":1,"warmup_left_ms":0}}`

// odd plays requests on a first route and on one that was added later, whose only instance has the
// address that an item of another writer names. The instance runs and is registered all the time.
func odd(disturbed bool) (*ledger, []string) {
	zones := []string{"za", "zb", "zc"}
	f := newFleet(3, zones)
	l := f.ledger
	first := map[string]any{"read": routeOf("/read/", "idempotent", 1000, 250, 2, 2, "reads")}
	f.publish(first, []string{"reads", "orders"})
	for n := range 5 {
		startInstance(l, f.store, "reads", zones[n%3], fmt.Sprintf("i-r%d", n), "", 2, 30*time.Millisecond)
	}
	orders := startInstance(l, f.store, "orders", "zb", "i-orders", "", 2, 30*time.Millisecond)
	f.startAll()
	defer f.stopAll()
	f.publish(map[string]any{"read": first["read"], "book": routeOf("/book/", "non_idempotent", 1200, 300, 1, 2, "orders")}, []string{"reads", "orders"})
	l.note("a route to orders was added")
	time.Sleep(settled)
	if disturbed {
		f.store.put("servers/odd-1", []byte(fmt.Sprintf(oddItem, orders.addr)))
		l.note("another writer wrote an item with the address %s of %s", orders.addr, orders.id)
		time.Sleep(settled)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(counted)
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+rand.Intn(200)) * time.Millisecond)
				c := &call{method: "GET", host: "a.example", target: fmt.Sprintf("/read/%d", n), kind: "idempotent", budget: 2 * time.Second}
				if n%2 == 0 {
					c = &call{method: "POST", host: "a.example", target: fmt.Sprintf("/book/%d", n), kind: "once", budget: 2500 * time.Millisecond, body: filler(800)}
				}
				cc, err := dialClient(f.entries[rand.Intn(len(f.entries))].caller)
				if err != nil {
					continue
				}
				cc.do(l, c)
				cc.Close()
			}
		}()
	}
	clients.Wait()
	return l, append(l.check(), l.laterRoutes("GET", "POST")...)
}

// laterRoutes compares the requests on a route that was added later with those on the first one;
// the two have different methods.
func (l *ledger) laterRoutes(first, later string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := map[string]float64{}, map[string]float64{}
	for _, s := range l.sent {
		sent[s.method]++
		if s.status == 200 {
			served[s.method]++
		}
	}
	fmt.Printf("served on the first route %v of %v, on the later one %v of %v\n", served[first], sent[first], served[later], sent[later])
	if sent[later] < leastLater || sent[first] == 0 || served[later]/sent[later] >= served[first]/sent[first]/4 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %v of %v requests on a route that was added later were served, %v of %v on the first one",
		served[later], sent[later], served[first], sent[first])}
}
