package main

import (
	"fmt"
	"os"
	"strconv"
)

// The exit codes of a case.
const (
	held     = 0
	isBroken = 1
)

// cases are the cases by name. Each plays its requests with or without the disruption, and returns
// what was seen and the broken rules.
var cases = map[string]func(disturbed bool) (*ledger, []string){
	"early": early,
	"odd":   odd,
	"drain": drain,
}

func main() {
	defer func() {
		if problem := recover(); problem != nil {
			fmt.Println(problem)
			os.Exit(2)
		}
	}()
	os.Exit(play())
}

func play() int {
	if os.Args[1] == "soak" {
		seconds, _ := strconv.Atoi(os.Args[2])
		seed, _ := strconv.ParseInt(os.Args[3], 10, 64)
		broken := soak(seconds, seed)
		for _, b := range broken {
			fmt.Println(b)
		}
		return min(len(broken), isBroken)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		return 2
	}
	l, broken := run(os.Getenv("TROUBLE") != "0")
	if path := os.Getenv("RECORD"); path != "" {
		l.record(path, broken)
	}
	fmt.Println("requests by their kind and status, 0 for no answer:", l.counts())
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return isBroken
	}
	return held
}
