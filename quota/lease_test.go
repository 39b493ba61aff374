package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"
)

// simulationsPerCheck is how many simulations each check of rapid runs.
const simulationsPerCheck = 4

// simulate runs a fleet under faults and changing demand, and returns an error at the first admission over the limit.
func simulate(seed int64, m mutation, steps int) error {
	r := rand.New(rand.NewSource(seed))
	quota := Quota{Rate: Tokens(1+r.Intn(60)) * Token / 2, Burst: Tokens(1+r.Intn(9)) * Token}
	timeout := []time.Duration{DefaultLeaseTimings().Timeout, 3 * time.Second}[r.Intn(2)]
	f := newSimulatedFleet(seed, m, 2+r.Intn(4), quota, timeout)
	f.lostPercent, f.latePercent, f.duplicatePercent = []int{0, 0, 5}[r.Intn(3)], 10*r.Intn(2), 20*r.Intn(2)
	faultInterval := []int{1, 4, 20}[r.Intn(3)]
	phaseSteps := []int{30, 400}[r.Intn(2)]
	focus, maxRequests, spread := 0, 3, 3
	for n := range steps {
		if err := f.step(time.Duration(r.Int63n(int64(60 * time.Millisecond)))); err != nil {
			return err
		}
		if n%faultInterval == 0 {
			f.injectFault()
		}
		if r.Intn(phaseSteps) == 0 {
			focus, maxRequests, spread = r.Intn(len(f.nodes)), []int{0, 1, 3, 8}[r.Intn(4)], 1+r.Intn(4)
		}
		for range r.Intn(maxRequests + 1) {
			i := focus
			if r.Intn(spread) == 0 {
				i = r.Intn(len(f.nodes))
			}
			if err := f.request(i, 5*time.Second); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestNoSimulationAdmitsMoreThanRateAndBurst checks that no fleet admits more than the rate and burst of an account
// under faults.
func TestNoSimulationAdmitsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Int64().Draw(t, "first seed")
		for seed := range int64(simulationsPerCheck) {
			if err := simulate(first+seed, "", 600); err != nil {
				t.Fatalf("seed %d: %v", first+seed, err)
			}
		}
	})
}

// TestSimulationsFindPlantedFaults checks that the simulations are able to detect each planted fault.
func TestSimulationsFindPlantedFaults(t *testing.T) {
	for _, m := range []mutation{
		leaseFromReceipt, takeoverWithoutWait, levelCopied, tokenNotCounted, statementTwice, actsWithoutStanding,
		keepsOldLeases,
	} {
		t.Run(string(m), func(t *testing.T) {
			const maxSimulations = 2000
			for seed := range int64(maxSimulations) {
				if err := simulate(seed, m, 600); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d simulations", maxSimulations)
		})
	}
}

// loadCase is a demand within an account's rate on a healthy fleet.
type loadCase struct {
	name     string
	rate     float64
	burst    int
	nodes    int
	requests int
	interval time.Duration
	// node picks the node of a request.
	node func(r *rand.Rand, request int) int
	// maxWait is how long a request may wait.
	maxWait time.Duration
}

// TestHealthyFleetRefusesNothingWithinRate checks that a demand within the rate is admitted and waits only briefly.
func TestHealthyFleetRefusesNothingWithinRate(t *testing.T) {
	roundRobin := func(_ *rand.Rand, n int) int { return n % 4 }
	random := func(r *rand.Rand, _ int) int { return r.Intn(4) }
	switching := func(_ *rand.Rand, n int) int { return n / 500 % 4 }
	for _, c := range []loadCase{
		{"burst 1, each request elsewhere", 2, 1, 4, 200, 510 * time.Millisecond, roundRobin, time.Second},
		{"burst 1, one instance", 2, 1, 4, 200, 500 * time.Millisecond, func(*rand.Rand, int) int { return 0 }, time.Second},
		{"burst 2, each request elsewhere", 4, 2, 4, 400, 250 * time.Millisecond, roundRobin, time.Second},
		{"thin, spread", 10, 5, 4, 200, 700 * time.Millisecond, roundRobin, time.Second},
		{"heavy, spread", 100, 20, 4, 4000, 10500 * time.Microsecond, roundRobin, 2 * time.Second},
		{"heavy, at random", 100, 20, 4, 4000, 10500 * time.Microsecond, random, 2 * time.Second},
		{"heavy, jumping", 100, 20, 4, 4000, 10500 * time.Microsecond, switching, 2 * time.Second},
		{"264 a second, jumping", 264, 60, 4, 4000, 3977 * time.Microsecond, switching, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSimulatedFleet(1, "", c.nodes, Of(&Account{Rate: c.rate, Burst: c.burst}), DefaultLeaseTimings().Timeout)
			is.NoErr(f.run(c))
			longest := time.Duration(0)
			if len(f.waits) > 0 {
				longest = slices.Max(f.waits)
			}
			var exchanges uint64
			for _, n := range f.nodes {
				exchanges += n.holder.Stats().Requests
			}
			t.Logf("%d admitted, %d waiting, %d refused, longest wait %v, %d exchanges in %v",
				f.admitted, len(f.waiting), f.refused, longest, exchanges, f.now)
			is.Equal(f.refused, 0)
			is.Equal(len(f.waiting), 0)
			is.Equal(f.admitted, c.requests)
			is.True(longest <= c.maxWait)
		})
	}
}

// run sends the requests of a load, and then waits until the last one could proceed.
func (f *simulatedFleet) run(c loadCase) error {
	const step = time.Millisecond / 2
	if err := f.step(5 * time.Second); err != nil {
		return err
	}
	start := f.now
	for n := 0; n < c.requests || f.now < start+c.interval*time.Duration(c.requests)+c.maxWait; {
		if n < c.requests && f.now >= start+c.interval*time.Duration(n) {
			if err := f.request(c.node(f.random, n), 30*time.Second); err != nil {
				return err
			}
			n++
		}
		if err := f.step(step); err != nil {
			return err
		}
	}
	return nil
}

