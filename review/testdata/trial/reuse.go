package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["reuse"] = reusedAddresses }

const (
	reuseBefore  = 6 * time.Second // calm traffic before the disruption
	reuseWithin  = 2 * time.Second // addr_reuse_s
	killAfter    = 300 * time.Millisecond
	downFor      = time.Second
	recoverAfter = 15 * time.Second // recover_s
	reuseAfter   = 20 * time.Second // traffic after recover_s
	reuseBudget  = 4 * time.Second
)

// reusedAddresses: two of six instances crash for good, and after addr_reuse_s their addresses go to an
// instance of the other service each. While the store still lists the dead ones, the processes of all
// entries are killed. From recover_s after they are back, at least a quarter of the requests must be
// served.
func reusedAddresses(env *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	const reads, writes = "huvo11a", "wuno96b"
	write := func(version string) {
		writeConfig(s, version, map[string]route{
			"r-b9wu3fe": {"host": "jepu9.example", "prefix": "/lepu270/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2, "service": reads, "max_attempts": 2},
			"r-xd9dnn2": {"host": "hulo84.example", "prefix": "/xapu221/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": writes, "max_attempts": 2},
		}, reads, writes)
	}
	write("00000007")
	ran := &ledger{}
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	add := func(id, service, addr string, n int) (*instance, error) {
		i := &instance{id: id, service: service, addr: addr, zone: zones[n%len(zones)], slots: 2, work: 60 * time.Millisecond, ledger: ran, log: env.log}
		err := i.start(s)
		env.log.add("instance", id, "of service %s begins at %s", service, i.addr)
		return i, err
	}
	var all []*instance
	for n, id := range []string{"i-81d0aa25", "i-a7c4e019", "i-c35b77f2", "i-d90e16b8", "i-e46a83c1", "i-9f27d54e"} {
		service := reads
		if n == 5 {
			service = writes
		}
		i, err := add(id, service, "", n)
		if err != nil {
			return false, err
		}
		all = append(all, i)
	}
	defer func() {
		for _, i := range all {
			i.end()
		}
	}()
	f, err := newFleet(env.dir, s.addr, zones...)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	if err := f.startAll(true); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	t := startTraffic(env, f)
	time.Sleep(reuseBefore)
	if env.trouble {
		oldRead, oldWrite := all[0], all[5]
		for _, i := range []*instance{oldRead, oldWrite} {
			env.log.add("crash", i.id, "ends for good")
			i.crash()
		}
		time.Sleep(reuseWithin)
		for _, next := range []struct{ id, service, addr string }{{"i-2b6f0c93", writes, oldRead.addr}, {"i-4e18b7da", reads, oldWrite.addr}} {
			i, err := add(next.id, next.service, next.addr, 0)
			if err != nil {
				return false, err
			}
			all = append(all, i)
		}
		all = append(all[1:5:5], all[6:]...)
	} else {
		time.Sleep(reuseWithin)
	}
	time.Sleep(killAfter)
	write("0000000c")
	env.log.add("kill", "fleet", "a config was acknowledged; the processes of all entries are killed")
	f.killAll()
	killed := time.Now()
	time.Sleep(downFor)
	if err := f.startAll(false); err != nil {
		return false, err
	}
	back := time.Now()
	env.log.add("start", "fleet", "the processes of all entries are started again")
	time.Sleep(recoverAfter + reuseAfter)
	results := t.stop()
	before := served(results, time.Time{}, killed)
	after := served(results, back.Add(recoverAfter), time.Now())
	env.log.add("check", "RECOVER", "served before the kill %v, later than recover_s after the machines are back %v", before, after)
	return after.share() < 0.25 && before.share() >= 0.25, nil
}

// traffic is the requests of clients: mostly writes, and a few reads.
type traffic struct {
	ended   chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func startTraffic(env *environment, f *fleet) *traffic {
	t := &traffic{ended: make(chan struct{})}
	for n := range 10 {
		e := f.entries[n%len(f.entries)]
		t.clients.Go(func() {
			for {
				select {
				case <-t.ended:
					return
				case <-time.After(200 * time.Millisecond):
				}
				var r result
				if n == 0 {
					r = send(e.front, "GET", "jepu9.example", "/lepu270/2f", "", reuseBudget)
				} else {
					r = send(e.front, "POST", "hulo84.example", "/xapu221/2f", "tray=4&waste=1.2", reuseBudget)
				}
				env.log.add("answer", e.name, "%v", r)
				t.mu.Lock()
				t.results = append(t.results, r)
				t.mu.Unlock()
			}
		})
	}
	return t
}

func (t *traffic) stop() []result {
	close(t.ended)
	t.clients.Wait()
	return t.results
}

type count struct{ served, sent int }

func (c count) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func (c count) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }

// served counts the requests sent in a time and those answered with success.
func served(results []result, from, to time.Time) (c count) {
	for _, r := range results {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		if c.sent++; r.status == 200 {
			c.served++
		}
	}
	return c
}
