package choice

import "time"

const (
	// failuresToClose in a row without an answer take a link out of use; a refused connection counts more than
	// a request without an answer, which may be the endpoint's.
	linkLimit         = 3
	refusedWeight     = 2
	silentWeight      = 1
	firstLinkHold     = time.Second
	maxLinkHold       = 30 * time.Second
	linkTrialPatience = 5 * time.Second
)

// LinkOutcome is what one request says of the link that it took.
type LinkOutcome int

// The evidence of a link.
const (
	// LinkAnswered is any answer of the exit side, also a refusal.
	LinkAnswered LinkOutcome = iota
	// LinkFailed is a connection that could not be made or broke.
	LinkFailed
	// LinkTimeout is a request without any answer until its time limit.
	LinkTimeout
	// LinkUnknown says nothing: the caller went away.
	LinkUnknown
)

// LinkBreaker is this instance's verdict on its own link to one other instance. It is never told to others. The zero value is
// a link in use. It is a plain state machine and not safe for concurrent use.
type LinkBreaker struct {
	score  int
	out    bool
	holds  int // that followed each other
	until  time.Time
	trying bool
}

// Usable reports whether requests may take the link.
func (l *LinkBreaker) Usable() bool { return !l.out }

// AllowTrial reports whether a repeatable request may try a link that is out of use; one does at a time.
func (l *LinkBreaker) AllowTrial(now time.Time) bool {
	if !l.out || now.Before(l.until) {
		return false
	}
	l.trying = true
	l.until = now.Add(linkTrialPatience)
	return true
}

// Record takes in the evidence of one request and reports whether the link's use changed.
func (l *LinkBreaker) Record(now time.Time, e LinkOutcome) (changed bool) {
	switch e {
	case LinkAnswered:
		changed = l.out
		*l = LinkBreaker{}
		return changed
	case LinkFailed:
		l.score += refusedWeight
	case LinkTimeout:
		l.score += silentWeight
	case LinkUnknown:
		return false
	}
	if l.out && !l.trying || l.score < linkLimit {
		return false
	}
	changed = !l.out
	l.out, l.trying = true, false
	l.until = now.Add(min(firstLinkHold<<min(l.holds, 5), maxLinkHold))
	l.holds++
	return changed
}
