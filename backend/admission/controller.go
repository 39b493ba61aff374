package admission

import (
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/result"
)

const (
	// usualWeight is the weight of one exchange in the usual time.
	usualWeight = 0.1
	// firstUsual stands for the usual time before any exchange was seen.
	firstUsual = 200 * time.Millisecond
	// waitersPerSlot bounds the queue.
	waitersPerSlot = 16
)

// Waiter is one request at a Controller.
type Waiter struct {
	claim    backend.Claim
	deadline time.Time
	sequence uint64
	since    time.Time // of the slot
	trial    bool
	granted  chan error // used by Gate: nil for a slot, or why there is none
}

// Controller is the decision of one backend server. It is a plain state machine and not safe for concurrent use.
type Controller struct {
	breaker  Breaker
	budget   Budget
	bound    func() Bound
	slots    int
	running  int
	waiting  []*Waiter // in the order in which they get slots
	sequence uint64
	usual    time.Duration
}

// NewController returns the decision before a number of free slots. Bound returns this gate's part of the bound on repeats.
func NewController(slots int, bound func() Bound) *Controller {
	return &Controller{slots: slots, bound: bound, usual: firstUsual}
}

// Load returns the present load.
func (c *Controller) Load() backend.Load {
	return backend.Load{Running: c.running, Waiting: len(c.waiting), Slots: c.slots}
}

// Resting returns how long the backend server still rests.
func (c *Controller) Resting(now time.Time) time.Duration { return c.breaker.Resting(now) }

// Arrive adds a request. A granted one holds a slot at once; any other waits until Release grants it or Observe refuses
// it. Errors carry BackendEjected, BackendBusy, QueueFull or RetryBudgetSpent, with the time after which to ask again.
func (c *Controller) Arrive(now, deadline time.Time, claim backend.Claim) (w *Waiter, granted bool, err error) {
	if ok, after := c.breaker.Admits(now, claim); !ok {
		return nil, false, result.WithRetryAfter(result.New(result.BackendEjected, "the backend server rests"), after)
	}
	w = &Waiter{claim: claim, deadline: deadline, sequence: c.sequence}
	c.sequence++
	if c.running < c.slots && len(c.waiting) == 0 {
		if err := c.begin(now, w); err != nil {
			return nil, false, err
		}
		return w, true, nil
	}
	if err := c.mayWait(now, w); err != nil {
		return nil, false, err
	}
	at, _ := slices.BinarySearchFunc(c.waiting, w, order)
	c.waiting = slices.Insert(c.waiting, at, w)
	return w, false, nil
}

// order puts the more urgent request first, and of two alike the one that has to start sooner.
func order(a, b *Waiter) int {
	if a.claim.Priority != b.claim.Priority {
		return a.claim.Priority - b.claim.Priority
	}
	if d := a.deadline.Compare(b.deadline); d != 0 {
		return d
	}
	return int(a.sequence) - int(b.sequence)
}

// mayWait refuses a request that would not get a slot in time.
func (c *Controller) mayWait(now time.Time, w *Waiter) error {
	ahead, _ := slices.BinarySearchFunc(c.waiting, w, order)
	wait := c.usual * time.Duration(ahead+1) / time.Duration(max(c.slots, 1))
	switch {
	case w.claim.NoWait:
		return result.WithRetryAfter(result.New(result.BackendBusy, "no slot is free"), wait)
	case len(c.waiting) >= waitersPerSlot*c.slots:
		return result.WithRetryAfter(result.New(result.QueueFull, "%d requests wait", len(c.waiting)), wait)
	case !w.deadline.IsZero() && now.Add(wait+c.usual/2).After(w.deadline):
		return result.WithRetryAfter(result.New(result.BackendBusy, "the wait of about %v is longer than the time left", wait), wait)
	}
	return nil
}

// begin takes a slot for a request that is sent now.
func (c *Controller) begin(now time.Time, w *Waiter) error {
	if !w.claim.Repeat {
		c.budget.First(now, c.bound())
	} else if !c.budget.Repeat(now, c.bound()) {
		return result.New(result.RetryBudgetSpent, "the backend server takes no more repeats for now")
	}
	c.running++
	w.since = now
	w.trial = c.breaker.Begin()
	return nil
}

// Grant is the end of one request's wait; Err is nil where it got a slot.
type Grant struct {
	Waiter *Waiter
	Err    error
}

// Leave takes a waiting request out.
func (c *Controller) Leave(w *Waiter) {
	c.waiting = slices.DeleteFunc(c.waiting, func(x *Waiter) bool { return x == w })
}

// Release gives a slot back and returns the requests whose wait is over.
func (c *Controller) Release(now time.Time, w *Waiter) []Grant {
	c.running--
	c.breaker.End(w.trial)
	return c.fill(now)
}

// fill grants the free slots.
func (c *Controller) fill(now time.Time) []Grant {
	var out []Grant
	for c.running < c.slots && len(c.waiting) > 0 {
		w := c.waiting[0]
		if ok, _ := c.breaker.Admits(now, w.claim); !ok {
			break
		}
		c.waiting = c.waiting[1:]
		out = append(out, Grant{Waiter: w, Err: c.begin(now, w)})
	}
	return out
}

// Observe notes how an exchange ended. Where the backend server goes to rest, all that waits is refused, so that it goes
// elsewhere while there is time.
func (c *Controller) Observe(now time.Time, o backend.Outcome, took time.Duration) []Grant {
	if o == backend.OutcomeAnswered {
		c.usual += time.Duration(usualWeight * float64(took-c.usual))
	}
	if !c.breaker.Observe(now, o) {
		return nil
	}
	err := result.WithRetryAfter(result.New(result.BackendEjected, "the backend server rests"), c.breaker.Resting(now))
	out := make([]Grant, 0, len(c.waiting))
	for _, w := range c.waiting {
		out = append(out, Grant{Waiter: w, Err: err})
	}
	c.waiting = nil
	return out
}

// SetSlots changes the number of slots and returns the requests that got one.
func (c *Controller) SetSlots(now time.Time, slots int) []Grant {
	c.slots = slots
	return c.fill(now)
}
