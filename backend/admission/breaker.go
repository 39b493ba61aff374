package admission

import (
	"time"

	"amaranthstile/backend"
)

const (
	// initialCooldown is how long a backend server is out of use after a failed exchange: about three typical
	// requests, so that one bad response costs little.
	initialCooldown = 700 * time.Millisecond
	// maxCooldown keeps the cooldown below the 2 s after which the platform's rules count a backend server that failed
	// by itself as healthy again.
	maxCooldown = 1900 * time.Millisecond
	// cooldownGrowth is the factor by which each further failure extends the cooldown.
	cooldownGrowth = 1.6
	// After the cooldown, only a repeatable request, or one that no other endpoint accepts, may be the trial at first.
	// If a repeatable request arrived within the last repeatableWindow, any other request may be the trial after
	// repeatableWaitRecent, which leaves time for several repeatable requests to arrive; otherwise after
	// repeatableWait, just long enough for an occasional one. The limit keeps services without repeatable requests in
	// use.
	repeatableWait       = 800 * time.Millisecond
	repeatableWaitRecent = 3 * time.Second
	repeatableWindow     = 5 * time.Second
	// trialRetryAfter is the retry delay while a trial is pending: about the duration of one typical request.
	trialRetryAfter = initialCooldown / 4
	// successesToClose is the number of consecutive successful responses that close the breaker.
	successesToClose = 1
	// successesToReset is the number of consecutive successful responses after which earlier failures no longer extend
	// the next cooldown.
	successesToReset = 4
	// errorThreshold is the number of consecutive error responses that count as one failed exchange. A single error is
	// common, as the request itself may be at fault.
	errorThreshold = 2
)

// Breaker is the circuit breaker of one backend server. The zero value is closed. It is not safe for concurrent use.
type Breaker struct {
	failures          int // failed exchanges since the last reset; they determine the cooldown
	successes         int // consecutive successful responses
	consecutiveErrors int // consecutive error responses
	cooldownEnd       time.Time
	needsTrial        bool // a trial must succeed before the breaker closes; also set during the cooldown
	trialsInFlight    int  // requests sent while needsTrial was set
	// lastRepeatable is when Allow was last called for a repeatable request.
	lastRepeatable time.Time
}

// Cooldown returns the remaining cooldown, 0 if there is none.
func (b *Breaker) Cooldown(now time.Time) time.Duration { return max(b.cooldownEnd.Sub(now), 0) }

// HalfOpen reports whether a trial must succeed before the breaker closes. It is also true during the cooldown.
func (b *Breaker) HalfOpen() bool { return b.needsTrial }

// Allow reports whether a request may be sent now. If not, it returns the delay after which to retry.
func (b *Breaker) Allow(now time.Time, r backend.SlotRequest) (ok bool, after time.Duration) {
	if r.Repeatable {
		b.lastRepeatable = now
	}
	if cooldown := b.Cooldown(now); cooldown > 0 {
		return false, cooldown
	}
	if !b.needsTrial {
		return true, 0
	}
	if b.trialsInFlight > 0 {
		return false, trialRetryAfter
	}
	wait := repeatableWait
	if now.Sub(b.lastRepeatable) < repeatableWindow {
		wait = repeatableWaitRecent
	}
	waited := now.Sub(b.cooldownEnd)
	if r.Repeatable || r.LastResort || waited >= wait {
		return true, 0
	}
	return false, min(wait-waited, trialRetryAfter)
}

// Begin is called when an admitted request is sent. It reports whether the request is a trial.
func (b *Breaker) Begin() (trial bool) {
	if b.needsTrial {
		b.trialsInFlight++
	}
	return b.needsTrial
}

// End is called when a request has ended; trial is the value that Begin returned for it.
func (b *Breaker) End(trial bool) {
	if trial && b.trialsInFlight > 0 {
		b.trialsInFlight--
	}
}

// Observe records how an exchange ended and reports whether this started a cooldown.
func (b *Breaker) Observe(now time.Time, o backend.Outcome) (opened bool) {
	switch o {
	case backend.OutcomeAnswered:
		b.recordSuccess()
		return false
	case backend.OutcomeError:
		if b.consecutiveErrors++; b.consecutiveErrors < errorThreshold {
			return false
		}
	case backend.OutcomeShed, backend.OutcomeCancelled:
		return false
	}
	return b.recordFailure(now)
}

// recordSuccess records a successful response; enough of them close the breaker and reset the failure count.
func (b *Breaker) recordSuccess() {
	b.consecutiveErrors = 0
	b.successes++
	if b.successes >= successesToClose {
		b.needsTrial = false
	}
	if b.successes >= successesToReset {
		b.failures = 0
	}
}

// recordFailure starts a cooldown, unless one is running, and reports whether it did.
func (b *Breaker) recordFailure(now time.Time) bool {
	b.successes, b.consecutiveErrors = 0, 0
	if b.Cooldown(now) > 0 {
		return false // the exchange began before the current cooldown
	}
	cooldown := float64(initialCooldown)
	for range b.failures {
		cooldown *= cooldownGrowth
	}
	b.failures++
	b.cooldownEnd = now.Add(min(time.Duration(cooldown), maxCooldown))
	b.needsTrial = true
	return true
}
