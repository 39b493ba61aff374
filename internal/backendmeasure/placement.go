package main

import (
	"fmt"
	"maps"
	"slices"

	"amaranthstile/internal/model"
)

// placementLoads are the loads of two customer deployments, as factors of their rates, and their conditions.
var placementLoads = []struct {
	name    string
	options func(seed uint64) model.FleetOptions
	load    float64
	shifted bool
	sound   bool // no server fails
}{
	{"bank x 0.3, no failures", model.Bank, 0.3, false, true},
	{"bank x 0.8, no failures", model.Bank, 0.8, false, true},
	{"bank x 1, domains peak together", model.Bank, 1, false, false},
	{"bank x 1, domains peak in turn", model.Bank, 1, true, false},
	{"bank x 1.6, domains peak together", model.Bank, 1.6, false, false},
	{"bank x 1.6, domains peak in turn", model.Bank, 1.6, true, false},
	{"bank x 2.2, domains peak together", model.Bank, 2.2, false, false},
	{"ledgers x 1", model.Ledgers, 1, false, false},
	{"ledgers x 2", model.Ledgers, 2, false, false},
}

// placement prints what callers get and what it costs, per 1,000 requests; remote runs are those in another failure domain.
func placement(seeds int) {
	fmt.Println("| load | service | late | refused | refused while a slot was free | failed | benefit | remote runs | attempts | busy attempts |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range placementLoads {
		var sum model.FleetResult
		for seed := range seeds {
			o := l.options(uint64(seed))
			o.Load, o.Shifted = l.load, l.shifted
			if l.sound {
				o.FailingShare = 0
			}
			sum.Add(model.NewFleet(o).Run())
		}
		n := float64(sum.Requests) / 1000
		fmt.Printf("| %s | all | %.1f | %.1f | %.1f | %.1f | %.3f | %.0f | %.0f | %.0f |\n", l.name,
			float64(sum.Late)/n, float64(sum.Refused)/n, float64(sum.RefusedFree)/n, float64(sum.Failed)/n,
			sum.Benefit/sum.PossibleBenefit, 1000*float64(sum.RemoteRuns)/float64(sum.Runs),
			float64(sum.Attempts)/n, float64(sum.Busy)/n)
		for _, service := range slices.Sorted(maps.Keys(sum.ByService)) {
			s := sum.ByService[service]
			n := float64(s.Requests) / 1000
			fmt.Printf("| | %s | %.1f | %.1f | %.1f | | | | | |\n", service,
				float64(s.Late)/n, float64(s.Refused)/n, float64(s.RefusedFree)/n)
		}
	}
}
