// Command trial runs the cases of the review that are scripts. It starts entries as separate
// processes on loopback addresses; the platform's store, the instances and the clients are small
// stand-ins within this process.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{began: time.Now(), file: f}, err
}

func (r *recorder) add(kind, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s: %s\n", time.Since(r.began).Seconds(), kind, who, fmt.Sprintf(format, args...))
}

// environment is what a case works with.
type environment struct {
	log     *recorder
	dir     string
	trouble bool
}

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*environment) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*environment) (bool, error), record string) int {
	log, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.file.Close()
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("files in", dir)
	}
	broken, err := run(&environment{log: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		log.add("end", "case", "could not run: %s", strings.ReplaceAll(err.Error(), dir, "DIR"))
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		log.add("end", "case", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	log.add("end", "case", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
