package contract

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

const historiesPerCheck = 4

// history runs a fleet under faults and demand that comes and goes, and returns the first admission over the limit.
func history(seed int64, m mutation, steps int) error {
	r := rand.New(rand.NewSource(seed))
	whole := Quota{Rate: Tokens(1+r.Intn(60)) * Token / 2, Burst: Tokens(1+r.Intn(9)) * Token}
	timeout := []time.Duration{DefaultLeaseTimings().Timeout, 3 * time.Second}[r.Intn(2)]
	w := newWorld(seed, m, 2+r.Intn(4), whole, timeout)
	w.lost, w.late, w.doubled = []int{0, 0, 5}[r.Intn(3)], 10*r.Intn(2), 20*r.Intn(2)
	trouble := []int{1, 4, 20}[r.Intn(3)]
	phase := []int{30, 400}[r.Intn(2)]
	focus, most, spread := 0, 3, 3
	for n := range steps {
		if err := w.step(time.Duration(r.Int63n(int64(60 * time.Millisecond)))); err != nil {
			return err
		}
		if n%trouble == 0 {
			w.disturb()
		}
		if r.Intn(phase) == 0 {
			focus, most, spread = r.Intn(len(w.nodes)), []int{0, 1, 3, 8}[r.Intn(4)], 1+r.Intn(4)
		}
		for range r.Intn(most + 1) {
			i := focus
			if r.Intn(spread) == 0 {
				i = r.Intn(len(w.nodes))
			}
			if err := w.ask(i, 5*time.Second); err != nil {
				return err
			}
		}
	}
	return nil
}

func TestNoHistoryAdmitsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Int64().Draw(t, "first seed")
		for seed := range int64(historiesPerCheck) {
			if err := history(first+seed, "", 600); err != nil {
				t.Fatalf("seed %d: %v", first+seed, err)
			}
		}
	})
}

func TestSearchFindsPlantedFaults(t *testing.T) {
	for _, m := range []mutation{leaseFromReceipt, takeoverWithoutWait, levelCopied, tokenNotCounted, statementTwice, actsWithoutStanding, keepsOldLeases} {
		t.Run(string(m), func(t *testing.T) {
			const most = 2000
			for seed := range int64(most) {
				if err := history(seed, m, 600); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d histories", most)
		})
	}
}

// load is demand within an account's rate on a healthy fleet.
type load struct {
	name     string
	rate     float64
	burst    int
	nodes    int
	requests int
	gap      time.Duration
	// at picks the node of a request.
	at func(r *rand.Rand, request int) int
	// longest is how long a request may wait.
	longest time.Duration
}

func TestHealthyFleetRefusesNothingWithinRate(t *testing.T) {
	turn := func(_ *rand.Rand, n int) int { return n % 4 }
	anywhere := func(r *rand.Rand, _ int) int { return r.Intn(4) }
	jump := func(_ *rand.Rand, n int) int { return n / 500 % 4 }
	for _, c := range []load{
		{"burst 1, each request elsewhere", 2, 1, 4, 200, 510 * time.Millisecond, turn, time.Second},
		{"burst 1, one instance", 2, 1, 4, 200, 500 * time.Millisecond, func(*rand.Rand, int) int { return 0 }, time.Second},
		{"burst 2, each request elsewhere", 4, 2, 4, 400, 250 * time.Millisecond, turn, time.Second},
		{"thin, spread", 10, 5, 4, 200, 700 * time.Millisecond, turn, time.Second},
		{"heavy, spread", 100, 20, 4, 4000, 10500 * time.Microsecond, turn, 2 * time.Second},
		{"heavy, at random", 100, 20, 4, 4000, 10500 * time.Microsecond, anywhere, 2 * time.Second},
		{"heavy, jumping", 100, 20, 4, 4000, 10500 * time.Microsecond, jump, 2 * time.Second},
		{"264 a second, jumping", 264, 60, 4, 4000, 3977 * time.Microsecond, jump, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, "", c.nodes, QuotaOf(&Account{Rate: c.rate, Burst: c.burst}), DefaultLeaseTimings().Timeout)
			is.NoErr(w.run(c))
			longest := time.Duration(0)
			if len(w.waits) > 0 {
				longest = slices.Max(w.waits)
			}
			var exchanges uint64
			for _, n := range w.nodes {
				exchanges += n.holder.Stats().Requests
			}
			t.Logf("%d admitted, %d waiting, %d refused, longest wait %v, %d exchanges in %v", w.admitted, len(w.waiting), w.hopeless, longest, exchanges, w.t)
			is.Equal(w.hopeless, 0)
			is.Equal(len(w.waiting), 0)
			is.Equal(w.admitted, c.requests)
			is.True(longest <= c.longest)
		})
	}
}

// run brings the requests of a load and then waits until the last could go on.
func (w *world) run(c load) error {
	const step = time.Millisecond / 2
	if err := w.step(5 * time.Second); err != nil {
		return err
	}
	start := w.t
	for n := 0; n < c.requests || w.t < start+c.gap*time.Duration(c.requests)+c.longest; {
		if n < c.requests && w.t >= start+c.gap*time.Duration(n) {
			if err := w.ask(c.at(w.r, n), 30*time.Second); err != nil {
				return err
			}
			n++
		}
		if err := w.step(step); err != nil {
			return err
		}
	}
	return nil
}

