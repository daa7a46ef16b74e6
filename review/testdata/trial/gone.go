package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["gone"] = goneInstance }

const (
	stormTime   = 8 * time.Second // two in a row
	stormGap    = 330 * time.Millisecond
	removeAfter = 6500 * time.Millisecond
	drainWithin = 2 * time.Second
	servesOn    = 3 * time.Second // drain_ms and a little longer
	goneRounds  = 5
)

// goneInstance: while configs come in quick succession, the item of a service's only instance is removed
// from the store; the instance serves on for a little more than drain_ms and exits. No request may reach it later than drain_ms
// after the removal.
func goneInstance(env *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	defer s.close()
	const reads, writes = "huvo11a", "wuno96b"
	version := 7
	write := func() {
		version++
		writeConfig(s, fmt.Sprintf("%08x", version), map[string]route{
			"r-b9wu3fe": {"host": "jepu9.example", "prefix": "/lepu270/", "kind": "idempotent", "timeout_ms": 1400 + version, "target_latency_ms": 400, "priority": 2, "service": reads, "max_attempts": 2},
			"r-xd9dnn2": {"host": "hulo84.example", "prefix": "/xapu221/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": writes, "max_attempts": 2},
		}, reads, writes)
	}
	write()
	ran := &ledger{}
	add := func(id, service string) (*instance, error) {
		i := &instance{id: id, service: service, zone: "bajio-a", slots: 2, work: 100 * time.Millisecond, ledger: ran, log: env.log}
		err := i.start(s)
		env.log.add("instance", id, "of service %s begins", service)
		return i, err
	}
	for n := range 5 {
		i, err := add(fmt.Sprintf("i-%d1d0aa25", n), reads)
		if err != nil {
			return false, err
		}
		defer i.end()
	}
	only, err := add("i-9f27d540", writes)
	if err != nil {
		return false, err
	}
	f, err := newFleet(env.dir, s.addr, "bajio-a", "bajio-b", "bajio-c", "bajio-a", "bajio-b", "bajio-c")
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
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range f.entries {
		clients.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(250 * time.Millisecond):
				}
				env.log.add("answer", e.name, "%v", send(e.front, "POST", "hulo84.example", "/xapu221/2f", "tray=4&waste=1.2", 4*time.Second))
			}
		})
	}
	late := 0
	for n := range goneRounds {
		time.Sleep(3 * time.Second)
		began, removed := time.Now(), time.Time{}
		for time.Since(began) < stormTime {
			if env.trouble {
				write()
			}
			if removed.IsZero() && time.Since(began) >= removeAfter {
				s.remove(only.key())
				removed = time.Now()
				env.log.add("remove", only.id, "its item is removed")
				leaving := only
				time.AfterFunc(servesOn, func() {
					leaving.end()
					env.log.add("exit", leaving.id, "exits")
				})
			}
			time.Sleep(stormGap)
		}
		time.Sleep(3 * time.Second)
		for _, r := range ran.snapshot() {
			if r.instance == only.id && r.arrived.Sub(removed) > drainWithin {
				env.log.add("DRAIN", "check", "%s reached %s %v after the removal", r.attempt, r.instance, r.arrived.Sub(removed).Round(time.Millisecond))
				late++
			}
		}
		if only, err = add(fmt.Sprintf("i-9f27d54%d", n+1), writes); err != nil {
			return false, err
		}
	}
	close(ended)
	clients.Wait()
	only.end()
	env.log.add("check", "case", "%d requests reached an instance later than %v after its removal", late, drainWithin)
	return late > 0, nil
}
