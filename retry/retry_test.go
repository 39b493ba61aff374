package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"
)

// TestBudgetBoundsRetries checks that retries add at most a fifth to the load, beyond the size of the bucket.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				b.Deposit()
				requests++
			case 1:
				if retries > 0 && rapid.Bool().Draw(r, "unsent") {
					b.Refund()
					retries--
				}
			default:
				if b.Withdraw() {
					retries++
				}
			}
			if float64(retries) > tokensPerRequest*float64(requests)+bucketSize+1e-6 {
				r.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// TestHedgeDelayFollowsThePercentile compares the hedge delay with the true 99th percentile of exponential latencies,
// before and after the service becomes four times slower.
func TestHedgeDelayFollowsThePercentile(t *testing.T) {
	is := is.New(t)
	var tracker LatencyTracker
	is.Equal(tracker.HedgeDelay(), initialHedgeDelay)
	random := rand.New(rand.NewPCG(1, 1))
	for _, mean := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond} {
		for range 8 * halveAt {
			tracker.Observe(time.Duration(float64(mean) * random.ExpFloat64()))
		}
		want := delayFactor * float64(mean) * math.Log(100)
		is.True(float64(tracker.HedgeDelay()) > 0.8*want)
		is.True(float64(tracker.HedgeDelay()) < 1.4*want)
	}
	for range 8 * halveAt {
		tracker.Observe(0)
	}
	is.Equal(tracker.HedgeDelay(), minHedgeDelay)
}
