package admission

import (
	"time"

	"amaranthstile/backend"
)

const (
	// firstRest is how long a backend server rests after a broken exchange: about three usual requests, so that one
	// spoilt answer costs little.
	firstRest = 700 * time.Millisecond
	// lastRest bounds the rest below the 2 s after which the platform's rules count a backend server that failed by
	// itself as healthy again.
	lastRest = 1900 * time.Millisecond
	// restGrowth is by how much each further failure in a row lengthens the rest.
	restGrowth = 1.6
	// proofWait is how long after its rest a backend server waits for a repeatable request to prove it, before any other
	// request may: where repeatable requests came within repeatableAge, some such requests' time apart, and else just long
	// enough for one that comes now and then. It keeps services without repeatable requests in use.
	proofWait     = 800 * time.Millisecond
	proofWaitSeen = 3 * time.Second
	repeatableAge = 5 * time.Second
	// trialPause is after what time to ask again while a backend server is proved: about one usual request.
	trialPause = firstRest / 4
	// proofs is how many good answers in a row end the proving.
	proofs = 1
	// forgiveAfter is how many good answers in a row forget earlier failures.
	forgiveAfter = 4
	// errorRun is how many errors in a row count as one broken exchange. A single one is common: requests may be wrong.
	errorRun = 2
)

// Breaker judges a backend server by its exchanges. The zero value is in use. It is not safe for concurrent use.
type Breaker struct {
	failures int // broken exchanges not yet forgiven
	good     int // good answers in a row
	errors   int // errors in a row
	until    time.Time
	proving  bool
	trials   int // requests that run while it is proved
	// repeatableAt is when a repeatable request last asked.
	repeatableAt time.Time
}

// Cooldown returns how long the backend server still rests.
func (b *Breaker) Cooldown(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// HalfOpen tells whether the backend server has yet to prove itself after a rest.
func (b *Breaker) HalfOpen() bool { return b.proving }

// Allow tells whether a request may be sent now; otherwise it returns the time after which to ask again.
func (b *Breaker) Allow(now time.Time, c backend.SlotRequest) (ok bool, after time.Duration) {
	if c.Repeatable {
		b.repeatableAt = now
	}
	if rest := b.Cooldown(now); rest > 0 {
		return false, rest
	}
	if !b.proving {
		return true, 0
	}
	if b.trials > 0 {
		return false, trialPause
	}
	wait := proofWait
	if now.Sub(b.repeatableAt) < repeatableAge {
		wait = proofWaitSeen
	}
	waited := now.Sub(b.until)
	if c.Repeatable || c.LastResort || waited >= wait {
		return true, 0
	}
	return false, min(wait-waited, trialPause)
}

// Begin notes that an admitted request is sent; it returns whether that is a trial.
func (b *Breaker) Begin() (trial bool) {
	if b.proving {
		b.trials++
	}
	return b.proving
}

// End notes that a request which was a trial has ended.
func (b *Breaker) End(trial bool) {
	if trial && b.trials > 0 {
		b.trials--
	}
}

// Observe notes how an exchange ended and reports whether the backend server goes to rest.
func (b *Breaker) Observe(now time.Time, o backend.Outcome) (rests bool) {
	switch o {
	case backend.OutcomeAnswered:
		b.succeed()
		return false
	case backend.OutcomeError:
		if b.errors++; b.errors < errorRun {
			return false
		}
	case backend.OutcomeShed, backend.OutcomeCancelled:
		return false
	}
	return b.fail(now)
}

func (b *Breaker) succeed() {
	b.errors = 0
	b.good++
	if b.good >= proofs {
		b.proving = false
	}
	if b.good >= forgiveAfter {
		b.failures = 0
	}
}

func (b *Breaker) fail(now time.Time) bool {
	b.good, b.errors = 0, 0
	if b.Cooldown(now) > 0 {
		return false // an exchange that began before the rest
	}
	rest := float64(firstRest)
	for range b.failures {
		rest *= restGrowth
	}
	b.failures++
	b.until = now.Add(min(time.Duration(rest), lastRest))
	b.proving = true
	return true
}
