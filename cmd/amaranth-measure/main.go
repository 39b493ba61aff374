// Command amaranth-measure measures the cost of an instance in fleets of different sizes, each in one process.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"amaranthstile/measure"
)

func main() {
	sizes := flag.String("instances", "10,20,40",
		"numbers of instances, separated by commas; each is measured in a separate run")
	o := measure.Options{Out: os.Stdout}
	flag.IntVar(&o.Endpoints, "endpoints", 14, "backend servers at each instance")
	flag.DurationVar(&o.Window, "window", 10*time.Second, "duration of each measurement")
	flag.Float64Var(&o.TicketsPerSecond, "tickets", 0, "tickets submitted per second; 0 for none")
	flag.Parse()
	if err := run(*sizes, o); err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-measure:", err)
		os.Exit(1)
	}
}

// maxInstances is the largest number of instances that can be measured in one process.
const maxInstances = 80

func run(sizes string, o measure.Options) error {
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxInstances {
			return fmt.Errorf("-instances: %q is not a number from 1 to %d", s, maxInstances)
		}
		o.Sizes = append(o.Sizes, n)
	}
	return measure.Run(context.Background(), o)
}
