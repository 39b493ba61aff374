package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is how much of the limit may be sent at once. It is at least minBurst requests: with a burst of one, the
	// limit would expire unused whenever no request arrives just then.
	burstTime = time.Second
	minBurst  = 2
	// minServerLimit is the rate at which a backend server that names a lower limit is used, in requests per second. Only a
	// response can tell that the limit has been lifted.
	minServerLimit = 0.25
)

// ServerLimit keeps the requests to a backend server within the rate that the backend server names. All requests to it
// pass the gate of the one instance beside it, so that the limit holds for the whole fleet without coordination. That
// instance may restart: it then takes over what other instances saw in earlier responses, until the first response to it.
//
// It answers a load that stays above the limit for seconds. A request that the limit does not allow now is refused at
// once, since another endpoint may take it; the delays after which to retry are spread over the requests that the limit
// will allow.
//
// The zero value has no limit. It is not safe for concurrent use.
type ServerLimit struct {
	limiter *rate.Limiter // nil without a limit
	stated  bool          // by a response to this instance
	retries retrySpread
}

// Learn takes over the limit that the backend server names in a response, in requests per second; limited is false if it
// names none.
func (l *ServerLimit) Learn(now time.Time, limit float64, limited bool) {
	l.stated = true
	l.set(now, limit, limited)
}

// Suggest takes over a limit that another instance saw in an earlier response, unless a response to this instance is
// known.
func (l *ServerLimit) Suggest(now time.Time, limit float64) {
	if !l.stated {
		l.set(now, limit, true)
	}
}

// set changes the limit. A new one begins without a burst: how many requests were sent before is not known.
func (l *ServerLimit) set(now time.Time, limit float64, limited bool) {
	if !limited {
		l.limiter = nil
		return
	}
	perSecond := rate.Limit(max(limit, minServerLimit))
	burst := max(int(float64(perSecond)*burstTime.Seconds()), minBurst)
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(perSecond, burst)
		l.limiter.AllowN(now, burst)
		return
	}
	if l.limiter.Limit() != perSecond {
		l.limiter.SetLimitAt(now, perSecond)
		l.limiter.SetBurstAt(now, burst)
	}
}

// Allows reports whether a request may be sent now.
func (l *ServerLimit) Allows(now time.Time) bool {
	return l.limiter == nil || l.limiter.TokensAt(now) >= 1
}

// Take counts a request that is sent now.
func (l *ServerLimit) Take(now time.Time) {
	if l.limiter != nil {
		l.limiter.AllowN(now, 1)
	}
}

// RetryAfter returns the delay after which a refused request may be retried. Each call reserves the time of one more
// request.
func (l *ServerLimit) RetryAfter(now time.Time) time.Duration {
	if l.limiter == nil {
		return 0
	}
	interval := time.Duration(float64(time.Second) / float64(l.limiter.Limit()))
	earliest := now.Add(time.Duration((1 - min(l.limiter.TokensAt(now), 1)) * float64(interval)))
	return l.retries.next(now, earliest, interval)
}
