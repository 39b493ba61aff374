package idempotency

import (
	"context"
	"sync"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// sweepInterval is how often the sweeping instance checks whether a period has ended.
	sweepInterval = 10 * time.Minute
	// plainSettleTimeout bounds the recording of a response in the platform's object store.
	plainSettleTimeout = 2 * time.Second
)

// plainKeys claims plain keys for the attempts of one instance.
type plainKeys struct {
	client store.Client

	mu           sync.Mutex
	sweeper      *Sweeper
	periodReadAt time.Time
}

func newPlainKeys(client store.Client) *plainKeys {
	return &plainKeys{client: client, sweeper: NewSweeper(client)}
}

// period returns the current period, as read at most one MinPeriod ago unless the platform is unavailable.
func (p *plainKeys) period(ctx context.Context) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.periodReadAt.IsZero() || now.Sub(p.periodReadAt) > MinPeriod {
		if _, err := p.sweeper.Read(ctx, now); err == nil {
			p.periodReadAt = now
		}
	}
	return p.sweeper.period
}

// sweep deletes expired keys while isSweeper reports that this instance has to sweep, until ctx ends.
func (p *plainKeys) sweep(ctx context.Context, isSweeper func() bool) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if isSweeper() {
				p.mu.Lock()
				_ = p.sweeper.Sweep(ctx, now)
				p.mu.Unlock()
			}
		}
	}
}

// begin claims a plain key; its results are those of Service.Begin.
func (p *plainKeys) begin(ctx context.Context, r Request, attemptID string) (*plainAttempt, *Record, error) {
	if err := CheckPlain(r.Key); err != nil {
		return nil, nil, result.WithRun(err, result.NotRun)
	}
	a := &plainAttempt{
		client:  p.client,
		request: r,
		object:  plainObjectName(r),
		claim:   plainClaim{AttemptID: attemptID, Digest: r.Digest, Period: p.period(ctx), State: plainClaimed},
	}
	record, err := a.begin(ctx)
	if err != nil || record != nil {
		return nil, record, err
	}
	return a, nil, nil
}
