package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// coldWindow is the span in which the requests to a cold backend server are bounded. coldMargin is added to it, since
	// two requests can arrive closer together than they were sent.
	coldWindow = time.Second
	coldMargin = 100 * time.Millisecond
	// coldStartShare is the share of the tolerated rate at which a backend server is used when its cold start begins. It
	// grows to the whole rate until the end.
	coldStartShare = 0.4
	// coldBurstTime is how much of the rate may be sent at once, but at least minBurst requests: entry sides that were refused
	// come back at intervals of their own, and what nobody asks for in time expires.
	coldBurstTime = 500 * time.Millisecond
	// maxColdHistory bounds the sendings that are kept: more than a backend server gets in coldWindow.
	maxColdHistory = 1024
	// responseAge is how long reports in heartbeats do not end a cold start after a health response: a heartbeat may be
	// late, and the response is as fresh as the request for it.
	responseAge = time.Second
)

// ColdBound is what a cold backend server tolerates, by the configuration and the settings. The zero value bounds nothing.
type ColdBound struct {
	// PerSecond is the rate that it tolerates, in requests per second; 0 means that it tolerates any.
	PerSecond float64
	// Overage and Slack bound the requests in any second to PerSecond x Overage + Slack.
	Overage, Slack float64
	// ColdStart is how long a cold start takes; 0 if that is not known.
	ColdStart time.Duration
	// Unknown is set while it is not known whether there is a bound. A cold backend server then gets no requests.
	Unknown bool
}

// enabled reports whether there is or may be a bound.
func (b ColdBound) enabled() bool { return b.PerSecond > 0 || b.Unknown }

// most returns how many requests are admitted in any coldWindow.
func (b ColdBound) most() int {
	if b.Unknown {
		return 0
	}
	return int(math.Floor(b.PerSecond*b.Overage + b.Slack + 1e-9))
}

// ColdServer keeps the requests to a cold backend server within its bound. All requests to it pass the gates of the one
// instance beside it, so that the bound holds for the whole fleet without coordination.
//
// Two limits apply while it is cold. In any coldWindow it gets at most the bound, exactly, counted when a request is sent.
// Below that, the rate grows from coldStartShare of what it tolerates to the whole, so that it is not used up to its
// limit before it can handle that. Sendings are counted also while it is not cold, as it may become so at any moment.
//
// It is a plain state machine, designed for some tens of requests per second while cold, and not safe for concurrent use.
type ColdServer struct {
	reported    bool      // by the present process
	until       time.Time // when the cold start ends, by the last report
	respondedAt time.Time // when a health response last reported
	// since is the time from which on all sendings are in sent. What was sent before, by an earlier process of this
	// instance for example, is not known, and may have been the whole bound.
	since   time.Time
	sent    []time.Time // the latest ones, in order
	pace    *rate.Limiter
	retries retrySpread
}

// NewColdServer returns the state of a backend server that has not reported yet, which counts as cold. started is when
// this instance started.
func NewColdServer(started time.Time) ColdServer { return ColdServer{since: started} }

// NewProcess records that another process of the backend server runs now. It counts as cold until it reports.
func (c *ColdServer) NewProcess() { c.reported, c.respondedAt = false, time.Time{} }

// LearnHeartbeat takes over how long the backend server stays cold by a heartbeat of the present process.
func (c *ColdServer) LearnHeartbeat(now time.Time, remaining time.Duration) {
	until := now.Add(max(remaining, 0))
	if c.reported && now.Sub(c.respondedAt) < responseAge && until.Before(c.until) {
		return
	}
	c.learn(now, until)
}

// LearnResponse takes over how long the backend server stays cold by a health response of the present process.
func (c *ColdServer) LearnResponse(now time.Time, remaining time.Duration) {
	c.respondedAt = now
	c.learn(now, now.Add(max(remaining, 0)))
}

