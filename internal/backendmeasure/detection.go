package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthstile/backend/health"
	"amaranthstile/balancer"
	"amaranthstile/internal/model"
)

const (
	endpoints      = 8
	slots          = 3
	perSecond      = 50.0             // requests at each endpoint
	onset          = 30 * time.Second // of the fault
	gossipDelay    = 400 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// serviceTimes is a distribution of service times.
type serviceTimes struct {
	name string
	draw func(*rand.Rand) time.Duration
}

// meanServiceTime returns the mean service time at which perSecond requests occupy the given share of the slots.
func meanServiceTime(load float64) time.Duration {
	return time.Duration(load * slots / perSecond * float64(time.Second))
}

// detectorKind is a compared detector.
type detectorKind struct {
	name        string
	newDetector func() model.Detector
}

var detectors = []detectorKind{
	{"baseline: 5 failures in a row, mean over 3 x peers", func() model.Detector { return &consecutive{} }},
	{"product: cumulative sums of evidence", func() model.Detector { return health.NewDetector(time.Time{}) }},
}

var faults = []struct {
	name  string
	fault model.Fault
}{
	{"all fail", model.Fault{ErrorRate: 1}},
	{"hang", model.Fault{Hang: true}},
	{"30% errors", model.Fault{ErrorRate: 0.3}},
	{"5 times slower", model.Fault{SlowFactor: 5}},
}

// detection prints the times from the onset of a fault to the ejection of its endpoint.
func detection(seeds int) {
	fmt.Println("| service times | load | fault | detector | median | worst | missed in 10 s | failures until ejection, worst | others ejected |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, load := range []float64{0.3, 0.6} {
		for _, t := range []serviceTimes{
			{"exponential", model.Exponential(meanServiceTime(load))},
			{"hyperexponential, cv 4", model.Hyperexponential(meanServiceTime(load), 4)},
			{"lognormal, cv 4", model.Lognormal(meanServiceTime(load), 4)},
		} {
			for _, f := range faults {
				for _, kind := range detectors {
					detectionRow(seeds, load, t, f.name, f.fault, kind)
				}
			}
		}
	}
}

// detectionRow prints the row of one detector, over all seeds.
func detectionRow(seeds int, load float64, t serviceTimes, name string, fault model.Fault, kind detectorKind) {
	var delays []time.Duration
	missed, others, failures := 0, 0, 0
	for seed := range seeds {
		d := measureDetection(uint64(seed), t, fault, kind)
		others += d.others
		failures = max(failures, d.failures)
		if d.delay == 0 {
			missed++
			continue
		}
		delays = append(delays, d.delay)
	}
	slices.Sort(delays)
	median, worst := time.Duration(0), time.Duration(0)
	if len(delays) > 0 {
		median, worst = delays[len(delays)/2], delays[len(delays)-1]
	}
	fmt.Printf("| %s | %.0f%% | %s | %s | %v | %v | %d of %d | %d | %d |\n", t.name, 100*load, name, kind.name,
		median.Round(time.Millisecond), worst.Round(time.Millisecond), missed, seeds, failures, others)
}

// detectionResult is the result of one simulation.
type detectionResult struct {
	delay    time.Duration // from the onset to the ejection; 0 if the fault was not detected
	failures int           // until the ejection
	others   int           // ejections of healthy endpoints
}

// measureDetection runs one simulation in which endpoint 0 fails from the onset on.
func measureDetection(seed uint64, t serviceTimes, fault model.Fault, kind detectorKind) detectionResult {
	var d detectionResult
	total := int(perSecond * endpoints * (onset + 10*time.Second).Seconds())
	model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
		ServiceTime: t.draw, Requests: total, GossipDelay: gossipDelay, RequestTimeout: requestTimeout,
		Policy: balancer.RoundRobin, Floor: 0.5,
		NewDetector: kind.newDetector,
		Fault: func(e int, now time.Duration) model.Fault {
			if e != 0 || now < onset {
				return model.Fault{}
			}
			return fault
		},
		VerdictChanged: func(e int, now time.Duration, v health.Verdict) {
			switch {
			case !v.Ejected || v.Reason == health.ReasonTrial:
			case e != 0 || now < onset:
				d.others++
			case d.delay == 0:
				d.delay = now - onset
				d.failures = v.Failures
			}
		},
	}).Run()
	return d
}

// falseEjections prints the number of ejections of healthy endpoints under high load.
func falseEjections(requests int) {
	fmt.Println("| service times | load of the slots | background errors | detector | healthy requests | ejections |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	load := 0.95
	for _, t := range []serviceTimes{
		{"exponential", model.Exponential(meanServiceTime(load))},
		{"hyperexponential, cv 4", model.Hyperexponential(meanServiceTime(load), 4)},
		{"lognormal, cv 4", model.Lognormal(meanServiceTime(load), 4)},
	} {
		for _, background := range []float64{0, 0.02} {
			for _, kind := range detectors {
				ejections := 0
				result := model.New(model.Options{
					Seed: 7, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
					ServiceTime: t.draw, Requests: requests, GossipDelay: gossipDelay, Policy: balancer.IdleFirst,
					Floor: 0.5, NewDetector: kind.newDetector, NoGossip: false,
					Fault: func(int, time.Duration) model.Fault { return model.Fault{ErrorRate: background} },
					VerdictChanged: func(_ int, _ time.Duration, v health.Verdict) {
						if v.Ejected {
							ejections++
						}
					},
				}).Run()
				fmt.Printf("| %s | 95%% | %.0f%% | %s | %d | %d |\n",
					t.name, 100*background, kind.name, result.Answered+result.Failed, ejections)
			}
		}
	}
}
