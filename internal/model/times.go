package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// Exponential returns a sampler of exponentially distributed times.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
}

// Hyperexponential returns a sampler of a mixture of two exponential distributions with balanced means. The coefficient
// of variation is cv.
func Hyperexponential(mean time.Duration, cv float64) func(*rand.Rand) time.Duration {
	p := (1 + math.Sqrt((cv*cv-1)/(cv*cv+1))) / 2
	return func(r *rand.Rand) time.Duration {
		share := p
		if r.Float64() >= p {
			share = 1 - p
		}
		return time.Duration(r.ExpFloat64() * float64(mean) / (2 * share))
	}
}

// Lognormal returns a sampler of lognormally distributed times with the coefficient of variation cv.
func Lognormal(mean time.Duration, cv float64) func(*rand.Rand) time.Duration {
	variance := math.Log(1 + cv*cv)
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(mean) * math.Exp(r.NormFloat64()*math.Sqrt(variance)-variance/2))
	}
}