// learn records when the cold start ends.
func (c *ColdServer) learn(now, until time.Time) {
	if !c.IsCold(now) {
		c.pace = nil // a cold start begins
	}
	c.reported, c.until = true, until
}

// IsCold reports whether the backend server is cold, as far as is known.
func (c *ColdServer) IsCold(now time.Time) bool { return !c.reported || now.Before(c.until) }

// Remaining returns how long the backend server stays cold, 0 if it is not cold or has not reported.
func (c *ColdServer) Remaining(now time.Time) time.Duration {
	if !c.reported {
		return 0
	}
	return max(c.until.Sub(now), 0)
}

// Allows reports whether a request may be sent now.
func (c *ColdServer) Allows(now time.Time, b ColdBound) bool {
	if !b.enabled() || !c.IsCold(now) {
		return true
	}
	return !c.windowFree(now, b).After(now) && !b.Unknown && c.updatePace(now, b).TokensAt(now) >= 1
}

// Take counts a request that is sent now.
func (c *ColdServer) Take(now time.Time, b ColdBound) {
	if !b.enabled() {
		c.since, c.sent = now, nil
		return
	}
	c.sent = append(c.sent, now)
	if len(c.sent) > 2*maxColdHistory {
		c.sent = append([]time.Time(nil), c.sent[len(c.sent)-maxColdHistory:]...)
	}
	if c.IsCold(now) && !b.Unknown {
		c.updatePace(now, b).AllowN(now, 1)
	}
}

// windowFree returns the time from which on the bound on any coldWindow allows one more request.
func (c *ColdServer) windowFree(now time.Time, b ColdBound) time.Time {
	most := b.most()
	if most <= 0 {
		return now.Add(max(c.Remaining(now), coldWindow))
	}
	const longer = coldWindow + coldMargin + 1 // a span of exactly the window counts, too
	free := c.since.Add(longer)
	if n := len(c.sent) - most; n >= 0 && c.sent[n].Add(longer).After(free) {
		free = c.sent[n].Add(longer)
	}
	return free
}

// updatePace returns the limiter of the rate, with the rate that applies now.
func (c *ColdServer) updatePace(now time.Time, b ColdBound) *rate.Limiter {
	progress := 0.0
	if c.reported && b.ColdStart > 0 {
		progress = 1 - min(float64(c.Remaining(now))/float64(b.ColdStart), 1)
	}
	perSecond := b.PerSecond * (coldStartShare + (1-coldStartShare)*progress)
	burst := max(int(perSecond*coldBurstTime.Seconds()), minBurst)
	if c.pace == nil {
		c.pace = rate.NewLimiter(rate.Limit(perSecond), burst)
		c.pace.AllowN(now, burst-1) // a cold start begins without a burst
	}
	if c.pace.Limit() != rate.Limit(perSecond) {
		c.pace.SetLimitAt(now, rate.Limit(perSecond))
		c.pace.SetBurstAt(now, burst)
	}
	return c.pace
}

// RetryAfter returns the delay after which a refused request may be retried. Each call reserves the time of one more
// request, up to the end of the cold start.
func (c *ColdServer) RetryAfter(now time.Time, b ColdBound) time.Duration {
	earliest, interval := c.windowFree(now, b), coldWindow
	if b.PerSecond > 0 && !b.Unknown {
		pace := c.updatePace(now, b)
		interval = time.Duration(float64(time.Second) / float64(pace.Limit()))
		if t := now.Add(time.Duration((1 - min(pace.TokensAt(now), 1)) * float64(interval))); t.After(earliest) {
			earliest = t
		}
	}
	if end := now.Add(c.Remaining(now)); c.reported && end.Before(earliest) {
		earliest = end
	}
	after := min(c.retries.next(now, earliest, interval), maxRetryAfter)
	if remaining := c.Remaining(now); remaining > 0 {
		after = min(after, remaining)
	}
	return max(after, time.Millisecond)
}
