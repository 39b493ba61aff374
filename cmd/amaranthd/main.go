// Command amaranthd runs one instance of the fleet.
//
// Exit status: 0 after a planned stop that interrupted no request, or if -check finds the settings valid; 1 if the
// instance could not start or the stop interrupted a request; 2 for an invalid command line; 3 if the settings are
// rejected.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"amaranthstile/event"
	"amaranthstile/instance"
	"amaranthstile/result"
	"amaranthstile/settings"
)

// Exit statuses other than 0.
const (
	statusFailed   = 1
	statusUsage    = 2
	statusSettings = 3
)

func main() {
	settingsFile := flag.String("settings", "", "settings `FILE` in JSON")
	checkOnly := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *settingsFile == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(statusUsage)
	}
	s, err := settings.Load(*settingsFile)
	if err != nil {
		fail(statusSettings, err)
	}
	if *checkOnly {
		return
	}
	if err := run(s); err != nil {
		fail(statusFailed, err)
	}
}

// fail writes the number and name of the error's result code and its message to standard error, and exits. An error
// without a result code is written in full.
func fail(status int, err error) {
	code := result.CodeOf(err)
	text := result.MessageOf(err)
	if code == result.Internal {
		text = err.Error()
	}
	fmt.Fprintf(os.Stderr, "amaranthd: %d %s: %s\n", code, code, text)
	os.Exit(status)
}

// run runs the instance until a signal starts a planned stop. A second signal ends the drain at once.
func run(s *settings.Settings) error {
	i, err := instance.Start(instance.Options{Settings: s, Events: event.New(os.Stderr, s.Name, s.LogLevel)})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainMillis)*time.Millisecond)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return i.Stop(ctx)
}
