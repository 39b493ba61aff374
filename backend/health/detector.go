package health

import (
	"math"
	"time"

	"amaranthstile/backend"
)

const (
	// failureThreshold and slowThreshold are the cumulative sums at which the backend server is ejected. The mean
	// number of requests of a healthy backend server until a false ejection is at least e to the power of the threshold.
	failureThreshold = 12.5
	slowThreshold    = 16.0
	// stuckThreshold is the threshold for requests in flight: minus the logarithm of an upper bound of the probability
	// that those of a healthy backend server reach such ages.
	stuckThreshold = 9.0

	// A healthy backend server may have peerFailureMargin times the failure rate of its peers, within
	// minHealthyFailureRate and maxHealthyFailureRate.
	minHealthyFailureRate = 0.014
	maxHealthyFailureRate = 0.5
	peerFailureMargin     = 1.5
	// The failure rate of a failing backend server is taken as failingRateFactor times that of a healthy one, within
	// minFailingRate and maxFailingRate.
	minFailingRate    = 0.3
	failingRateFactor = 3.0
	maxFailingRate    = 0.95
	// crossedWeight is the weight of a crossed response; other failures have weight 1.
	crossedWeight = 2.0

	// After a backend server returned to use, the thresholds are multiplied by these factors, so that a new failure is
	// detected sooner. The factors apply in full until probationStart and then rise to 1 at probationEnd. The factor
	// for requests in flight is larger, because little evidence is left in so short a time.
	probationFactor            = 0.35
	probationStuckFactor       = 0.5
	probationFailureRateFactor = 1.0 / 7 // for minHealthyFailureRate
	probationStart             = 10 * time.Second
	probationEnd               = time.Minute

	// suspectThreshold is the cumulative sum from which a backend server is suspected to be slow. It is ejected only
	// after confirmTime, so that reports of peers that slowed down as well can arrive.
	suspectThreshold = 4.0
	confirmTime      = time.Second
	// peersRoseFactor is the increase of the peers' latency after which the evidence of slowness is collected anew.
	peersRoseFactor = 1.5
	// minSlowFactor is how many times slower than its baseline a backend server must be to be ejected as slow.
	minSlowFactor = 1.8
	// toleratedSlowness is how many times slower than its peers a backend server may be if it always was.
	toleratedSlowness = 1.5
	// recentWeight and longTermWeight are the weights of one observation in the recent and the long-term averages,
	// recentFailureWeight that of one request in the recent failure rate.
	recentWeight        = 0.05
	longTermWeight      = 0.002
	recentFailureWeight = 0.1
	// pendingTimes is the number of latest times that are held back from the long-term history. An ejection discards
	// them, so that the times that led to it do not enter the history. It is also the number of learned times from
	// which the history is used.
	pendingTimes = 64
	// unansweredThreshold is the number of consecutive requests that ended without a response header after which a
	// backend server may be ejected as slow whatever its recent times.
	unansweredThreshold = 16
	// minPeers is the number of peers below which a backend server is compared with its own history instead.
	minPeers = 2
)

// Reason is the kind of evidence that led to an ejection.
type Reason string

// Reasons of an ejection: failed requests, slow responses, requests in flight without a response, or a failed trial.
const (
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slow"
	ReasonStuck    Reason = "stuck"
	ReasonTrial    Reason = "trial-failed"
)

// Change is how an event changed the verdict on a backend server.
type Change int

// Changes of a verdict.
const (
	Unchanged Change = iota
	Ejected
	Returned
	// TrialsOpened means that the hold time is over and the backend server needs trial requests to return.
	TrialsOpened
)

// Peers summarizes the reports of the service's other endpoints in use.
type Peers struct {
	// Count is the number of endpoints that report a latency.
	Count int
	// Latency is the median of the reported latencies, 0 if there is none.
	Latency time.Duration
	// FailureRate is the median of the reported failure rates.
	FailureRate float64
}

// Report is what other instances learn about a backend server.
type Report struct {
	// Latency is the geometric mean of recent times until the response header, 0 while too few are known.
	Latency time.Duration
	// FailureRate is the long-term failure rate.
	FailureRate float64
}

// Detector judges one backend server by its requests and decides when to eject it. It is not safe for concurrent use.
type Detector struct {
	history    *history
	peers      Peers
	graceUntil time.Time // times are ignored until then

	failureScore        float64       // cumulative sum of the log-likelihood ratios of failures
	failureCount        int           // failures since failureScore was last 0
	slowScore           float64       // cumulative sum of the log-likelihood ratios of times
	slowSince           time.Time     // when slowness was first suspected, or the peers' latency last rose
	peerLatencyBefore   time.Duration // the peers' latency at slowSince
	longTermFailureRate float64       // moving average over many requests
	recentFailureRate   float64       // moving average over the latest requests

	recentLogTime, longTermLogTime float64                   // moving averages of the logarithm of seconds
	observedCount                  int                       // times in recentLogTime
	learnedCount                   int                       // times in longTermLogTime and history
	pending                        [pendingTimes]observation // ring of the latest times, not learned yet
	pendingNext                    int                       // position of the oldest one

	requests            requestTable
	lastHead            time.Time // when the last response header arrived
	unansweredSurprisal float64   // summed over the unanswered requests since lastHead

	ejection ejection
	stats    Stats
}

