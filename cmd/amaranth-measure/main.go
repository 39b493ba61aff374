// Command amaranth-measure measures what an instance costs, as slopes over the number of instances in one process.
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
	sizes := flag.String("instances", "10,20,40", "numbers of instances, one run each")
	o := measure.Options{Out: os.Stdout}
	flag.IntVar(&o.Endpoints, "endpoints", 14, "backend servers beside each instance")
	flag.DurationVar(&o.Window, "window", 10*time.Second, "time that each run is measured")
	flag.Float64Var(&o.TicketsPerSecond, "tickets", 0, "tickets submitted each second")
	flag.Parse()
	if err := run(*sizes, o); err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-measure:", err)
		os.Exit(1)
	}
}

const maxInstances = 80

func run(sizes string, o measure.Options) error {
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxInstances {
			return fmt.Errorf("-instances: %q is no number from 1 to %d", s, maxInstances)
		}
		o.Sizes = append(o.Sizes, n)
	}
	return measure.Run(context.Background(), o)
}
