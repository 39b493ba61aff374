package quota

import "time"

const (
	// reserveLevel is the fraction of the burst that a coordinator keeps in the bucket when it reserves tokens.
	reserveLevel = 0.3
	// maxReserved bounds the tokens that are reserved for one instance.
	maxReserved = 1
	// reservationTTL is how long after the last reply an instance may use its reservation.
	reservationTTL = 3 * time.Second
	// reservationExpiry is how long after the last call the coordinator takes the reservation back. It is longer than
	// reservationTTL by more than a call may take.
	reservationExpiry = reservationTTL + 2*time.Second
	// reservationSweepInterval is how often a coordinator looks for expired reservations of one account.
	reservationSweepInterval = time.Second
)

// reservation is what a coordinator has reserved of one account for one instance.
type reservation struct {
	tokens   int
	sequence uint64 // of the latest report of the instance
	renewed  time.Time
}

// reservations are the tokens of one account that instances may spend before they report it. The zero value is empty.
type reservations struct {
	byInstance map[string]reservation
	total      int // of all tokens
	sweptAt    time.Time
}

// settle applies a report to the reservation of its instance. It returns how many of the spent requests were reserved, and
// how many tokens come back because the instance does not hold them: the reply that reserved them was lost, or they were
// not used in time.
func (r *reservations) settle(now time.Time, u Usage) (covered, returned int) {
	x, ok := r.byInstance[u.Instance]
	if !ok {
		return 0, 0
	}
	covered = min(x.tokens, u.Spent)
	if u.Sequence > x.sequence {
		returned = max(x.tokens-covered-u.Held, 0)
		x.sequence = u.Sequence
	}
	x.tokens -= covered + returned
	x.renewed = now
	r.set(u.Instance, x)
	return covered, returned
}

// reserve reserves tokens for an instance, of so many that are available, and returns how many.
func (r *reservations) reserve(now time.Time, instance string, available int) int {
	x := r.byInstance[instance]
	n := max(min(maxReserved-x.tokens, available), 0)
	if n > 0 {
		x.tokens += n
		x.renewed = now
		r.set(instance, x)
	}
	return n
}

// expire removes the reservations that no instance can use any more, and returns their tokens.
func (r *reservations) expire(now time.Time) (tokens int) {
	if now.Sub(r.sweptAt) < reservationSweepInterval {
		return 0
	}
	r.sweptAt = now
	for instance, x := range r.byInstance {
		if now.Sub(x.renewed) >= reservationExpiry {
			tokens += x.tokens
			r.set(instance, reservation{})
		}
	}
	return tokens
}

// set replaces the reservation of an instance; one without tokens is dropped.
func (r *reservations) set(instance string, x reservation) {
	r.total += x.tokens - r.byInstance[instance].tokens
	if x.tokens == 0 {
		delete(r.byInstance, instance)
		return
	}
	if r.byInstance == nil {
		r.byInstance = make(map[string]reservation)
	}
	r.byInstance[instance] = x
}

// tokens returns the reserved tokens by instance.
func (r *reservations) tokens() map[string]int {
	out := make(map[string]int, len(r.byInstance))
	for instance, x := range r.byInstance {
		out[instance] = x.tokens
	}
	return out
}

// add adds tokens that another coordinator reserved.
func (r *reservations) add(now time.Time, tokens map[string]int) {
	for instance, n := range tokens {
		x := r.byInstance[instance]
		x.tokens += min(max(n, 0), maxReserved)
		x.renewed = now
		r.set(instance, x)
	}
}