// observation is a time until a response header, in seconds. A censored one is a time after which there was still no
// response.
type observation struct {
	seconds  float64
	censored bool
}

// Stats counts the events of a Detector.
type Stats struct {
	Exchanges, Failures, Ejections, Returns, TrialsFailed uint64
}

func (s *Stats) add(o Stats) {
	s.Exchanges += o.Exchanges
	s.Failures += o.Failures
	s.Ejections += o.Ejections
	s.Returns += o.Returns
	s.TrialsFailed += o.TrialsFailed
}

// NewDetector returns a detector that ignores times until the given end of its grace period.
func NewDetector(graceUntil time.Time) *Detector {
	return &Detector{
		history: newHistory(), graceUntil: graceUntil, requests: requestTable{inFlight: make(map[uint64]*request)},
	}
}

// ExtendGrace extends the grace period, as during a cold start. Times within it are ignored.
func (d *Detector) ExtendGrace(until time.Time) {
	if until.After(d.graceUntil) {
		d.graceUntil = until
	}
}

// SetPeers sets the reports of the peers. If their latency rose, the service as a whole slowed down, and the evidence
// that this backend server is slow is collected anew.
func (d *Detector) SetPeers(now time.Time, p Peers) {
	d.peers = p
	if d.slowScore > 0 && float64(p.Latency) > peersRoseFactor*float64(d.peerLatencyBefore) {
		d.slowSince, d.peerLatencyBefore = now, p.Latency
		d.slowScore = 0
	}
}

// Report returns what other instances learn. Latency is 0 until enough times were observed.
func (d *Detector) Report() Report {
	r := Report{FailureRate: d.longTermFailureRate}
	if d.observedCount >= pendingTimes/2 {
		r.Latency = time.Duration(math.Exp(d.recentLogTime) * float64(time.Second))
	}
	return r
}

// Stats returns the counts.
func (d *Detector) Stats() Stats { return d.stats }

// baseline returns the time until the response header that is expected of a healthy backend server, in seconds, or 0
// if it is unknown. With enough peers it is their latency, or the backend server's own long-term average where that is
// higher, up to toleratedSlowness times the peers' latency. Otherwise it is the own average.
func (d *Detector) baseline() float64 {
	own := 0.0
	if d.learnedCount >= pendingTimes {
		own = math.Exp(d.longTermLogTime)
	}
	if d.peers.Count < minPeers || d.peers.Latency <= 0 {
		return own
	}
	peers := d.peers.Latency.Seconds()
	return max(peers, min(own, toleratedSlowness*peers))
}

// thresholdFactor returns the factor on detection thresholds: initial right after a return from an ejection, and 1
// after the probation or without a recent ejection.
func (d *Detector) thresholdFactor(now time.Time, initial float64) float64 {
	since, ok := d.ejection.sinceReturn(now)
	if !ok || since >= probationEnd {
		return 1
	}
	faded := float64(since-probationStart) / float64(probationEnd-probationStart)
	return initial + (1-initial)*max(0, faded)
}

// recordFailure records one failure of the given weight, or a request that did not fail if the weight is 0.
func (d *Detector) recordFailure(now time.Time, weight float64) {
	healthy := d.healthyFailureRate(now)
	failing := min(maxFailingRate, max(minFailingRate, failingRateFactor*healthy))
	failed := 0.0
	if weight > 0 {
		failed = 1
		d.failureCount++
		d.failureScore += weight * math.Log(failing/healthy)
	} else {
		d.failureScore = max(0, d.failureScore+math.Log((1-failing)/(1-healthy)))
		if d.failureScore == 0 {
			d.failureCount = 0
		}
	}
	d.longTermFailureRate += longTermWeight * (failed - d.longTermFailureRate)
	d.recentFailureRate += recentFailureWeight * (failed - d.recentFailureRate)
}

// healthyFailureRate returns the highest failure rate that counts as healthy: the failure rate of the peers, or the own
// long-term one without enough peers, with a margin.
func (d *Detector) healthyFailureRate(now time.Time) float64 {
	rate := d.longTermFailureRate
	if d.peers.Count >= minPeers {
		rate = d.peers.FailureRate
	}
	return min(
		max(peerFailureMargin*rate, minHealthyFailureRate*d.thresholdFactor(now, probationFailureRateFactor)),
		maxHealthyFailureRate,
	)
}

// recordTime records a time until a response header or, if censored, a time after which there was still none.
func (d *Detector) recordTime(now time.Time, took time.Duration, censored bool) {
	if now.Before(d.graceUntil) {
		return
	}
	o := observation{max(took.Seconds(), 1e-6), censored}
	d.updateSlowScore(now, o)
	d.updateLogTimes(o)
}

