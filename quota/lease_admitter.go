package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthstile/result"
)

// Gate reports whether the instance has a valid authority lease, so that it may act on the configuration it knows.
type Gate interface {
	// Check returns nil, or an error that carries NoStanding.
	Check() error
	// Changed returns a channel that is closed when the result of Check may have changed.
	Changed() <-chan struct{}
}

// LeaseAdmitterOptions are the options of NewLeaseAdmitter; all fields are required.
type LeaseAdmitterOptions struct {
	// Self is the instance's identity.
	Self    string
	Timings LeaseTimings
	// Now reads the clock that leases are measured by.
	Now    func() time.Duration
	Gate   Gate
	Lookup LookupFunc
	// Call sends one request to a coordinator and returns its reply.
	Call func(ctx context.Context, coordinator string, r LeaseRequest) (LeaseReply, error)
}

// LeaseAdmitter admits requests using leases of rate and burst, which a LeaseHolder gets from the coordinators of the
// accounts. It runs the LeaseHolder: it makes the calls and wakes waiting requests. Run drives it.
type LeaseAdmitter struct {
	options LeaseAdmitterOptions
	wakeup  chan struct{}

	mu      sync.Mutex
	holder  *LeaseHolder
	waiting map[uint64]chan struct{} // closed when the request of that number is admitted
}

// authorityLeaseWait bounds how long a request waits for a valid authority lease of the instance before it is refused.
const authorityLeaseWait = 3 * time.Second

// NewLeaseAdmitter returns an admitter without leases.
func NewLeaseAdmitter(o LeaseAdmitterOptions) *LeaseAdmitter {
	return &LeaseAdmitter{
		options: o,
		wakeup:  make(chan struct{}, 1),
		holder:  NewLeaseHolder(o.Self, o.Timings, o.Lookup),
		waiting: make(map[uint64]chan struct{}),
	}
}

// Admit implements Admitter.
func (a *LeaseAdmitter) Admit(ctx context.Context, account *Account) error {
	if err := a.waitForAuthorityLease(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	now := a.options.Now()
	decision, id, after := a.holder.Admit(now, account.Name, now+timeLeft(ctx))
	var admitted chan struct{}
	if decision == Queued {
		admitted = make(chan struct{})
		a.waiting[id] = admitted
	}
	a.mu.Unlock()
	a.wake()
	switch decision {
	case AdmitNow:
		return nil
	case Queued:
		return a.waitForToken(ctx, account, id, admitted)
	case QueueFull:
		return result.New(result.QueueFull, "%d requests of %s already wait at this instance", maxQueued, account.Name)
	case DeadlineTooShort:
		return result.New(result.RateExceeded, "the rate of %s allows the request in %v at the earliest", account.Name, after.Round(time.Millisecond))
	default:
		return result.New(result.KeyRejected, "the client account %s was removed", account.Name)
	}
}

// noDeadline is the time left of a request without a deadline.
const noDeadline = time.Hour

// timeLeft returns how long it is until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return noDeadline
}

// waitForAuthorityLease waits, for a limited time, until the instance has a valid authority lease again.
func (a *LeaseAdmitter) waitForAuthorityLease(ctx context.Context) error {
	changed := a.options.Gate.Changed()
	err := a.options.Gate.Check()
	if err == nil {
		return nil
	}
	limit := time.NewTimer(authorityLeaseWait)
	defer limit.Stop()
	for err != nil {
		select {
		case <-changed:
		case <-limit.C:
			return err
		case <-ctx.Done():
			return contextError(ctx, err)
		}
		changed = a.options.Gate.Changed()
		err = a.options.Gate.Check()
	}
	return nil
}

// contextError returns why a request stops waiting when its context ends.
func contextError(ctx context.Context, cause error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.CallerGone, "the client disconnected while its request waited")
	}
	return cause
}

// waitForToken waits until a queued request is admitted or its context ends.
func (a *LeaseAdmitter) waitForToken(ctx context.Context, account *Account, id uint64, admitted chan struct{}) error {
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	delete(a.waiting, id)
	canceled := a.holder.Cancel(id)
	a.mu.Unlock()
	if !canceled {
		return nil // the request was admitted at the same time
	}
	if err := a.options.Gate.Check(); err != nil {
		return contextError(ctx, err)
	}
	return contextError(ctx, result.New(result.RateExceeded, "the rate and burst of %s allowed no further request before the deadline", account.Name))
}

// wake makes Run poll the holder.
func (a *LeaseAdmitter) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// Refresh applies changes of accounts and coordinators. When it returns, nothing acts on the old ones any more.
func (a *LeaseAdmitter) Refresh() {
	a.mu.Lock()
	a.holder.Refresh(a.options.Now())
	a.mu.Unlock()
	a.wake()
}

// HandleNudge applies the nudge of a coordinator.
func (a *LeaseAdmitter) HandleNudge(n Nudge) {
	a.mu.Lock()
	a.holder.HandleNudge(a.options.Now(), n)
	a.mu.Unlock()
	a.wake()
}

// Stats returns a snapshot of the counters.
func (a *LeaseAdmitter) Stats() HolderStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Stats()
}

// Run makes the calls and admits waiting requests, until ctx ends.
func (a *LeaseAdmitter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := a.options.Gate.Changed()
		select {
		case <-ctx.Done():
			return
		case <-a.wakeup:
		case <-timer.C:
		case <-changed:
		}
		if a.options.Gate.Check() != nil {
			timer.Reset(a.options.Timings.Retry)
			continue
		}
		timer.Reset(a.poll(ctx))
	}
}

// poll makes the calls that are due and returns how long to wait before the next poll.
func (a *LeaseAdmitter) poll(ctx context.Context) time.Duration {
	a.mu.Lock()
	now := a.options.Now()
	res := a.holder.Poll(now)
	for _, id := range res.Admitted {
		if c, ok := a.waiting[id]; ok {
			close(c)
			delete(a.waiting, id)
		}
	}
	a.mu.Unlock()
	for _, o := range res.Requests {
		go a.call(ctx, o)
	}
	return max(res.NextPoll-now, 0)
}

// call sends one request to a coordinator and applies the reply.
func (a *LeaseAdmitter) call(ctx context.Context, o OutgoingRequest) {
	ctx, cancel := context.WithTimeout(ctx, a.options.Timings.Timeout)
	defer cancel()
	reply, err := a.options.Call(ctx, o.Coordinator, o.Request)
	a.mu.Lock()
	if err != nil {
		a.holder.HandleFailure(a.options.Now(), o.Coordinator, o.Request.Seq)
	} else {
		a.holder.HandleReply(a.options.Now(), o.Coordinator, reply)
	}
	a.mu.Unlock()
	a.wake()
}
