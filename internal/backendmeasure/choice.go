package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthstile/balancer"
	"amaranthstile/internal/model"
)

// policies are the compared policies, with the number of attempts that try another endpoint instead of waiting.
var policies = []struct {
	name           string
	policy         balancer.Policy
	noWaitAttempts int
}{
	{"round robin", balancer.RoundRobin, 0},
	{"two choices", balancer.TwoChoices, 0},
	{"least loaded", balancer.LeastLoaded, 0},
	{"idle first", balancer.IdleFirst, 0},
	{"round robin, 2 attempts without waiting", balancer.RoundRobin, 2},
	{"two choices, 2 attempts without waiting", balancer.TwoChoices, 2},
	{"least loaded, 2 attempts without waiting", balancer.LeastLoaded, 2},
	{"idle first, 1 attempt without waiting", balancer.IdleFirst, 1},
	{"idle first, 2 attempts without waiting", balancer.IdleFirst, 2},
	{"idle first, 3 attempts without waiting", balancer.IdleFirst, 3},
}

const (
	choiceMean     = 20 * time.Millisecond
	choiceRequests = 40_000
)

// comparePolicies prints the latencies of each policy.
func comparePolicies(seeds int) {
	fmt.Println("| endpoints x slots | instances | load | times | conditions | policy | mean ms | median ms | 99% ms |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range []struct {
		name            string
		entries         int
		domains         int
		loadReportEvery int
		slowFactor      float64 // of endpoint 0; 0 if none is slow
		cv              float64 // coefficient of variation of the service times
	}{
		{"", 4, 1, 1, 0, 1},
		{"", 40, 1, 1, 0, 1},
		{"", 40, 1, 1, 0, 4},
		{"load on 1 answer of 10", 40, 1, 10, 0, 1},
		{"one endpoint 3 times slower", 4, 1, 1, 3, 1},
		{"4 failure domains", 40, 4, 1, 0, 1},
	} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			for _, p := range policies {
				all := hdrhistogram.New(1, 600_000_000, 3)
				for seed := range seeds {
					all.Merge(runPolicy(
						uint64(seed), c.entries, c.domains, c.loadReportEvery, c.slowFactor, c.cv, load,
						p.policy, p.noWaitAttempts,
					))
				}
				fmt.Printf("| 8 x 3 | %d | %.0f%% | cv %.0f | %s | %s | %.1f | %.1f | %.1f |\n",
					c.entries, 100*load, c.cv, c.name, p.name,
					all.Mean()/1000, float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000)
			}
		}
	}
}

// runPolicy runs one simulation and returns its latencies. The load is the share of the capacity that the arrivals use;
// a slow endpoint reduces the capacity.
func runPolicy(
	seed uint64, entries, domains, loadReportEvery int, slowFactor, cv, load float64, p balancer.Policy, noWaitAttempts int,
) *hdrhistogram.Histogram {
	serviceTime := model.Exponential(choiceMean)
	if cv > 1 {
		serviceTime = model.Hyperexponential(choiceMean, cv)
	}
	capacity := float64(endpoints * slots)
	if slowFactor > 0 {
		capacity -= slots * (1 - 1/slowFactor)
	}
	result := model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: entries, Domains: domains,
		Rate: load * capacity / choiceMean.Seconds(), ServiceTime: serviceTime, Requests: choiceRequests,
		GossipDelay: gossipDelay, Policy: p, NoWaitAttempts: noWaitAttempts, LoadReportEvery: loadReportEvery,
		Fault: func(e int, _ time.Duration) model.Fault {
			if e == 0 {
				return model.Fault{SlowFactor: slowFactor}
			}
			return model.Fault{}
		},
	}).Run()
	return result.Latency
}
