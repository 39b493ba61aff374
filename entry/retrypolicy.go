package entry

import (
	"sync"
	"time"

	"amaranthstile/retry"
)

// retryPolicy is the retry policy of one service. It is safe for concurrent use.
type retryPolicy struct {
	mu     sync.Mutex
	budget retry.Budget
	pace   retry.LatencyTracker
}

// countRequest counts the first attempt of a request, from which the budget for retries grows.
func (p *retryPolicy) countRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit()
}

// takeRetry takes a retry from the budget and reports whether the budget allows it.
func (p *retryPolicy) takeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Withdraw()
}

// returnRetry returns a retry that was not used to the budget.
func (p *retryPolicy) returnRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Refund()
}

// observe records how long an attempt took.
func (p *retryPolicy) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Observe(took)
}

// slowThreshold returns the duration after which an attempt counts as slow.
func (p *retryPolicy) slowThreshold() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.HedgeDelay()
}

// retryPolicies holds the retry policies of the services that requests were sent to.
type retryPolicies struct {
	services sync.Map // from service name to *retryPolicy
}

// forService returns the policy of a service, which it creates if needed.
func (p *retryPolicies) forService(service string) *retryPolicy {
	if v, ok := p.services.Load(service); ok {
		return v.(*retryPolicy)
	}
	v, _ := p.services.LoadOrStore(service, &retryPolicy{})
	return v.(*retryPolicy)
}
