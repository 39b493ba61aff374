// Command standin runs the cases of the review: it starts a small deployment of the project on loopback addresses, with
// stand-ins of the platform, the endpoints and the clients, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// cases are the cases by name. Each gets whether the disruption is to happen.
var cases = map[string]func(r *record, trouble bool) error{
	"drain-restart": runDrainRestart,
	"drain-unknown": runDrainUnknown,
	"drain-clock":   runDrainClock,
	"stop-pipeline": runStopPipeline,
	"quota-stop":    runQuotaStop,
	"quota-hot":     runQuotaHot,
	"quota-herd":    runQuotaHerd,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(statusFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, which writes its record to a folder, and returns the exit status.
func runCase(name, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return statusFailed
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", name, trouble)
	if err := run(r, trouble); err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	if r.broken > 0 {
		r.add("the rule was broken %d times", r.broken)
		fmt.Printf("%s: the rule was broken %d times\n", name, r.broken)
		return statusBroken
	}
	r.add("the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return statusHeld
}
