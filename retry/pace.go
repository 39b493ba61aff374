package retry

import (
	"math"
	"time"
)

const (
	// coldLimit holds until enough tries were seen.
	coldLimit = time.Second
	// minLimit keeps fast services from being asked twice for a hiccup of the machine.
	minLimit   = 20 * time.Millisecond
	minSamples = 30
	// factor is how much longer than the 99th percentile a try takes before another joins it.
	factor     = 3
	percentile = 0.99

	stepsPerDouble = 4 // buckets per doubling of the time, from 1 ms
	buckets        = 64
	halveAt        = 2048 // samples
)

// LatencyTracker keeps the distribution of the times of whole answers, the recent ones weighing more.
type LatencyTracker struct {
	counts  [buckets]uint32
	total   uint32
	limit   time.Duration
	unknown uint32 // samples since limit was worked out
}

// Observe notes how long a try took until its answer was there.
func (p *LatencyTracker) Observe(took time.Duration) {
	p.counts[bucket(took)]++
	p.total++
	p.unknown++
	if p.total >= halveAt {
		p.halve()
	}
	if p.unknown*8 >= p.total || p.limit == 0 {
		p.work()
	}
}

// HedgeDelay is how long a try runs alone.
func (p *LatencyTracker) HedgeDelay() time.Duration {
	if p.total < minSamples {
		return coldLimit
	}
	return p.limit
}

func bucket(took time.Duration) int {
	if took <= time.Millisecond {
		return 0
	}
	b := int(math.Ceil(stepsPerDouble * math.Log2(float64(took)/float64(time.Millisecond))))
	return min(b, buckets-1)
}

// halve lets old samples fade.
func (p *LatencyTracker) halve() {
	p.total = 0
	for i := range p.counts {
		p.counts[i] /= 2
		p.total += p.counts[i]
	}
}

// work finds the limit from the counts.
func (p *LatencyTracker) work() {
	p.unknown = 0
	want := uint32(math.Ceil(percentile * float64(p.total)))
	seen := uint32(0)
	for i, n := range p.counts {
		seen += n
		if seen >= want {
			upper := float64(time.Millisecond) * math.Exp2(float64(i)/stepsPerDouble)
			p.limit = max(factor*time.Duration(upper), minLimit)
			return
		}
	}
}