// TestPendingChangeLimitsShareUntilSettled checks that a coordinator keeps to the configuration in force while a change
// is pending, however long that is, and for the settle time after its acceptance, since other coordinators may still
// act on it.
func TestPendingChangeLimitsShareUntilSettled(t *testing.T) {
	is := is.New(t)
	f := newSimulatedFleet(1, "", 3, Quota{Rate: 10 * Token, Burst: 6 * Token}, time.Second)
	high, low := f.limit, Quota{Rate: 10 * Token, Burst: Token}
	coordinator := Divide(account, low, f.changes[0].roster)[0].Coordinator.ID
	now := AccountQuotas{Strict: high, InForce: high}
	allocator := NewAllocator(coordinator, 0, 6*time.Second, func(string) AccountQuotas { return now })
	allocator.SetRoster(0, f.changes[0].roster, nil)
	rate := func(at time.Duration) Tokens { return allocator.Allocation(at, account).Share.Rate }
	third := rate(time.Minute)
	is.True(third < high.Rate/2)
	now = AccountQuotas{Strict: low, InForce: high, Pending: []Quota{low}}
	is.Equal(rate(time.Hour), third) // the other coordinators may still act on their thirds
	now = AccountQuotas{Strict: low, InForce: low}
	allocator.RecordChange(2*time.Hour, account, high, low)
	is.Equal(rate(2*time.Hour+5*time.Second), third)
	is.Equal(rate(2*time.Hour+6*time.Second), low.Rate)
}

// TestCrashOfCoordinatorRefusesNothing checks that no request is refused when a coordinator crashes, a roster without
// it is accepted 3 s later, and the demand stays at nine tenths of the rate.
func TestCrashOfCoordinatorRefusesNothing(t *testing.T) {
	is := is.New(t)
	f := newSimulatedFleet(1, "", 10, Of(&Account{Rate: 100, Burst: 30}), DefaultLeaseTimings().Timeout)
	is.NoErr(f.run(loadCase{requests: 900, interval: 11 * time.Millisecond, node: func(r *rand.Rand, _ int) int { return r.Intn(10) }}))
	crashed := f.indexOf(Divide(account, f.limit, f.changes[0].roster)[0].Coordinator.ID)
	f.restart(crashed)
	f.changes = append(f.changes, change{acceptedAt: f.now + 3*time.Second, announcedAt: f.now, roster: f.roster(1), quota: f.limit})
	f.changes[1].roster.Epoch = 2
	for n, end := 0, f.now+30*time.Second; f.now < end; n++ {
		for _, x := range f.nodes {
			f.applyChanges(x, f.newest(), f.newest())
		}
		is.NoErr(f.request((crashed+1+f.random.Intn(9))%10, 30*time.Second))
		is.NoErr(f.step(11 * time.Millisecond))
	}
	is.NoErr(f.step(time.Second))
	t.Logf("%d admitted, %d waiting, %d refused, longest wait %v", f.admitted, len(f.waiting), f.refused, slices.Max(f.waits))
	is.Equal(f.refused, 0)
	is.True(slices.Max(f.waits) < 10*time.Second)
}

// BenchmarkControlTraffic measures what leases cost a node that receives 264 requests per second: messages and bytes
// sent per second and node, by number of accounts and by number of instances that receive an account's requests.
func BenchmarkControlTraffic(b *testing.B) {
	const nodes, perNode, simulated = 8, 264, 5 * time.Second
	for _, c := range []struct{ accounts, spread int }{{1, 1}, {8, 1}, {80, 1}, {8, 2}, {8, 8}, {80, 8}, {800, 8}} {
		b.Run(fmt.Sprintf("accounts=%d/instances=%d", c.accounts, c.spread), func(b *testing.B) {
			for b.Loop() {
				rate := float64(nodes*perNode) / float64(c.accounts) / 0.8
				f := newSimulatedFleet(1, "", nodes, Of(&Account{Rate: rate, Burst: max(int(rate), 2)}), DefaultLeaseTimings().Timeout)
				f.countsTraffic = true
				interval := time.Second / (nodes * perNode)
				for f.now < simulated {
					a := f.random.Intn(c.accounts)
					if err := f.requestFor((a+f.random.Intn(c.spread))%nodes, strconv.Itoa(a), time.Minute); err != nil {
						b.Fatal(err)
					}
					if err := f.step(interval); err != nil {
						b.Fatal(err)
					}
				}
				perSecond := nodes * simulated.Seconds()
				b.ReportMetric(float64(f.sent)/perSecond, "messages/s/node")
				b.ReportMetric(float64(f.bytes)/perSecond, "bytes/s/node")
				b.ReportMetric(float64(f.admitted)/perSecond, "requests/s/node")
			}
		})
	}
}

// BenchmarkAdmit measures the time of one admission from a lease, with other accounts in use.
func BenchmarkAdmit(b *testing.B) {
	f := newSimulatedFleet(1, "", 1, Of(&Account{Rate: 1e9, Burst: 1 << 29}), DefaultLeaseTimings().Timeout)
	f.countsTraffic = true
	for range 1000 {
		if f.requestFor(0, account, time.Minute) != nil || f.step(time.Millisecond) != nil {
			b.Fatal("fault")
		}
	}
	n := f.nodes[0]
	for b.Loop() {
		n.holder.Admit(n.clock(f.now), account, n.clock(f.now)+time.Minute)
	}
}
