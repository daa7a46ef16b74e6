package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["slash"] = encodedSlash }

const slashTime = 60 * time.Second

// encodedSlash: the answers to some requests that an instance ran are lost. Requests of the outer route
// are not idempotent and must run at most once, also those whose path has an encoded slash where the
// prefix of the inner route, which is idempotent, has a slash.
func encodedSlash(env *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	const service = "wuno96b"
	writeConfig(s, "00000007", map[string]route{
		"r-xd9dnn2": {"host": "hulo84.example", "prefix": "/xapu221/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2},
		"r-b9wu3fe": {"host": "hulo84.example", "prefix": "/xapu221/ny95/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2},
	}, service)
	ran := &ledger{}
	for n, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		i := &instance{id: id, service: service, zone: "bajio-a", slots: 2, work: 40 * time.Millisecond, ledger: ran, log: env.log}
		if env.trouble && n == 0 {
			i.lostShare = 0.05
		}
		if err := i.start(s); err != nil {
			return false, err
		}
		defer i.end()
	}
	f, err := newFleet(env.dir, s.addr, "bajio-a", "bajio-b", "bajio-c")
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
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	end := time.Now().Add(slashTime)
	for _, e := range f.entries {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := send(e.front, "POST", "hulo84.example", fmt.Sprintf("/xapu221/ny95%%2F%d", n), "tray=4&waste=1.2", 4*time.Second)
				env.log.add("answer", e.name, "%v", r)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeOnce(env, results, ran), nil
}
