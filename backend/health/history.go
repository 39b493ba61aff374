package health

import "math"

const (
	// bucketCount is the number of buckets for the ratio of a time to the average time. The width of the buckets is
	// logarithmic; centerBucket holds the ratio 1.
	bucketCount        = 88
	bucketsPerDoubling = 4
	centerBucket       = 32
	// slowShift is the distance in buckets between the healthy distribution and the slow one, which is 4 times as slow.
	slowShift = 2 * bucketsPerDoubling

	// Before anything is observed, a lognormal distribution is assumed: priorSigma is its standard deviation in buckets
	// and priorWeight its weight in observations, which decreases to minPriorWeight by priorFadeCount observations.
	priorSigma     = 9.8
	priorWeight    = 50.0
	priorFadeCount = 1000.0
	minPriorWeight = 0.5

	// The threshold of slowness is raised by youngFactor at first, which decreases to 1 by youngCount observations.
	youngFactor = 1.5
	youngCount  = 4000.0

	// maxScore limits the evidence of one observation.
	maxScore = 3.0
	// maxCount is the number of observations at which all counts are halved, so that old observations lose weight.
	maxCount = 20_000.0
	// tabulateInterval is the number of observations after which the tables are recomputed.
	tabulateInterval = 64
	// The tail is the smallest range of the longest times that holds a share of minTailShare and minTailCount
	// observations.
	minTailShare = 0.002
	minTailCount = 10.0
	// The tail is assumed to be longer than observed: by a margin, by a number of standard errors of its mean, and by an
	// additional margin that decreases with the weight of the prior distribution.
	tailMargin      = 1.25
	tailErrors      = 2.0
	youngTailMargin = 4.0
)

// history is the distribution of a backend server's times as ratios to their average.
type history struct {
	// count is the number of observations by bucket, with fractions for censored ones.
	count          [bucketCount]float64
	total          float64
	sinceTabulated int
	score          [bucketCount]float64 // log-likelihood ratio of the slow against the healthy distribution, by bucket
	scoreBeyond    [bucketCount]float64 // the same for times of at least the bucket, for censored observations
	tail           tail
	probability    [bucketCount]float64 // by bucket, from the counts and the prior distribution
	meanRatio      float64              // of the distribution
}

// tail describes the distribution beyond the times that were observed often enough; it is exponential there.
type tail struct {
	from   float64 // smallest ratio in the tail
	share  float64 // share of busy time that is spent at greater ages than from
	excess float64 // mean excess over from, as a ratio
}

// newHistory returns a history without observations, which has the prior distribution.
func newHistory() *history {
	h := &history{}
	h.tabulate()
	return h
}

// bucketOf returns the bucket of a ratio.
func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	b := int(math.Round(bucketsPerDoubling*math.Log2(ratio))) + centerBucket
	return min(max(b, 0), bucketCount-1)
}

// bucketMiddle returns the ratio in the middle of a bucket.
func bucketMiddle(b int) float64 { return math.Exp2(float64(b-centerBucket) / bucketsPerDoubling) }

// bucketLowerEdge returns the ratio at the lower edge of a bucket.
func bucketLowerEdge(b int) float64 {
	return math.Exp2((float64(b-centerBucket) - 0.5) / bucketsPerDoubling)
}

// learn adds one observation. A censored one is distributed over the longer times in proportion to their probability.
func (h *history) learn(ratio float64, censored bool) {
	b := bucketOf(ratio)
	if above := h.probabilityAbove(b); censored && above > 0 {
		for i := b + 1; i < bucketCount; i++ {
			h.count[i] += h.probability[i] / above
		}
	} else {
		h.count[b]++
	}
	h.total++
	if h.total > maxCount {
		for b := range h.count {
			h.count[b] /= 2
		}
		h.total /= 2
	}
	h.sinceTabulated++
	if h.sinceTabulated >= tabulateInterval {
		h.tabulate()
	}
}

// youthFactor returns the factor on the threshold of slowness: youngFactor for a history without observations, and 1
// for one with at least youngCount.
func (h *history) youthFactor() float64 {
	return 1 + (youngFactor-1)*max(0, 1-h.total/youngCount)
}

// probabilityAbove returns the probability of the buckets above b.
func (h *history) probabilityAbove(b int) float64 {
	sum := 0.0
	for i := b + 1; i < bucketCount; i++ {
		sum += h.probability[i]
	}
	return sum
}

