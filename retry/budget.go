// Package retry limits the additional attempts of a request, that is its retries and hedges.
//
// It has two plain state machines. Each instance keeps one pair of them per service. A Budget bounds the load that
// additional attempts cause. A LatencyTracker learns how long an attempt usually takes and derives the delay after
// which a hedge is sent: a second attempt, at another endpoint, while the first one is still in flight. Neither type is
// safe for concurrent use.
package retry

const (
	// tokensPerRequest is the part of a token that each request deposits. It limits the additional load to a fifth.
	tokensPerRequest = 0.2
	// bucketSize is the number of additional attempts that an instance may send to a service after an idle period.
	bucketSize = 10
)

// Budget is a token bucket. First attempts fill it, and each additional attempt takes a token. The zero value is full.
type Budget struct {
	spent float64 // tokens missing from the full bucket
}

// Deposit adds the part of a token for the first attempt of a request.
func (b *Budget) Deposit() { b.spent = max(b.spent-tokensPerRequest, 0) }

// Withdraw takes the token for an additional attempt. It returns false if the budget has no token left.
func (b *Budget) Withdraw() bool {
	if b.spent > bucketSize-1 {
		return false
	}
	b.spent++
	return true
}

// Refund returns the token of an additional attempt that was not sent.
func (b *Budget) Refund() { b.spent = max(b.spent-1, 0) }
