// Command amaranth-sidecar is one instance of the fleet beside one backend server, on the users' platform.
//
// Exit status: 0 after a planned stop, or if -check finds the settings good; 1 if the instance could not start; 2 for a
// wrong command line; 3 if the settings are refused.
package main

import (
	"flag"
	"fmt"
	"os"

	"amaranthstile/platform"
	"amaranthstile/result"
)

// The exit statuses beside 0.
const (
	statusFailed   = 1
	statusUsage    = 2
	statusSettings = 3
)

func main() {
	file := flag.String("settings", os.Getenv(platform.SettingsEnv), "settings `FILE` in the platform's format")
	check := flag.Bool("check", false, "check the settings and exit")
	metrics := flag.Int("metrics", 0, "serve the metrics on this `PORT`; 0 for none")
	level := flag.String("loglevel", "info", "write log lines from this `LEVEL` upward: debug, info, warn or error")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(statusUsage)
	}
	s, err := platform.LoadSettings(*file)
	if err != nil {
		fail(statusSettings, err)
	}
	if *check {
		return
	}
	if err := platform.Run(platform.RunOptions{SettingsFile: *file, Settings: s, MetricsPort: *metrics, LogLevel: *level}); err != nil {
		fail(statusFailed, err)
	}
}

// fail writes the error's number, name and message, and exits.
func fail(status int, err error) {
	code := result.CodeOf(err)
	fmt.Fprintf(os.Stderr, "amaranth-sidecar: %d %s: %s\n", code, code, err.Error())
	os.Exit(status)
}