// TestPendingConfigurationBindsUntilItIsSettled: others may act on what is in force as long as a change is pending,
// however long that is, and for the wait after it was accepted.
func TestPendingConfigurationBindsUntilItIsSettled(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, "", 3, Quota{Rate: 10 * Token, Burst: 6 * Token}, time.Second)
	high, low := w.limit, Quota{Rate: 10 * Token, Burst: Token}
	home := Divide(account, low, w.changes[0].roster)[0].Coordinator.ID
	now := AccountQuotas{Strict: high, InForce: high}
	e := NewAllocator(home, 0, 6*time.Second, func(string) AccountQuotas { return now })
	e.SetRoster(0, w.changes[0].roster, nil)
	rate := func(at time.Duration) Tokens { return e.Allocation(at, account).Share.Rate }
	third := rate(time.Minute)
	is.True(third < high.Rate/2)
	now = AccountQuotas{Strict: low, InForce: high, Pending: []Quota{low}}
	is.Equal(rate(time.Hour), third) // the other homes may act on their thirds
	now = AccountQuotas{Strict: low, InForce: low}
	e.RecordChange(2*time.Hour, account, high, low)
	is.Equal(rate(2*time.Hour+5*time.Second), third)
	is.Equal(rate(2*time.Hour+6*time.Second), low.Rate)
}

// TestDeathOfAHomeRefusesNobody: a home dies, a roster without it is accepted 3 s later, and the demand goes on at
// nine tenths of the rate.
func TestDeathOfAHomeRefusesNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, "", 10, QuotaOf(&Account{Rate: 100, Burst: 30}), DefaultLeaseTimings().Timeout)
	is.NoErr(w.run(load{requests: 900, gap: 11 * time.Millisecond, at: func(r *rand.Rand, _ int) int { return r.Intn(10) }}))
	dead := w.find(Divide(account, w.limit, w.changes[0].roster)[0].Coordinator.ID)
	w.restart(dead)
	w.changes = append(w.changes, change{at: w.t + 3*time.Second, announced: w.t, roster: w.roster(1), whole: w.limit})
	w.changes[1].roster.Epoch = 2
	for n, end := 0, w.t+30*time.Second; w.t < end; n++ {
		for _, x := range w.nodes {
			w.learn(x, w.newest(), w.newest())
		}
		is.NoErr(w.ask((dead+1+w.r.Intn(9))%10, 30*time.Second))
		is.NoErr(w.step(11 * time.Millisecond))
	}
	is.NoErr(w.step(time.Second))
	t.Logf("%d admitted, %d waiting, %d refused, longest wait %v", w.admitted, len(w.waiting), w.hopeless, slices.Max(w.waits))
	is.Equal(w.hopeless, 0)
	is.True(slices.Max(w.waits) < 10*time.Second)
}

// BenchmarkControlTraffic gives what leases cost a node that takes 264 requests a second: messages and bytes sent
// per second and node, by accounts and by the instances that an account's requests come to.
func BenchmarkControlTraffic(b *testing.B) {
	const nodes, perNode, simulated = 8, 264, 5 * time.Second
	for _, c := range []struct{ accounts, spread int }{{1, 1}, {8, 1}, {80, 1}, {8, 2}, {8, 8}, {80, 8}, {800, 8}} {
		b.Run(fmt.Sprintf("accounts=%d/instances=%d", c.accounts, c.spread), func(b *testing.B) {
			for b.Loop() {
				rate := float64(nodes*perNode) / float64(c.accounts) / 0.8
				w := newWorld(1, "", nodes, QuotaOf(&Account{Rate: rate, Burst: max(int(rate), 2)}), DefaultLeaseTimings().Timeout)
				w.measured = true
				gap := time.Second / (nodes * perNode)
				for w.t < simulated {
					a := w.r.Intn(c.accounts)
					if err := w.askFor((a+w.r.Intn(c.spread))%nodes, strconv.Itoa(a), time.Minute); err != nil {
						b.Fatal(err)
					}
					if err := w.step(gap); err != nil {
						b.Fatal(err)
					}
				}
				perSecond := nodes * simulated.Seconds()
				b.ReportMetric(float64(w.sent)/perSecond, "messages/s/node")
				b.ReportMetric(float64(w.bytes)/perSecond, "bytes/s/node")
				b.ReportMetric(float64(w.admitted)/perSecond, "requests/s/node")
			}
		})
	}
}

// BenchmarkAdmit gives the time of one admission from a lease, with other accounts in use.
func BenchmarkAdmit(b *testing.B) {
	w := newWorld(1, "", 1, QuotaOf(&Account{Rate: 1e9, Burst: 1 << 29}), DefaultLeaseTimings().Timeout)
	w.measured = true
	for range 1000 {
		if w.askFor(0, account, time.Minute) != nil || w.step(time.Millisecond) != nil {
			b.Fatal("fault")
		}
	}
	n := w.nodes[0]
	for b.Loop() {
		n.holder.Admit(n.clock(w.t), account, n.clock(w.t)+time.Minute)
	}
}
