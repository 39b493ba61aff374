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

func TestRetriesAddAtMostAFifth(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Budget
		firsts, taken := 0, 0
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				b.Deposit()
				firsts++
			case 1:
				if taken > 0 && rapid.Bool().Draw(r, "unsent") {
					b.Refund()
					taken--
				}
			default:
				if b.Withdraw() {
					taken++
				}
			}
			if float64(taken) > share*float64(firsts)+reserve+1e-6 {
				r.Fatalf("%d retries for %d first tries", taken, firsts)
			}
		}
	})
}

// TestPaceFollowsThePercentile compares the limit with the true 99th percentile of exponential times, before and after
// the service slows down fourfold.
func TestPaceFollowsThePercentile(t *testing.T) {
	is := is.New(t)
	var p LatencyTracker
	is.Equal(p.HedgeDelay(), coldLimit)
	random := rand.New(rand.NewPCG(1, 1))
	for _, mean := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond} {
		for range 8 * halveAt {
			p.Observe(time.Duration(float64(mean) * random.ExpFloat64()))
		}
		want := factor * float64(mean) * math.Log(100)
		is.True(float64(p.HedgeDelay()) > 0.8*want)
		is.True(float64(p.HedgeDelay()) < 1.4*want)
	}
	for range 8 * halveAt {
		p.Observe(0)
	}
	is.Equal(p.HedgeDelay(), minLimit)
}
