package main

import (
	"fmt"
	"time"

	"amaranthstile/backend/health"
	"amaranthstile/choice"
	"amaranthstile/internal/model"
)

const (
	flaps      = 3
	steadyTime = 3 * time.Second // in use after a return, until it fails again
)

// flapping prints the detection times of an endpoint that fails again soon after each return.
func flapping(seeds int) {
	fmt.Println("| fault | mean of the first detection | second | third | second over first | hold times | ejected while healthy again |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, f := range faults {
		var sums [flaps]time.Duration
		var holds [flaps]time.Duration
		wrong := 0
		for seed := range seeds {
			took, held, early := flap(uint64(seed), f.fault)
			wrong += early
			for i := range took {
				sums[i] += took[i]
				holds[i] = max(holds[i], held[i])
			}
		}
		n := time.Duration(seeds)
		fmt.Printf("| %s | %v | %v | %v | %.2f | %v | %d |\n", f.name, (sums[0] / n).Round(time.Millisecond), (sums[1] / n).Round(time.Millisecond),
			(sums[2] / n).Round(time.Millisecond), float64(sums[1])/float64(sums[0]), holds, wrong)
	}
}

// flap lets endpoint 0 fail until it is out, be healthy until it returned, and fail again.
func flap(seed uint64, fault model.Fault) (took, held [flaps]time.Duration, early int) {
	failFrom, n := onset, 0
	out := false
	model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
		ServiceTime: model.Exponential(mean(0.6)), Requests: int(perSecond * endpoints * 120), GossipDelay: gossip, RequestTimeout: callerTime,
		Policy: choice.RoundRobin, Floor: 0.5, NewDetector: judges[len(judges)-1].make,
		Fault: func(e int, now time.Duration) model.Fault {
			if e != 0 || out || now < failFrom || n >= flaps {
				return model.Fault{}
			}
			return fault
		},
		VerdictChanged: func(e int, now time.Duration, v health.Verdict) {
			switch {
			case e != 0 || n >= flaps:
			case v.Out && !out:
				out = true
				if now < failFrom {
					early++
					return
				}
				took[n], held[n] = now-failFrom, v.Hold.Sub(v.Since)
				n++
			case !v.Out:
				out = false
				failFrom = now + steadyTime
			}
		},
	}).Run()
	return took, held, early
}
