package admission

import (
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/result"
)

const (
	// usualWeight is the weight of one exchange in the usual time of its route.
	usualWeight = 0.15
	// firstUsual stands for the usual time before any exchange was seen.
	firstUsual = 200 * time.Millisecond
	// maxRoutes bounds the routes whose usual times are kept.
	maxRoutes = 1024
	// waitersPerSlot bounds the queue.
	waitersPerSlot = 16
	// hangFactor is how many usual times an exchange has to take until its time limit for the backend server to count as
	// hanging; a shorter time limit says nothing.
	hangFactor = 4
)

// Waiter is one request at a Controller.
type Waiter struct {
	claim    backend.SlotRequest
	deadline time.Time
	usual    time.Duration
	late     bool // its target could not be met any more when it came
	sequence uint64
	trial    bool
	granted  chan error // used by Gate: nil for a slot, or why there is none
}

// Controller is the decision of one backend server. It is a plain state machine and not safe for concurrent use.
//
// It answers to crowds: more requests than slots for seconds on end. Then a request that waits until its answer is worth
// little takes a slot from one whose answer would have been in time, and both lose. So what can't meet its target is refused
// when it comes, or as soon as more urgent ones push it back so far, and its caller is told when to come again.
type Controller struct {
	breaker  Breaker
	budget   RetryBudget
	bound    func() RetryBound
	slots    int
	running  map[*Waiter]struct{}
	waiting  []*Waiter // in the order in which they get slots
	sequence uint64
	usual    map[string]time.Duration // that an exchange takes, by route
}

// NewController returns the decision before a number of free slots. Bound returns this gate's part of the bound on repeats.
func NewController(slots int, bound func() RetryBound) *Controller {
	return &Controller{slots: slots, bound: bound, running: make(map[*Waiter]struct{}), usual: make(map[string]time.Duration)}
}

// Load returns the present load.
func (c *Controller) Load() backend.Load {
	return backend.Load{Running: len(c.running), Waiting: len(c.waiting), Slots: c.slots}
}

// Cooldown returns how long the backend server still rests.
func (c *Controller) Cooldown(now time.Time) time.Duration { return c.breaker.Cooldown(now) }

// Arrive adds a request. A granted one holds a slot at once; any other waits until Release grants it, or Release or Observe
// refuses it. Errors carry BackendEjected, BackendBusy, QueueFull or RetryBudgetSpent, with the time after which to ask again.
func (c *Controller) Arrive(now, deadline time.Time, claim backend.SlotRequest) (w *Waiter, granted bool, err error) {
	if ok, after := c.breaker.Allow(now, claim); !ok {
		return nil, false, result.WithRetryAfter(result.New(result.BackendEjected, "the backend server rests"), after)
	}
	w = &Waiter{claim: claim, deadline: deadline, usual: c.usualOf(claim.Route), sequence: c.sequence}
	if claim.NestedCall {
		w.claim.SoftDeadline = time.Time{} // its parent's time counts, and that is its deadline
	}
	w.late = !w.claim.SoftDeadline.IsZero() && now.Add(w.usual).After(w.claim.SoftDeadline)
	c.sequence++
	if len(c.running) < c.slots && len(c.waiting) == 0 {
		if err := c.begin(now, w); err != nil {
			return nil, false, err
		}
		return w, true, nil
	}
	at, _ := slices.BinarySearchFunc(c.waiting, w, order)
	if err := c.mayWait(now, w, at); err != nil {
		return nil, false, err
	}
	c.waiting = slices.Insert(c.waiting, at, w)
	return w, false, nil
}

func (c *Controller) usualOf(route string) time.Duration {
	if u, ok := c.usual[route]; ok {
		return u
	}
	return firstUsual
}

// order puts requests that can meet their target first, then the more urgent ones; of two alike a call of a backend server,
// since its parent holds a slot elsewhere, and then the one that came first.
func order(a, b *Waiter) int {
	if a.late != b.late {
		return sign(a.late)
	}
	if a.claim.Priority != b.claim.Priority {
		return a.claim.Priority - b.claim.Priority
	}
	if a.claim.NestedCall != b.claim.NestedCall {
		return sign(b.claim.NestedCall)
	}
	return int(a.sequence) - int(b.sequence)
}

func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

