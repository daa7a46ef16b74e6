package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["extra"] = extraAnswer }

// route is a route of the config.
type route map[string]any

// writeConfig writes a config.
func writeConfig(s *store, version string, routes map[string]route, services ...string) {
	listed := map[string]any{}
	for _, name := range services {
		listed[name] = map[string]any{"health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.put("op/config", data)
}

const (
	extraTime   = 80 * time.Second
	extraBudget = 4 * time.Second
)

// extraAnswer: an instance rejects some requests and sends a few of its answers twice. A request that
// is not idempotent must run at most once, and must not run if its client was told that it has not.
func extraAnswer(env *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	writeConfig(s, "00000007", map[string]route{
		"r-xd9dnn2": {"host": "hulo84.example", "prefix": "/xapu221/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 1000, "priority": 1, "service": "wuno96b", "max_attempts": 2},
		"r-b9wu3fe": {"host": "jepu9.example", "prefix": "/lepu270/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2, "service": "huvo11a", "max_attempts": 2},
	}, "wuno96b", "huvo11a")
	ran := &ledger{}
	// Six sound instances of another service: one of seven is faulty.
	for n := range 6 {
		sound := &instance{id: fmt.Sprintf("i-%d1d0aa25", n), service: "huvo11a", zone: "bajio-a", slots: 2, work: 60 * time.Millisecond, ledger: ran, log: env.log}
		if err := sound.start(s); err != nil {
			return false, err
		}
		defer sound.end()
	}
	i := &instance{id: "i-7f3a91c2", service: "wuno96b", zone: "bajio-a", slots: 2, work: 60 * time.Millisecond, ledger: ran, log: env.log}
	if env.trouble {
		i.shedShare, i.extraShare, i.extraDelay = 0.3, 0.03, 120*time.Millisecond
	}
	if err := i.start(s); err != nil {
		return false, err
	}
	defer i.end()
	f, err := newFleet(env.dir, s.addr, "bajio-a", "bajio-a", "bajio-a")
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
	end := time.Now().Add(extraTime)
	for _, e := range f.entries {
		clients.Go(func() {
			for time.Now().Before(end) {
				r := send(e.front, "POST", "hulo84.example", "/xapu221/2f", "tray=4&waste=1.2", extraBudget)
				env.log.add("answer", e.name, "%v", r)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeOnce(env, results, ran), nil
}

// judgeOnce checks the rules TWICE and REFUSED.
func judgeOnce(env *environment, results []result, ran *ledger) (broken bool) {
	runs := ran.byAttempt()
	done, refused := 0, 0
	for _, r := range results {
		switch n := len(runs[r.attempt]); {
		case n > 1:
			env.log.add("TWICE", "check", "%s ran %d times: %v", r.attempt, n, r)
			broken = true
		case n > 0 && (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421):
			env.log.add("REFUSED", "check", "%s was answered %d, but it ran", r.attempt, r.status)
			broken = true
		}
		switch {
		case r.status == 200:
			done++
		case r.status == 503 || r.status == 429:
			refused++
		}
	}
	env.log.add("check", "case", "%d requests, %d answered with success, %d refused", len(results), done, refused)
	return broken
}
