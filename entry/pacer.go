package entry

import (
	"sync"
	"time"

	"amaranthstile/retry"
)

// pacer is the retry policy of one service.
type pacer struct {
	mu     sync.Mutex
	budget retry.Budget
	pace   retry.LatencyTracker
}

func (p *pacer) first() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit()
}

func (p *pacer) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Withdraw()
}

func (p *pacer) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Refund()
}

func (p *pacer) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Observe(took)
}

func (p *pacer) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.HedgeDelay()
}

// pacers holds the policies of the services that requests asked for.
type pacers struct {
	services sync.Map // *pacer by service
}

func (p *pacers) of(service string) *pacer {
	if v, ok := p.services.Load(service); ok {
		return v.(*pacer)
	}
	v, _ := p.services.LoadOrStore(service, &pacer{})
	return v.(*pacer)
}
