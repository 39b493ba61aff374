// Command cases2 runs the scripted cases of the second review. Its arguments are the number of a case and its folder.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases are the cases by their number. Each reports whether its rule was broken; with trouble unset, it leaves out the
// disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"6": keyRunsAfterMassLoss,
	"7": closedBehindAStream,
	"8": leavingEndpointGetsWork,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 NUMBER FOLDER")
		os.Exit(statusNotRun)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	case broken:
		r.add("the rule was broken")
		os.Exit(statusBroken)
	}
	r.add("the rule held")
	os.Exit(statusHeld)
}
