package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// strategy is the reaction to an attempt that takes longer than the hedge delay.
type strategy int

const (
	wait    strategy = iota
	replace          // abandon the attempt and start another one
	hedge            // start another attempt and use the first response
)

// latencySampler draws the latency of one attempt at a healthy endpoint or at one with a gray failure.
type latencySampler func(r *rand.Rand, gray bool) time.Duration

const forever = time.Hour

// exponential samples an exponential distribution; a gray endpoint never responds.
func exponential(mean time.Duration) latencySampler {
	return func(r *rand.Rand, gray bool) time.Duration {
		if gray {
			return forever
		}
		return time.Duration(float64(mean) * r.ExpFloat64())
	}
}

// heavyTailed samples a lognormal distribution with a coefficient of variation of 4.
func heavyTailed(mean time.Duration, grayFactor float64) latencySampler {
	sigma2 := math.Log(1 + 16.0)
	return func(r *rand.Rand, gray bool) time.Duration {
		t := float64(mean) * math.Exp(math.Sqrt(sigma2)*r.NormFloat64()-sigma2/2)
		if gray {
			t *= grayFactor
		}
		return time.Duration(t)
	}
}

// BenchmarkHedging compares the latencies that clients see while one of eight endpoints has a gray failure and is not
// yet ejected. It does not model queueing; the budget bounds the load of additional attempts.
func BenchmarkHedging(b *testing.B) {
	const deadline = 5 * time.Second
	for _, service := range []struct {
		name    string
		sampler latencySampler
	}{
		{"hang", exponential(20 * time.Millisecond)},
		{"slow5-heavy-tailed", heavyTailed(20*time.Millisecond, 5)},
		{"healthy-heavy-tailed", heavyTailed(20*time.Millisecond, 1)},
	} {
		for name, s := range map[string]strategy{"wait": wait, "replace": replace, "hedge": hedge} {
			b.Run(service.name+"/"+name, func(b *testing.B) {
				r := rand.New(rand.NewPCG(1, 1))
				var budget Budget
				var tracker LatencyTracker
				h := hdrhistogram.New(1, 10_000_000, 3)
				failed, attempts := 0, 0
				for range b.N {
					budget.Deposit()
					latency, attemptLatency, n := simulateRequest(r, service.sampler, s, &budget, tracker.HedgeDelay())
					attempts += n
					if latency > deadline {
						failed++
						latency = deadline
					} else {
						tracker.Observe(attemptLatency)
					}
					_ = h.RecordValue(latency.Microseconds())
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(100*float64(failed)/float64(b.N), "failed-%")
				b.ReportMetric(float64(attempts)/float64(b.N), "attempts/request")
			})
		}
	}
}

// simulateRequest returns the latency of the request, the latency of the attempt that responded, and the number of
// attempts.
func simulateRequest(
	r *rand.Rand, sample latencySampler, s strategy, budget *Budget, delay time.Duration,
) (latency, attemptLatency time.Duration, attempts int) {
	endpoint := r.IntN(8)
	latency = sample(r, endpoint == 0)
	attemptLatency = latency
	attempts = 1
	for start := delay; s != wait && attempts < 4 && latency > start; start += delay {
		if !budget.Withdraw() {
			break
		}
		endpoint = (endpoint + 1) % 8
		next := sample(r, endpoint == 0)
		if s == replace || start+next < latency {
			latency, attemptLatency = start+next, next
		}
		attempts++
	}
	return latency, attemptLatency, attempts
}
