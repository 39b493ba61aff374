package balancer

import "time"

const (
	// linkFailureThreshold is the failure score at which a breaker opens; only a response resets the score. A failed
	// connection adds more to the score than a timeout, whose cause may be the endpoint rather than the link.
	linkFailureThreshold = 3
	linkFailedWeight     = 2
	linkTimeoutWeight    = 1
	// initialLinkCooldown is the time until the first trial after a breaker opens. It doubles with each failed trial,
	// up to maxLinkCooldown.
	initialLinkCooldown = time.Second
	maxLinkCooldown     = 30 * time.Second
	// linkTrialTimeout is the time until the next trial if a trial has no outcome.
	linkTrialTimeout = 5 * time.Second
)

// LinkOutcome is what the outcome of one request says about the link that carried it.
type LinkOutcome int

// The outcomes for a link.
const (
	// LinkAnswered means that the exit side responded; a refusal is a response too.
	LinkAnswered LinkOutcome = iota
	// LinkFailed means that the connection could not be established or broke.
	LinkFailed
	// LinkTimeout means that no response arrived before the request's time limit.
	LinkTimeout
	// LinkUnknown means that the outcome says nothing about the link, for example because the client disconnected.
	LinkUnknown
)

// LinkBreaker is a circuit breaker for the link from this instance to one other instance. Its state is not shared with
// other instances. The zero value is a closed breaker, whose link is in use. It is a plain state machine and not safe
// for concurrent use.
type LinkBreaker struct {
	failureScore  int
	open          bool
	cooldowns     int // consecutive cooldowns
	nextTrial     time.Time
	trialInFlight bool
}

// Usable reports whether requests may use the link.
func (l *LinkBreaker) Usable() bool { return !l.open }

// AllowTrial reports whether a repeatable request may use a link whose breaker is open. It allows one trial at a time.
func (l *LinkBreaker) AllowTrial(now time.Time) bool {
	if !l.open || now.Before(l.nextTrial) {
		return false
	}
	l.trialInFlight = true
	l.nextTrial = now.Add(linkTrialTimeout)
	return true
}

// Record records the outcome of one request and reports whether the breaker opened or closed.
func (l *LinkBreaker) Record(now time.Time, o LinkOutcome) (changed bool) {
	switch o {
	case LinkAnswered:
		changed = l.open
		*l = LinkBreaker{}
		return changed
	case LinkFailed:
		l.failureScore += linkFailedWeight
	case LinkTimeout:
		l.failureScore += linkTimeoutWeight
	case LinkUnknown:
		return false
	}
	if l.open && !l.trialInFlight || l.failureScore < linkFailureThreshold {
		return false
	}
	changed = !l.open
	l.open, l.trialInFlight = true, false
	l.nextTrial = now.Add(min(initialLinkCooldown<<min(l.cooldowns, 5), maxLinkCooldown))
	l.cooldowns++
	return changed
}
