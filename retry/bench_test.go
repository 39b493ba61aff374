package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// way is what is done when a try takes longer than the limit.
type way int

const (
	waitOn way = iota
	giveUp
	joinIt
)

// draw is the time of one try at one of eight endpoints, the first of which is gray.
type draw func(r *rand.Rand, gray bool) time.Duration

const forever = time.Hour

func exponential(mean time.Duration) draw {
	return func(r *rand.Rand, gray bool) time.Duration {
		if gray {
			return forever
		}
		return time.Duration(float64(mean) * r.ExpFloat64())
	}
}

// heavyTailed has a coefficient of variation of 4 (lognormal).
func heavyTailed(mean time.Duration, grayFactor float64) draw {
	sigma2 := math.Log(1 + 16.0)
	return func(r *rand.Rand, gray bool) time.Duration {
		t := float64(mean) * math.Exp(math.Sqrt(sigma2)*r.NormFloat64()-sigma2/2)
		if gray {
			t *= grayFactor
		}
		return time.Duration(t)
	}
}

// BenchmarkSecondTry compares what callers see of one gray endpoint among eight that nobody has ejected yet.
// Queueing is left out; the budget bounds what tries add to the load.
func BenchmarkSecondTry(b *testing.B) {
	const deadline = 5 * time.Second
	for _, service := range []struct {
		name string
		draw draw
	}{
		{"hang", exponential(20 * time.Millisecond)},
		{"slow5-heavy-tailed", heavyTailed(20*time.Millisecond, 5)},
		{"healthy-heavy-tailed", heavyTailed(20*time.Millisecond, 1)},
	} {
		for name, w := range map[string]way{"wait": waitOn, "give-up": giveUp, "join": joinIt} {
			b.Run(service.name+"/"+name, func(b *testing.B) {
				r := rand.New(rand.NewPCG(1, 1))
				var budget Budget
				var pace LatencyTracker
				h := hdrhistogram.New(1, 10_000_000, 3)
				failed, tries := 0, 0
				for range b.N {
					budget.Deposit()
					took, own, n := second(r, service.draw, w, &budget, pace.HedgeDelay())
					tries += n
					if took > deadline {
						failed++
						took = deadline
					} else {
						pace.Observe(own)
					}
					_ = h.RecordValue(took.Microseconds())
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(100*float64(failed)/float64(b.N), "failed-%")
				b.ReportMetric(float64(tries)/float64(b.N), "tries/request")
			})
		}
	}
}

// second returns when the first answer came, how long its own try took, and how many tries were made.
func second(r *rand.Rand, d draw, w way, budget *Budget, limit time.Duration) (took, own time.Duration, tries int) {
	endpoint := r.IntN(8)
	took = d(r, endpoint == 0)
	own = took
	tries = 1
	for start := limit; w != waitOn && tries < 4 && took > start; start += limit {
		if !budget.Withdraw() {
			break
		}
		endpoint = (endpoint + 1) % 8
		next := d(r, endpoint == 0)
		if w == giveUp || start+next < took {
			took, own = start+next, next
		}
		tries++
	}
	return took, own, tries
}