// mayWait refuses a request that would not get a slot in time at a place in the queue.
func (c *Controller) mayWait(now time.Time, w *Waiter, at int) error {
	wait := c.ahead(at)
	switch {
	case w.claim.NoWait:
		return result.WithRetryAfter(result.New(result.BackendBusy, "no slot is free"), wait)
	case len(c.waiting) >= waitersPerSlot*c.slots:
		return result.WithRetryAfter(result.New(result.QueueFull, "%d requests wait", len(c.waiting)), wait)
	case w.hopeless(now.Add(wait)):
		return tooLate(wait)
	}
	return nil
}

func tooLate(wait time.Duration) error {
	return result.WithRetryAfter(result.New(result.BackendBusy, "the wait of about %v is longer than the time left", wait.Round(time.Millisecond)), wait)
}

// ahead is the time until the request at a place in the queue gets a slot: half of what runs and all that waits before it.
func (c *Controller) ahead(at int) time.Duration {
	var work time.Duration
	for w := range c.running {
		work += w.usual / 2
	}
	for _, w := range c.waiting[:at] {
		work += w.usual
	}
	return work / time.Duration(max(c.slots, 1))
}

// hopeless tells whether a request that starts then is not worth waiting for.
func (w *Waiter) hopeless(start time.Time) bool {
	end := start.Add(w.usual)
	if !w.late && !w.claim.SoftDeadline.IsZero() {
		return end.After(w.claim.SoftDeadline)
	}
	return !w.deadline.IsZero() && end.After(w.deadline)
}

// begin takes a slot for a request that is sent now.
func (c *Controller) begin(now time.Time, w *Waiter) error {
	if !w.claim.Retry {
		c.budget.RecordFirst(now, c.bound())
	} else if !c.budget.AllowRetry(now, c.bound()) {
		return result.New(result.RetryBudgetSpent, "the backend server takes no more repeats for now")
	}
	c.running[w] = struct{}{}
	w.trial = c.breaker.Begin()
	return nil
}

// Grant is the end of one request's wait; Err is nil where it got a slot.
type Grant struct {
	Waiter *Waiter
	Err    error
}

// Cancel takes a waiting request out.
func (c *Controller) Cancel(w *Waiter) {
	c.waiting = slices.DeleteFunc(c.waiting, func(x *Waiter) bool { return x == w })
}

// Release gives a slot back and returns the requests whose wait is over.
func (c *Controller) Release(now time.Time, w *Waiter) []Grant {
	delete(c.running, w)
	c.breaker.End(w.trial)
	return c.fill(now)
}

// fill grants the free slots, and refuses what was pushed back too far.
func (c *Controller) fill(now time.Time) []Grant {
	var out []Grant
	for len(c.running) < c.slots && len(c.waiting) > 0 {
		w := c.waiting[0]
		if ok, _ := c.breaker.Allow(now, w.claim); !ok {
			break
		}
		c.waiting = c.waiting[1:]
		out = append(out, Grant{Waiter: w, Err: c.begin(now, w)})
	}
	return append(out, c.refuseHopeless(now)...)
}

// refuseHopeless refuses the waiting requests that would start too late.
func (c *Controller) refuseHopeless(now time.Time) []Grant {
	var out []Grant
	for at := 0; at < len(c.waiting); {
		wait := c.ahead(at)
		if w := c.waiting[at]; w.hopeless(now.Add(wait)) {
			c.waiting = slices.Delete(c.waiting, at, at+1)
			out = append(out, Grant{Waiter: w, Err: tooLate(wait)})
			continue
		}
		at++
	}
	return out
}

// Observe notes how an exchange of a route ended. Where the backend server goes to rest, all that waits is refused, so that
// it goes elsewhere while there is time.
func (c *Controller) Observe(now time.Time, o backend.Outcome, route string, took time.Duration) []Grant {
	usual := c.usualOf(route)
	switch o {
	case backend.OutcomeAnswered:
		if _, ok := c.usual[route]; !ok && len(c.usual) >= maxRoutes {
			clear(c.usual)
		}
		c.usual[route] = usual + time.Duration(usualWeight*float64(took-usual))
	case backend.OutcomeTimeout:
		if took < hangFactor*usual {
			o = backend.OutcomeCancelled
		}
	}
	if !c.breaker.Observe(now, o) {
		return nil
	}
	err := result.WithRetryAfter(result.New(result.BackendEjected, "the backend server rests"), c.breaker.Cooldown(now))
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
