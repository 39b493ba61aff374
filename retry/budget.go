// Package retry decides when a request is sent to one more endpoint.
//
// Two plain state machines, one pair for each service at each instance: a Budget bounds the load that tries
// beyond the first add, and a LatencyTracker knows how long a try usually takes, so that one that takes far longer is
// joined by another. Neither is safe for concurrent use.
package retry

const (
	// share is how much of a retry each first try pays for, so that retries add at most a fifth to the load.
	share = 0.2
	// reserve is how many retries an instance that was quiet may send to one service.
	reserve = 10
)

// Budget is a token bucket that first tries fill and retries draw on. The zero value is full.
type Budget struct {
	spent float64 // tokens below the reserve
}

// Deposit notes a first try.
func (b *Budget) Deposit() { b.spent = max(b.spent-share, 0) }

// Withdraw draws one retry; false means that the budget is spent.
func (b *Budget) Withdraw() bool {
	if b.spent > reserve-1 {
		return false
	}
	b.spent++
	return true
}

// Refund gives back a retry that was not sent.
func (b *Budget) Refund() { b.spent = max(b.spent-1, 0) }
