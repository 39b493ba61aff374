package contract

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthstile/result"
)

// Gate tells whether the instance may act on what it knows.
type Gate interface {
	// Check returns nil, or an error that carries NoStanding.
	Check() error
	// Changed is closed when that may have changed.
	Changed() <-chan struct{}
}

// LeaseAdmitterOptions are the options of Shares; all fields are needed.
type LeaseAdmitterOptions struct {
	// Self is the instance's identity.
	Self    string
	Timings LeaseTimings
	// Now reads the clock by which leases count.
	Now    func() time.Duration
	Gate   Gate
	Lookup LookupFunc
	// Call makes one request to a home.
	Call func(ctx context.Context, home string, r LeaseRequest) (LeaseReply, error)
}

// LeaseAdmitter admits requests from leases of rate and burst, which a Holder gets from the accounts' homes. It is the
// Holder's shell: it makes the calls and wakes what waits. Run drives it.
type LeaseAdmitter struct {
	options LeaseAdmitterOptions
	kick    chan struct{}

	mu      sync.Mutex
	holder  *LeaseHolder
	waiting map[uint64]chan struct{}
}

// standingWait bounds how long a request waits for standing before it is refused.
const standingWait = 3 * time.Second

// NewLeaseAdmitter returns an admitter without leases.
func NewLeaseAdmitter(o LeaseAdmitterOptions) *LeaseAdmitter {
	return &LeaseAdmitter{
		options: o,
		kick:    make(chan struct{}, 1),
		holder:  NewLeaseHolder(o.Self, o.Timings, o.Lookup),
		waiting: make(map[uint64]chan struct{}),
	}
}

// Admit implements Admitter.
func (s *LeaseAdmitter) Admit(ctx context.Context, a *Account) error {
	if err := s.waitForStanding(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	now := s.options.Now()
	verdict, id, after := s.holder.Admit(now, a.Name, now+remaining(ctx))
	var admitted chan struct{}
	if verdict == Queued {
		admitted = make(chan struct{})
		s.waiting[id] = admitted
	}
	s.mu.Unlock()
	s.wake()
	switch verdict {
	case AdmitNow:
		return nil
	case Queued:
		return s.wait(ctx, a, id, admitted)
	case QueueFull:
		return result.New(result.QueueFull, "%d requests of %s wait at this instance", maxWaiting, a.Name)
	case DeadlineTooShort:
		return result.New(result.RateExceeded, "the rate of %s allows the request in %v at the earliest", a.Name, after.Round(time.Millisecond))
	default:
		return result.New(result.KeyRejected, "the client account %s is withdrawn", a.Name)
	}
}

// longWait stands for no deadline.
const longWait = time.Hour

func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return longWait
}

// waitForStanding waits a little for standing to come back.
func (s *LeaseAdmitter) waitForStanding(ctx context.Context) error {
	changed := s.options.Gate.Changed()
	err := s.options.Gate.Check()
	if err == nil {
		return nil
	}
	limit := time.NewTimer(standingWait)
	defer limit.Stop()
	for err != nil {
		select {
		case <-changed:
		case <-limit.C:
			return err
		case <-ctx.Done():
			return ended(ctx, err)
		}
		changed = s.options.Gate.Changed()
		err = s.options.Gate.Check()
	}
	return nil
}

// ended is why a request stops waiting when its context ends.
func ended(ctx context.Context, cause error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.CallerGone, "the caller left while its request waited")
	}
	return cause
}

func (s *LeaseAdmitter) wait(ctx context.Context, a *Account, id uint64, admitted chan struct{}) error {
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiting, id)
	canceled := s.holder.Cancel(id)
	s.mu.Unlock()
	if !canceled {
		return nil // the token came at the same time
	}
	if err := s.options.Gate.Check(); err != nil {
		return ended(ctx, err)
	}
	return ended(ctx, result.New(result.RateExceeded, "the rate and burst of %s were spent until the deadline", a.Name))
}

// wake lets Run look for work.
func (s *LeaseAdmitter) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Refresh takes over changed accounts and homes. It returns once nothing acts on the old ones.
func (s *LeaseAdmitter) Refresh() {
	s.mu.Lock()
	s.holder.Refresh(s.options.Now())
	s.mu.Unlock()
	s.wake()
}

// HandleNudge takes over the call of a home.
func (s *LeaseAdmitter) HandleNudge(n Nudge) {
	s.mu.Lock()
	s.holder.HandleNudge(s.options.Now(), n)
	s.mu.Unlock()
	s.wake()
}

// Stats returns a snapshot of the counters.
func (s *LeaseAdmitter) Stats() HolderStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Stats()
}

// Run makes the calls and admits what waits, until ctx ends.
func (s *LeaseAdmitter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := s.options.Gate.Changed()
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
		case <-changed:
		}
		if s.options.Gate.Check() != nil {
			timer.Reset(s.options.Timings.Retry)
			continue
		}
		timer.Reset(s.poll(ctx))
	}
}

// poll does what is due and returns when to look again.
func (s *LeaseAdmitter) poll(ctx context.Context) time.Duration {
	s.mu.Lock()
	now := s.options.Now()
	work := s.holder.Poll(now)
	for _, id := range work.Admitted {
		if c, ok := s.waiting[id]; ok {
			close(c)
			delete(s.waiting, id)
		}
	}
	s.mu.Unlock()
	for _, o := range work.Requests {
		go s.call(ctx, o)
	}
	return max(work.NextPoll-now, 0)
}

// call makes one request to a home and takes over the reply.
func (s *LeaseAdmitter) call(ctx context.Context, o OutgoingRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timings.Timeout)
	defer cancel()
	reply, err := s.options.Call(ctx, o.Coordinator, o.Request)
	s.mu.Lock()
	if err != nil {
		s.holder.HandleFailure(s.options.Now(), o.Coordinator, o.Request.Seq)
	} else {
		s.holder.HandleReply(s.options.Now(), o.Coordinator, reply)
	}
	s.mu.Unlock()
	s.wake()
}
