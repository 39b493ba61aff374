package main

import (
	"fmt"
	"time"

	"amaranthstile/backend/health"
	"amaranthstile/balancer"
	"amaranthstile/internal/model"
)

const (
	flaps       = 3
	healthyTime = 3 * time.Second // from the return of the endpoint to its next fault
)

// flapping prints the detection times of an endpoint that fails again soon after each return from an ejection.
func flapping(seeds int) {
	fmt.Println("| fault | mean of the first detection | second | third | second over first | ejection times | ejected while healthy again |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, f := range faults {
		var sums [flaps]time.Duration
		var longest [flaps]time.Duration
		earlyEjections := 0
		for seed := range seeds {
			delays, ejected, early := measureFlapping(uint64(seed), f.fault)
			earlyEjections += early
			for i := range delays {
				sums[i] += delays[i]
				longest[i] = max(longest[i], ejected[i])
			}
		}
		n := time.Duration(seeds)
		fmt.Printf("| %s | %v | %v | %v | %.2f | %v | %d |\n", f.name,
			(sums[0] / n).Round(time.Millisecond), (sums[1] / n).Round(time.Millisecond),
			(sums[2] / n).Round(time.Millisecond), float64(sums[1])/float64(sums[0]), longest, earlyEjections)
	}
}

// measureFlapping runs one simulation in which endpoint 0 fails until it is ejected, is healthy until it has returned,
// and then fails again. It returns the detection and ejection times and the number of ejections before a fault.
func measureFlapping(seed uint64, fault model.Fault) (delays, ejected [flaps]time.Duration, early int) {
	failFrom, n := onset, 0
	out := false
	model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
		ServiceTime: model.Exponential(meanServiceTime(0.6)), Requests: int(perSecond * endpoints * 120),
		GossipDelay: gossipDelay, RequestTimeout: requestTimeout, Policy: balancer.RoundRobin,
		Floor: 0.5, NewDetector: detectors[len(detectors)-1].newDetector,
		Fault: func(e int, now time.Duration) model.Fault {
			if e != 0 || out || now < failFrom || n >= flaps {
				return model.Fault{}
			}
			return fault
		},
		VerdictChanged: func(e int, now time.Duration, v health.Verdict) {
			switch {
			case e != 0 || n >= flaps:
			case v.Ejected && !out:
				out = true
				if now < failFrom {
					early++
					return
				}
				delays[n], ejected[n] = now-failFrom, v.HoldUntil.Sub(v.Since)
				n++
			case !v.Ejected:
				out = false
				failFrom = now + healthyTime
			}
		},
	}).Run()
	return delays, ejected, early
}
