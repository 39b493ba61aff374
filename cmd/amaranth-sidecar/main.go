// Command amaranth-sidecar runs one instance of the fleet as the sidecar of one backend server, on the users' platform.
//
// With -check-configuration it checks a configuration of the operator and exits; docs/OPERATORS.md lists the findings.
//
// Exit status: 0 after a planned stop, or if a check finds no error; 1 if the instance could not start or a configuration has
// errors; 2 for an invalid command line or a configuration file that can't be read; 3 if the settings are rejected.
package main

import (
	"flag"
	"fmt"
	"os"

	"amaranthstile/platform"
	"amaranthstile/result"
)

// Exit statuses other than 0.
const (
	statusFailed   = 1
	statusUsage    = 2
	statusSettings = 3
)

func main() {
	settingsFile := flag.String("settings", os.Getenv(platform.SettingsEnv), "settings `FILE` in the platform's format")
	checkOnly := flag.Bool("check", false, "check the settings and exit")
	metricsPort := flag.Int("metrics", 0, "serve the metrics on this `PORT`; 0 disables them")
	configuration := flag.String("check-configuration", "", "check the operator's configuration in this `FILE` and exit")
	against := flag.String("against", "", "compare the checked configuration with the one in force, in this `FILE`")
	logLevel := flag.String("loglevel", "info", "write log lines of this `LEVEL` and above: debug, info, warn or error")
	flag.Parse()
	if *configuration != "" && flag.NArg() == 0 {
		checkConfiguration(platform.CheckOptions{File: *configuration, Against: *against, SettingsFile: *settingsFile})
		return
	}
	if *settingsFile == "" || *against != "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(statusUsage)
	}
	s, err := platform.LoadSettings(*settingsFile)
	if err != nil {
		fail(statusSettings, err)
	}
	if *checkOnly {
		return
	}
	if err := platform.Run(platform.RunOptions{SettingsFile: *settingsFile, Settings: s, MetricsPort: *metricsPort, LogLevel: *logLevel}); err != nil {
		fail(statusFailed, err)
	}
}

// checkConfiguration prints the findings about a configuration and exits unless it is valid.
func checkConfiguration(o platform.CheckOptions) {
	valid, err := platform.CheckConfiguration(os.Stdout, o)
	if code := result.CodeOf(err); err != nil && code >= result.SettingsUnreadable && code <= result.SettingsTwice {
		fail(statusSettings, err)
	}
	if err != nil {
		fail(statusUsage, err)
	}
	if !valid {
		os.Exit(statusFailed)
	}
}

// fail writes the number and name of the error's result code and the error to standard error, and exits.
func fail(status int, err error) {
	code := result.CodeOf(err)
	fmt.Fprintf(os.Stderr, "amaranth-sidecar: %d %s: %s\n", code, code, err.Error())
	os.Exit(status)
}
