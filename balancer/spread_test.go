package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/entry"
	"amaranthstile/membership"
)

// withInstances returns a directory with further instances in the failure domain d0 that have no endpoint.
func withInstances(d *membership.Directory, n int) *membership.Directory {
	changes := make(map[membership.ID]*membership.Record, n)
	for n := range n {
		id := membership.ID(fmt.Sprintf("other%d", n))
		changes[id] = &membership.Record{ID: id, Domain: "d0"}
	}
	return d.Update(changes)
}

// idleWindows plays windows of two seconds in which a failure domain of 20 instances gets three requests for each of ten
// endpoints, and returns in how many of them less than the floor's share of the endpoints got a request. One in
// repeatableEach requests is repeatable, and served draws whether the instance sees a request served.
func idleWindows(t *testing.T, d *membership.Directory, repeatableEach int, served func(*rand.Rand) bool) (idle int) {
	t.Helper()
	const endpoints, instances, requests, windows, floor = 10, 20, 30, 200, 0.7
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	var all []*CostSelector
	for n := range instances {
		all = append(all, newTestCostSelector(uint64(n), &now))
	}
	for range windows {
		used := make(map[string]bool)
		for n := range requests {
			now = now.Add(2 * time.Second / requests)
			s := all[random.IntN(len(all))]
			s.RequestDone("s", served(random))
			x, ok := s.Select(entry.Query{Directory: d, Service: "s", Repeatable: n%repeatableEach == 0})
			if !ok {
				t.Fatal("no endpoint was selected")
			}
			s.Done(x, entry.AttemptResult{})
			used[x.Backend] = true
		}
		if float64(len(used)) < floor*endpoints {
			idle++
		}
	}
	return idle
}

// TestSparseServiceExercisesEveryEndpoint is TestCostSelectorExercisesEveryEndpoint for a service with few requests for each
// endpoint, whose failures each instance sees seldom.
func TestSparseServiceExercisesEveryEndpoint(t *testing.T) {
	is := is.New(t)
	oneInNineUnserved := func(r *rand.Rand) bool { return r.IntN(9) != 0 }
	is.Equal(idleWindows(t, directoryOf(1, 10), 4, oneInNineUnserved), 0)
}

// TestHealthyDomainWithFewRequestsLeavesNoEndpointIdle plays a domain whose requests are all served while other domains fail
// some: the instances here don't see that.
func TestHealthyDomainWithFewRequestsLeavesNoEndpointIdle(t *testing.T) {
	is := is.New(t)
	allServed := func(*rand.Rand) bool { return true }
	is.Equal(idleWindows(t, withInstances(directoryOf(1, 10), 10), 2, allServed), 0)
}

func TestSpreadShares(t *testing.T) {
	for _, c := range []struct {
		name                    string
		rate, repeatable, other float64
		wantRepeatable          float64
		wantOther               float64
	}{
		{"many requests", 1, 100, 100, minSpreadShareRepeatable, minSpreadShareOther},
		{"repeatable requests suffice", 8, 10, 10, 0.8, minSpreadShareOther},
		{"others fill up", 8, 4, 5, 1, 0.8},
		{"too few requests", 8, 1, 1, 1, 1},
		{"only others", 8, 0, 10, 1, 0.8},
		{"nothing known", 8, math.Inf(1), math.Inf(1), minSpreadShareRepeatable, minSpreadShareOther},
		{"no endpoints", 0, 10, 10, minSpreadShareRepeatable, minSpreadShareOther},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			repeatable, other := spreadShares(c.rate, c.repeatable, c.other)
			is.Equal(repeatable, c.wantRepeatable)
			is.Equal(other, c.wantOther)
		})
	}
}

// TestSpreadSharesReachTheRate draws loads: what is spread is at least the wanted rate, or all there is.
func TestSpreadSharesReachTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 1000)
		rate, repeatable, other := amount.Draw(t, "rate"), amount.Draw(t, "repeatable"), amount.Draw(t, "other")
		shareRepeatable, shareOther := spreadShares(rate, repeatable, other)
		for _, share := range []float64{shareRepeatable, shareOther} {
			if share < minSpreadShareOther || share > 1 {
				t.Fatalf("a share of %v", share)
			}
		}
		const rounding = 1e-9
		if spread := shareRepeatable*repeatable + shareOther*other; spread < min(rate, repeatable+other)-rounding {
			t.Fatalf("%v requests per second are spread", spread)
		}
		if shareOther > minSpreadShareOther && shareRepeatable < 1 {
			t.Fatal("other requests are spread while repeatable ones are not")
		}
	})
}

// TestArrivalRates counts Poisson arrivals: the estimate is right on average, soon after the start as well.
func TestArrivalRates(t *testing.T) {
	const repeatable, other, trials = 3.0, 1.0, 2000
	for _, observed := range []time.Duration{2 * time.Second, 30 * time.Second} {
		t.Run(observed.String(), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			sumRepeatable, sumOther := 0.0, 0.0
			for range trials {
				start := time.Unix(1000, 0)
				a := arrivals{since: start, at: start}
				now := start
				for {
					now = now.Add(time.Duration(random.ExpFloat64() / (repeatable + other) * float64(time.Second)))
					if now.Sub(start) >= observed {
						break
					}
					a.record(now, random.Float64() < repeatable/(repeatable+other))
				}
				if now = start.Add(observed); a.at.After(start) {
					a.record(now, true)
					a.repeatable--
				}
				r, o := a.rates()
				if math.IsInf(r, 1) {
					continue // no arrival in this trial
				}
				sumRepeatable, sumOther = sumRepeatable+r, sumOther+o
			}
			is.True(math.Abs(sumRepeatable/trials-repeatable) < 0.05*repeatable)
			is.True(math.Abs(sumOther/trials-other) < 0.05*repeatable)
		})
	}
}

// TestArrivalsOfAnIdleServiceAreForgotten checks that a service without requests counts as one with few.
func TestArrivalsOfAnIdleServiceAreForgotten(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	a := arrivals{since: start, at: start}
	_, other := a.rates()
	is.True(math.IsInf(other, 1)) // nothing is known yet
	for n := range 100 {
		a.record(start.Add(time.Duration(n)*10*time.Millisecond), false)
	}
	a.record(start.Add(time.Minute), false)
	_, other = a.rates()
	is.True(other < 0.3)
}
