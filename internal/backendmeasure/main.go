// Command backendmeasure prints the figures of docs/measurements/backend.md: detection times, false ejections, the
// selection policies and the fairness of the queues. It runs internal/model, which is deterministic for a given seed.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds")
	requests := flag.Int("requests", 1_000_000, "number of healthy requests per figure of false ejections")
	flag.Parse()
	parts := map[string]func(){
		"detection": func() { detection(*seeds) },
		"flapping":  func() { flapping(*seeds) },
		"false":     func() { falseEjections(*requests) },
		"choice":    func() { comparePolicies(*seeds) },
		"fairness":  func() { fairness(*seeds) },
		"placement": func() { placement(*seeds) },
	}
	for _, name := range flag.Args() {
		part, ok := parts[name]
		if !ok {
			fmt.Fprintln(os.Stderr,
				"usage: backendmeasure [-seeds N] [-requests N] detection|flapping|false|choice|fairness|placement ...")
			os.Exit(2)
		}
		part()
	}
}
