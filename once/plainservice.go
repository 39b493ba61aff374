package once

import (
	"context"
	"sync"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// sweepEvery is how often a sweeping instance looks whether a period is over.
	sweepEvery = 10 * time.Minute
	// plainSettleTimeout bounds the recording of an answer in the platform.
	plainSettleTimeout = 2 * time.Second
)

// plainKeys claims plain keys for the tries of one instance.
type plainKeys struct {
	client store.Client

	mu      sync.Mutex
	sweeper *Sweeper
	read    time.Time // when the period was read last
}

func newPlainKeys(client store.Client) *plainKeys {
	return &plainKeys{client: client, sweeper: NewSweeper(client)}
}

// period returns the present period, at most one PeriodTime old.
func (p *plainKeys) period(ctx context.Context) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.read.IsZero() || now.Sub(p.read) > MinPeriod {
		if _, err := p.sweeper.Read(ctx, now); err == nil {
			p.read = now
		}
	}
	return p.sweeper.period
}

// sweep deletes old keys while duty says that this instance sweeps, until ctx ends.
func (p *plainKeys) sweep(ctx context.Context, duty func() bool) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if duty() {
				p.mu.Lock()
				_ = p.sweeper.Sweep(ctx, now)
				p.mu.Unlock()
			}
		}
	}
}

// begin claims a plain key; its results are those of Service.Begin.
func (p *plainKeys) begin(ctx context.Context, r Request, try string) (*plainTry, *Record, error) {
	if err := CheckPlain(r.Key); err != nil {
		return nil, nil, result.WithRun(err, result.NotRun)
	}
	t := &plainTry{
		client:  p.client,
		request: r,
		name:    plainName(r),
		claim:   plainClaim{Try: try, Digest: r.Digest, Period: p.period(ctx), State: plainClaimed},
	}
	record, err := t.begin(ctx)
	if err != nil || record != nil {
		return nil, record, err
	}
	return t, nil, nil
}
