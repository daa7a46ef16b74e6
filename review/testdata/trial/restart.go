package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["restart"] = quickRestart }

const (
	restartDelay    = 50 * time.Millisecond // a killed process is restarted after a short delay
	killAgainAfter  = 450 * time.Millisecond
	settleFor       = 2 * time.Second
	configWithin    = 2 * time.Second // config_apply_ms
	configWatched   = 3500 * time.Millisecond
	restartAttempts = 8
)

// reader returns the entry that reads the platform's store, by its metrics, or nil.
func (f *fleet) reader() *entryProcess {
	for _, e := range f.entries {
		response, err := http.Get("http://" + e.ip + ":" + e.internalPort + "/metrics")
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for line := range strings.Lines(string(data)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			if strings.HasSuffix(name, "platform_reader") && value == "1" {
				return e
			}
		}
	}
	return nil
}

// quickRestart: in each play of a new fleet, the process of one entry is killed, started again, and killed once more soon after it
// has come back. The other entries are not touched. A config that is written later must be in force
// at them within config_apply_ms.
func quickRestart(env *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	services := []string{"huvo11a", "kafi81c"}
	version := 7
	write := func(service string) time.Time {
		version++
		writeConfig(s, fmt.Sprintf("%08x", version), map[string]route{
			"r-b9wu3fe": {"host": "jepu9.example", "prefix": "/lepu270/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2},
		}, services...)
		env.log.add("config", "operator", "version %08x is acknowledged: the route leads to %s", version, service)
		return time.Now()
	}
	write(services[0])
	ran := &ledger{}
	byID := map[string]string{}
	for n, service := range services {
		for k := range 2 {
			i := &instance{id: fmt.Sprintf("i-%d%d3a91c2", n+1, k), service: service, zone: "bajio-a", slots: 2, work: 20 * time.Millisecond, ledger: ran, log: env.log}
			if err := i.start(s); err != nil {
				return false, err
			}
			defer i.end()
			byID[i.id] = service
		}
	}
	for n := range restartAttempts {
		f, err := newFleet(env.dir, s.addr, "bajio-a", "bajio-a", "bajio-a")
		if err != nil {
			return false, err
		}
		env.log.add("fleet", "case", "play %d begins with a new fleet", n+1)
		stale, err := playRestart(env, f, func() time.Time { return write(services[(n+1)%2]) }, func(victim *entryProcess, ack time.Time) int {
			return watchConfig(env, f, victim, ack, services[n%2], ran, byID)
		})
		f.killAll()
		if err != nil {
			return false, err
		}
		if stale > 0 {
			env.log.add("CONFIG", "check", "%d requests at entries that were not touched were run by the old service later than %v after the ack", stale, configWithin)
			return true, nil
		}
	}
	return false, nil
}

// playRestart starts the fleet, restarts its reader twice, and writes and watches a config.
func playRestart(env *environment, f *fleet, write func() time.Time, watch func(*entryProcess, time.Time) int) (stale int, err error) {
	if err := f.startAll(true); err != nil {
		return 0, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(settleFor)
	victim := f.reader()
	if victim == nil {
		victim = f.entries[0]
	}
	if env.trouble {
		// The first start is put at the begin of a second of the clock, the next one is within it.
		time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second - restartDelay + 20*time.Millisecond)))
		for range 2 {
			env.log.add("kill", victim.name, "its process is killed")
			victim.kill()
			time.Sleep(restartDelay)
			if err := f.start(victim, false); err != nil {
				return 0, err
			}
			env.log.add("start", victim.name, "its process is started again")
			time.Sleep(killAgainAfter)
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(settleFor)
	return watch(victim, write()), nil
}

// watchConfig sends requests to the entries that were not touched, and counts those that were sent
// later than configWithin after the ack and run by the old service.
func watchConfig(env *environment, f *fleet, victim *entryProcess, ack time.Time, old string, ran *ledger, services map[string]string) (stale int) {
	for time.Since(ack) < configWatched {
		for _, e := range f.entries {
			if e == victim {
				continue
			}
			after := time.Since(ack)
			r := send(e.front, "GET", "jepu9.example", "/lepu270/2f", "", 3*time.Second)
			for _, one := range ran.byAttempt()[r.attempt] {
				env.log.add("answer", e.name, "sent %v after the ack, run by %s: %v", after.Round(time.Millisecond), services[one.instance], r)
				if after > configWithin && services[one.instance] == old {
					stale++
				}
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	return stale
}
