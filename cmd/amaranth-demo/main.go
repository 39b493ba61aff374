// Command amaranth-demo runs a small fleet on embedded stand-ins under load, injects faults, and prints for each
// guarantee of the fleet its bound and the measured value. It exits with status 0 only if every check passes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"amaranthstile/demo"
	"amaranthstile/event"
)

func main() {
	serve := flag.Bool("serve", false, "keep the fleet running and print example curl commands")
	verbose := flag.Bool("verbose", false, "write the instances' events to standard error")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	passed, err := run(ctx, *serve, options(*verbose))
	if err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-demo:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// run serves or runs the demo, and reports whether every check passed.
func run(ctx context.Context, serve bool, o demo.Options) (bool, error) {
	if serve {
		return true, demo.Serve(ctx, o)
	}
	return demo.Run(ctx, o)
}

func options(verbose bool) demo.Options {
	o := demo.Options{Out: os.Stdout}
	if verbose {
		o.Events = event.New(os.Stderr, "demo", "info")
	}
	return o
}
