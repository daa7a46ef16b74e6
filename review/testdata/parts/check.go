package main

import (
	"fmt"
	"os"
	"sort"
)

// check compares what clients were told with what instances ran.
func (l *ledger) check() (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		s := l.sent[id]
		once := s.kind != "idempotent"
		if once && len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s (%s %s) ran %d times: %v", id, s.method, s.target, len(runs), runs))
		}
		promise := s.status == 503 || s.status == 429 || s.status == 408 || s.status == 421
		if once && promise {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", id, s.status, runs[0].at.Format("15:04:05.000")))
		}
		for _, x := range runs {
			if x.wrong != "" {
				broken = append(broken, fmt.Sprintf("UNASKED: %s at %s: %s", id, x.instance, x.wrong))
			}
		}
	}
	for id, s := range l.sent {
		if s.problem != "" {
			broken = append(broken, fmt.Sprintf("%s, which ran %d times", s.problem, len(l.runs[id])))
		}
	}
	sort.Strings(broken)
	return broken
}

// counts counts how requests ended.
func (l *ledger) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := map[string]int{}
	for _, s := range l.sent {
		n[fmt.Sprintf("%s %d", s.kind, s.status)]++
	}
	return n
}

// record writes the requests, their runs and the notes to a file.
func (l *ledger) record(path string, broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, err := os.Create(path)
	must(err)
	defer f.Close()
	for _, b := range broken {
		fmt.Fprintln(f, "BROKEN", b)
	}
	for _, n := range l.notes {
		fmt.Fprintln(f, n)
	}
	ids := make([]string, 0, len(l.sent))
	for id := range l.sent {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return l.sent[ids[a]].at.Before(l.sent[ids[b]].at) })
	for _, id := range ids {
		s := l.sent[id]
		fmt.Fprintf(f, "%s sent %s %s%s %s", s.at.Format("15:04:05.000"), s.method, s.host, s.target, id)
		if !s.ended.IsZero() {
			fmt.Fprintf(f, ", ended %s with %d", s.ended.Format("15:04:05.000"), s.status)
		}
		for _, x := range l.runs[id] {
			fmt.Fprintf(f, ", ran %s at %s of %s", x.at.Format("15:04:05.000"), x.instance, x.service)
		}
		fmt.Fprintln(f)
	}
}