// meanBeyond returns the mean logarithm of the ratios in the buckets above the one of ratio, or the logarithm of ratio
// itself if these have no probability.
func (h *history) meanBeyond(ratio float64) float64 {
	b := bucketOf(ratio)
	above := h.probabilityAbove(b)
	if above <= 0 {
		return math.Log(ratio)
	}
	sum := 0.0
	for i := b + 1; i < bucketCount; i++ {
		sum += h.probability[i] * math.Log(bucketMiddle(i))
	}
	return sum / above
}

// tabulate recomputes the tables from the counts.
func (h *history) tabulate() {
	h.sinceTabulated = 0
	h.tabulateProbabilities()
	h.tabulateScores()
	h.tabulateTail()
}

// tabulateProbabilities computes the probabilities and the mean ratio from the counts and the prior distribution.
func (h *history) tabulateProbabilities() {
	weight := max(minPriorWeight, priorWeight*(1-h.total/priorFadeCount))
	sum := 0.0
	h.meanRatio = 0
	for b := range h.probability {
		z := float64(b-centerBucket) / priorSigma
		prior := math.Exp(-z*z/2) / (priorSigma * math.Sqrt(2*math.Pi))
		h.probability[b] = h.count[b] + weight*prior
		sum += h.probability[b]
	}
	for b := range h.probability {
		h.probability[b] /= sum
		h.meanRatio += h.probability[b] * bucketMiddle(b)
	}
}

// tabulateScores computes the scores. It makes them monotonic, so that a longer time is never weaker evidence of
// slowness than a shorter one above the average.
func (h *history) tabulateScores() {
	minProbability := 1 / (h.total + priorWeight)
	probability := smoothNeighbors(h.probability)
	healthy, slow := 1.0, 1.0
	for b := range bucketCount {
		shifted := 0.0
		if b >= slowShift {
			shifted = probability[b-slowShift]
		}
		h.score[b] = clampScore(math.Log((shifted + minProbability) / (probability[b] + minProbability)))
		h.scoreBeyond[b] = clampScore(math.Log((slow + minProbability) / (healthy + minProbability)))
		if b > centerBucket {
			h.score[b] = max(h.score[b], h.score[b-1])
		}
		if b > 0 {
			h.scoreBeyond[b] = max(h.scoreBeyond[b], h.scoreBeyond[b-1])
		}
		healthy -= probability[b]
		slow -= shifted
	}
}

// smoothNeighbors spreads the probability of each bucket over its neighbors.
func smoothNeighbors(probability [bucketCount]float64) (out [bucketCount]float64) {
	kernel := [...]float64{1.0 / 9, 2.0 / 9, 3.0 / 9, 2.0 / 9, 1.0 / 9}
	for b, x := range probability {
		for k, weight := range kernel {
			to := min(max(b+k-len(kernel)/2, 0), bucketCount-1)
			out[to] += weight * x
		}
	}
	return out
}

// clampScore limits a score to the range from -maxScore to maxScore.
func clampScore(x float64) float64 { return min(max(x, -maxScore), maxScore) }

// tabulateTail computes where the tail begins and how long it is assumed to be.
func (h *history) tabulateTail() {
	minShare := max(minTailShare, minTailCount/(h.total+priorWeight))
	sum, first := 0.0, bucketCount
	for first > 0 && sum < minShare {
		first--
		sum += h.probability[first]
	}
	from := bucketLowerEdge(first)
	excess := 0.0
	for b := first; b < bucketCount; b++ {
		excess += h.probability[b] * (bucketMiddle(b) - from)
	}
	margin := tailMargin*(1+tailErrors/math.Sqrt(max(1, sum*h.total))) +
		youngTailMargin*max(0, 1-h.total/priorFadeCount)
	h.tail = tail{from: from, share: excess / h.meanRatio, excess: margin * excess / sum}
}

// surprisal returns how improbable it is that a request in a busy slot of a healthy backend server has this age: minus
// the logarithm of the share of busy time that is spent at greater ages.
func (h *history) surprisal(ratio float64) float64 {
	if ratio >= h.tail.from {
		return -math.Log(h.tail.share) + (ratio-h.tail.from)/h.tail.excess
	}
	older := 0.0
	for b := bucketOf(ratio); b < bucketCount; b++ {
		if m := bucketMiddle(b); m > ratio {
			older += h.probability[b] * (m - ratio)
		}
	}
	return max(0, -math.Log(older/h.meanRatio))
}
