package retry

import (
	"math"
	"time"
)

const (
	// initialHedgeDelay is used until minSamples attempts were observed.
	initialHedgeDelay = time.Second
	// minHedgeDelay prevents hedges of fast services because of a short stall of the machine.
	minHedgeDelay = 20 * time.Millisecond
	minSamples    = 30
	// delayFactor is the ratio of the hedge delay to the percentile of the latencies.
	delayFactor = 3
	percentile  = 0.99

	bucketsPerDoubling = 4 // histogram buckets per doubling of the latency, from 1 ms
	bucketCount        = 64
	halveAt            = 2048 // samples at which all counts are halved
)

// LatencyTracker keeps a histogram of the latencies of complete responses. Recent samples weigh more than old ones.
type LatencyTracker struct {
	counts     [bucketCount]uint32
	total      uint32
	delay      time.Duration
	newSamples uint32 // samples since delay was computed
}

// Observe records the latency of an attempt with a complete response.
func (l *LatencyTracker) Observe(latency time.Duration) {
	l.counts[bucket(latency)]++
	l.total++
	l.newSamples++
	if l.total >= halveAt {
		l.halve()
	}
	if l.newSamples*8 >= l.total || l.delay == 0 {
		l.computeDelay()
	}
}

// HedgeDelay returns how long an attempt runs before a hedge is sent.
func (l *LatencyTracker) HedgeDelay() time.Duration {
	if l.total < minSamples {
		return initialHedgeDelay
	}
	return l.delay
}

// bucket returns the index of the histogram bucket for a latency.
func bucket(latency time.Duration) int {
	if latency <= time.Millisecond {
		return 0
	}
	b := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(latency)/float64(time.Millisecond))))
	return min(b, bucketCount-1)
}

// halve halves all counts, so that old samples lose weight.
func (l *LatencyTracker) halve() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// computeDelay computes the hedge delay from the histogram.
func (l *LatencyTracker) computeDelay() {
	l.newSamples = 0
	rank := uint32(math.Ceil(percentile * float64(l.total)))
	seen := uint32(0)
	for i, n := range l.counts {
		seen += n
		if seen >= rank {
			upper := float64(time.Millisecond) * math.Exp2(float64(i)/bucketsPerDoubling)
			l.delay = max(delayFactor*time.Duration(upper), minHedgeDelay)
			return
		}
	}
}