// updateSlowScore adds the evidence of one observation to the cumulative sum of slowness.
func (d *Detector) updateSlowScore(now time.Time, o observation) {
	baseline := d.baseline()
	if baseline == 0 {
		return
	}
	score := d.history.score[bucketOf(o.seconds/baseline)]
	if o.censored {
		score = d.history.scoreBeyond[bucketOf(o.seconds/baseline)]
	}
	if d.slowScore < d.thresholdFactor(now, probationFactor)*suspectThreshold {
		d.slowSince, d.peerLatencyBefore = now, d.peers.Latency
	}
	d.slowScore = max(0, d.slowScore+score)
}

// updateLogTimes adds one observation to the recent average, and the oldest pending one to the long-term history.
func (d *Detector) updateLogTimes(o observation) {
	if o.censored && d.observedCount == 0 {
		return
	}
	d.observedCount++
	d.recentLogTime += max(recentWeight, 1/float64(d.observedCount)) *
		(d.expectedLog(o, d.recentLogTime) - d.recentLogTime)
	if old := d.pending[d.pendingNext]; old.seconds > 0 {
		d.learn(old)
	}
	d.pending[d.pendingNext] = o
	d.pendingNext = (d.pendingNext + 1) % pendingTimes
}

// expectedLog returns the logarithm of an observed time. For a censored one it returns the expected logarithm of the
// longer time, given the logarithm of the average time as level.
func (d *Detector) expectedLog(o observation, level float64) float64 {
	l := math.Log(o.seconds)
	if o.censored {
		l = max(l, level+d.history.meanBeyond(o.seconds/math.Exp(level)))
	}
	return l
}

// learn adds one observation to the long-term average and the history.
func (d *Detector) learn(o observation) {
	if o.censored && d.learnedCount == 0 {
		return
	}
	d.learnedCount++
	d.longTermLogTime += max(longTermWeight, 1/float64(d.learnedCount)) *
		(d.expectedLog(o, d.longTermLogTime) - d.longTermLogTime)
	d.history.learn(o.seconds/math.Exp(d.longTermLogTime), o.censored)
}

// findReason returns the reason to eject the backend server now, "" if there is none.
func (d *Detector) findReason(now time.Time) Reason {
	factor := d.thresholdFactor(now, probationFactor)
	if d.failureScore >= factor*failureThreshold {
		return ReasonFailures
	}
	if d.slowScore >= factor*slowThreshold*d.history.youthFactor() &&
		now.Sub(d.slowSince) >= time.Duration(factor*factor*float64(confirmTime)) && d.slowerThanPeers() {
		return ReasonSlow
	}
	if d.stuck(now, d.thresholdFactor(now, probationStuckFactor)) {
		return ReasonStuck
	}
	return ""
}

// slowerThanPeers reports whether the recent times are far above the baseline, or too many consecutive requests ended
// without a response header.
func (d *Detector) slowerThanPeers() bool {
	baseline := d.baseline()
	return math.Exp(d.recentLogTime) >= minSlowFactor*baseline || d.requests.unanswered >= unansweredThreshold
}

// stuck reports whether the ages of the requests in flight, counted from the last response header, and of the requests
// that ended unanswered since then are improbable for a healthy backend server. The improbability is bounded by a
// Chernoff bound for the sum of n exponentially distributed surprisals.
func (d *Detector) stuck(now time.Time, factor float64) bool {
	baseline := d.baseline()
	if baseline == 0 || now.Before(d.graceUntil) {
		return false
	}
	sum, n := d.unansweredSurprisal, float64(d.requests.unanswered)
	for _, r := range d.requests.inFlight {
		if r.sent.IsZero() || r.hasHead {
			continue
		}
		sum += d.surprisal(now, r, baseline)
		n++
	}
	sum /= factor
	return n >= minStuckRequests && sum > n && sum-n-n*math.Log(sum/n) >= stuckThreshold
}

// surprisal returns how improbable the age of a request in flight is, counted from the last response header.
func (d *Detector) surprisal(now time.Time, r *request, baseline float64) float64 {
	since := r.sent
	if d.lastHead.After(since) {
		since = d.lastHead
	}
	return min(d.history.surprisal(now.Sub(since).Seconds()/baseline), maxSurprisal)
}

const (
	// maxSurprisal limits the evidence of one request, so that a single outlier does not eject a backend server.
	maxSurprisal = 12.0
	// minStuckRequests is the number of requests without a response below which a backend server never counts as stuck.
	minStuckRequests = 2
)

// failureWeight returns the weight of an outcome as a failure, 0 if it is a success or no evidence.
func failureWeight(o backend.Outcome) float64 {
	switch o {
	case backend.OutcomeError, backend.OutcomeTruncated, backend.OutcomeUnreachable, backend.OutcomeAborted:
		return 1
	case backend.OutcomeCrossed:
		return crossedWeight
	}
	return 0
}
