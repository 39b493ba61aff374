package admission

import (
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/result"
)

const (
	// durationWeight is the weight of one exchange in the moving average of its route's durations.
	durationWeight = 0.15
	// initialDuration is the expected duration of a route without a target before any exchange of it was observed.
	initialDuration = 200 * time.Millisecond
	// initialTargetDivisor divides the target of a route to give the expected duration before any exchange was observed.
	initialTargetDivisor = 3
	// recentWindow is how long a route counts as in use after its last request arrived.
	recentWindow = 5 * time.Second
	// maxRoutes limits the number of routes whose durations are kept.
	maxRoutes = 1024
	// waitersPerSlot limits the length of the queue.
	waitersPerSlot = 16
	// hangFactor is the number of expected durations that a request must have run when its time limit expires for the
	// backend server to count as hanging. A timeout after a shorter time says nothing about the backend server.
	hangFactor = 4
)

// Waiter is one request at a Controller, waiting or holding a slot.
type Waiter struct {
	request          backend.SlotRequest
	deadline         time.Time
	expectedDuration time.Duration
	missesTarget     bool // the request could not meet its target any more when it arrived, or was let wait beyond it
	waitsLate        bool // the request was let wait beyond its target
	sequence         uint64
	overtaken        bool      // a more urgent request arrived later and waits before it
	startedAt        time.Time // when it got its slot
	trial            bool
	granted          chan error // set by Gate; receives nil for a slot, or the reason of a refusal
}

// Controller is the admission controller of one backend server. It is a plain state machine and not safe for concurrent
// use.
//
// Among requests of equal priority, none may wait longer than those of the least patient route in use can: otherwise the
// requests of a route with a distant target would fill the queue, and those with a near one would be served only when it
// is empty.
//
// It is designed for sustained overload, with more requests than slots for seconds. A request that waits until its
// response has lost most of its value would take a slot from a request that could still be served in time, and both
// would lose. A request that waiting keeps from meeting its target is therefore refused when it arrives, or as soon as
// more urgent requests delay it too far, and the refusal says when to retry. A request that could not meet its target
// even without waiting is served after all others, within its deadline. So is one that will not be sent to another
// endpoint, as long as the overload seems to end before its deadline.
type Controller struct {
	breaker    Breaker
	limit      ServerLimit
	cold       *ColdGuard // nil if the backend server is never cold
	budget     RetryBudget
	retryBound func() RetryBound
	slots      int
	running    map[*Waiter]struct{}
	waiting    []*Waiter // in the order in which they are granted slots
	reserve    slotReserve
	late       lateAdmission
	stats      Stats
	sequence   uint64
	routes     map[string]*routeStats
}

// routeStats is what a Controller knows of a route.
type routeStats struct {
	mean     time.Duration // moving average of the durations of exchanges
	samples  float64       // in mean, where the initial expectation counts as one; at most 1/durationWeight
	patience time.Duration // moving average of the waits with which requests could still meet their target
	priority int           // of the route, by its last request with a target
	lastSeen time.Time     // when the last request with a target arrived; zero before
}

// add adds the duration of an exchange. The first ones replace the initial expectation quickly.
func (r *routeStats) add(took time.Duration) {
	r.samples = min(r.samples+1, 1/durationWeight)
	r.mean += time.Duration(float64(took-r.mean) / r.samples)
}

// recordArrival records the arrival of a request.
func (r *routeStats) recordArrival(now time.Time, w *Waiter) {
	if w.request.SoftDeadline.IsZero() || w.missesTarget {
		return
	}
	patience := w.request.SoftDeadline.Sub(now) - r.mean
	if r.lastSeen.IsZero() {
		r.patience = patience
	}
	r.patience += time.Duration(durationWeight * float64(patience-r.patience))
	r.priority, r.lastSeen = w.request.RoutePriority, now
}

// NewController returns a controller for the given number of slots, all free. bound returns this gate's share of the
// retry bound.
func NewController(slots int, bound func() RetryBound) *Controller {
	return &Controller{
		slots: slots, retryBound: bound,
		running: make(map[*Waiter]struct{}), routes: make(map[string]*routeStats),
	}
}

// Load returns the current load.
func (c *Controller) Load() backend.Load {
	return backend.Load{Running: len(c.running), Waiting: len(c.waiting), Slots: c.slots}
}

// RetryShare returns which share of the running requests are retries.
func (c *Controller) RetryShare() float64 {
	retries := 0
	for w := range c.running {
		if w.request.Retry {
			retries++
		}
	}
	return float64(retries) / float64(max(len(c.running), 1))
}

// Cooldown returns the remaining cooldown of the circuit breaker, 0 if there is none.
func (c *Controller) Cooldown(now time.Time) time.Duration { return c.breaker.Cooldown(now) }

// Arrive adds a request. If granted is true, the request holds a slot; otherwise it waits until Release or SetSlots
// grants it one, or until Release, SetSlots or Observe refuses it. The error carries BackendEjected,
// BackendLimited, BackendCold, BackendBusy, QueueFull or RetryBudgetSpent; all but the last come with the delay after which to retry.
func (c *Controller) Arrive(now, deadline time.Time, r backend.SlotRequest) (w *Waiter, granted bool, err error) {
	if ok, after := c.breaker.Allow(now, r); !ok {
		return nil, false, result.WithRetryAfter(result.New(result.BackendEjected,
			"the circuit breaker of the backend server does not admit the request"), after)
	}
	if !c.limit.Allows(now) {
		return nil, false, c.limitError(now)
	}
	if ok, after := c.cold.allows(now); !ok {
		return nil, false, coldError(after)
	}
	route := c.route(now, r)
	w = &Waiter{request: r, deadline: deadline, expectedDuration: route.mean, sequence: c.sequence}
	if r.NestedCall {
		w.request.SoftDeadline = time.Time{} // only the time limit of the calling request matters, which is the deadline here
	}
	w.missesTarget = !w.request.SoftDeadline.IsZero() && now.Add(w.expectedDuration).After(w.request.SoftDeadline)
	route.recordArrival(now, w)
	c.sequence++
	at := c.position(w)
	if c.mayStart(now, w, at) {
		if err := c.takeSlot(now, w); err != nil {
			return nil, false, err
		}
		c.recordNeed(now, w)
		return w, true, nil
	}
	if len(c.running) < c.slots && !c.hasSlotFor(now, w) {
		c.stats.SlotsKept++
	}
	if err := c.checkWait(now, w, at); err != nil {
		if !c.mayWaitLate(now, w) {
			return nil, false, err
		}
		w.missesTarget, w.waitsLate = true, true
		c.stats.LateWaits++
		at = c.position(w)
	}
	c.recordNeed(now, w)
	c.waiting = slices.Insert(c.waiting, at, w)
	for _, behind := range c.waiting[at+1:] {
		behind.overtaken = true
	}
	return w, false, nil
}

// recordNeed records that a request needs a slot. Nested calls count on none to be free: they go first when one is.
func (c *Controller) recordNeed(now time.Time, w *Waiter) {
	if !w.request.NestedCall {
		c.reserve.record(now, w.request.RoutePriority, w.expectedDuration)
	}
}

// position returns where a request is inserted in the queue.
func (c *Controller) position(w *Waiter) int {
	at, _ := slices.BinarySearchFunc(c.waiting, w, compareWaiters)
	return at
}

// mayStart reports whether a request that would be inserted in the queue at a position gets a slot at once: one is free
// that is not kept for more urgent routes, and none that waits before it may have that one.
func (c *Controller) mayStart(now time.Time, w *Waiter, at int) bool {
	return c.hasSlotFor(now, w) && !slices.ContainsFunc(c.waiting[:at], func(x *Waiter) bool { return c.hasSlotFor(now, x) })
}

// hasSlotFor reports whether a slot is free that is not kept for more urgent routes than that of the request.
func (c *Controller) hasSlotFor(now time.Time, w *Waiter) bool {
	return len(c.running) < c.usableSlots(now, w)
}

// usableSlots returns how many slots may be in use when a request gets one.
func (c *Controller) usableSlots(now time.Time, w *Waiter) int {
	if w.waitsLate {
		return c.slots - lateReserve(c.slots)
	}
	return c.slots - c.reserve.reserved(now, w.request.RoutePriority, w.expectedDuration, c.slots)
}

// route returns what is known of a request's route. A route that is not known yet starts with an expectation from the
// target of the request.
func (c *Controller) route(now time.Time, r backend.SlotRequest) *routeStats {
	if known, ok := c.routes[r.Route]; ok {
		return known
	}
	route := &routeStats{mean: initialDuration, samples: 1}
	if left := r.SoftDeadline.Sub(now); !r.SoftDeadline.IsZero() && left > 0 {
		route.mean = left / initialTargetDivisor
	}
	if len(c.routes) >= maxRoutes {
		clear(c.routes)
	}
	c.routes[r.Route] = route
	return route
}

// compareWaiters orders requests that can meet their target before those that cannot, then by priority. Among equal ones
// it puts nested calls first, since the calling request holds a slot elsewhere and loses its work if the call fails, and
// then those of the more urgent route, and earlier arrivals.
func compareWaiters(a, b *Waiter) int {
	if a.missesTarget != b.missesTarget {
		return sign(a.missesTarget)
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority - b.request.Priority
	}
	if a.request.NestedCall != b.request.NestedCall {
		return sign(b.request.NestedCall)
	}
	if a.request.RoutePriority != b.request.RoutePriority {
		return a.request.RoutePriority - b.request.RoutePriority
	}
	return int(a.sequence) - int(b.sequence)
}

// sign returns 1 for true and -1 for false, as the result of a comparison.
func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

// checkWait returns an error if a request must not wait at the given position in the queue.
func (c *Controller) checkWait(now time.Time, w *Waiter, at int) error {
	wait := c.estimateWait(now, w, at)
	switch {
	case w.request.NoWait:
		return result.WithRetryAfter(result.New(result.BackendBusy, "no slot is free"), wait)
	case len(c.waiting) >= waitersPerSlot*c.slots:
		return result.WithRetryAfter(result.New(result.QueueFull, "%d requests are already waiting", len(c.waiting)), wait)
	case w.startsTooLate(now.Add(wait)), wait > c.longestWait(now, w):
		return waitTooLongError(wait)
	}
	return nil
}

// limitError returns the refusal of a request that the limit of the backend server does not allow now.
func (c *Controller) limitError(now time.Time) error {
	return result.WithRetryAfter(result.New(result.BackendLimited,
		"the backend server has got all requests that its limit allows"), c.limit.RetryAfter(now))
}

// coldError returns the refusal of a request that the backend server does not tolerate now because it is cold.
func coldError(retryAfter time.Duration) error {
	return result.WithRetryAfter(result.New(result.BackendCold,
		"the cold backend server has got all requests that it tolerates"), retryAfter)
}

// takeSlot gives a slot to a request that is sent now. It returns an error if the backend server's limit or its cold
// start does not allow the request, or if the request is a retry and the retry budget is spent.
func (c *Controller) takeSlot(now time.Time, w *Waiter) error {
	if !c.limit.Allows(now) {
		return c.limitError(now)
	}
	if ok, after := c.cold.allows(now); !ok {
		return coldError(after)
	}
	if !w.request.Retry {
		c.budget.RecordFirst(now, c.retryBound())
		c.budget.RecordRetries(now, c.retryBound(), w.request.RetryShare)
	} else if !c.budget.AllowRetry(now, c.retryBound(), c.reserve.moreUrgentInUse(now, w.request.RoutePriority)) {
		c.stats.RetriesRefused++
		return result.New(result.RetryBudgetSpent, "the retry budget of the backend server is spent")
	}
	if ok, after := c.cold.take(now); !ok {
		return coldError(after) // the gate of another process has sent one since the check
	}
	c.limit.Take(now)
	c.observeUse(now)
	if w.waitsLate {
		c.late.observeOutcome(true)
	}
	c.running[w] = struct{}{}
	w.startedAt = now
	w.trial = c.breaker.Begin()
	return nil
}

// Grant ends the wait of a request; Err is nil if the request was granted a slot.
type Grant struct {
	Waiter *Waiter
	Err    error
}

// Cancel removes a waiting request.
func (c *Controller) Cancel(w *Waiter) {
	c.waiting = slices.DeleteFunc(c.waiting, func(x *Waiter) bool { return x == w })
}

// Release frees the slot of a request and returns the requests whose wait ended.
func (c *Controller) Release(now time.Time, w *Waiter) []Grant {
	c.observeUse(now)
	delete(c.running, w)
	c.breaker.End(w.trial)
	return c.grantFreeSlots(now)
}

// grantFreeSlots grants the free slots, refuses requests that would now start too late, and returns both.
func (c *Controller) grantFreeSlots(now time.Time) []Grant {
	var out []Grant
	for at := 0; len(c.running) < c.slots && at < len(c.waiting); {
		w := c.waiting[at]
		if ok, _ := c.breaker.Allow(now, w.request); !ok {
			break
		}
		if !c.hasSlotFor(now, w) {
			at++
			continue
		}
		c.waiting = slices.Delete(c.waiting, at, at+1)
		out = append(out, Grant{Waiter: w, Err: c.takeSlot(now, w)})
	}
	return append(out, c.refuseLate(now)...)
}

// Observe records how an exchange of a route ended. If this opens the circuit breaker, all waiting requests are refused
// and returned, so that they can go to another endpoint while there is time.
func (c *Controller) Observe(now time.Time, o backend.Outcome, route string, took time.Duration) []Grant {
	stats := c.route(now, backend.SlotRequest{Route: route})
	switch o {
	case backend.OutcomeAnswered:
		stats.add(took)
	case backend.OutcomeTimeout:
		if took < hangFactor*stats.mean {
			o = backend.OutcomeCancelled
		}
	}
	if !c.breaker.Observe(now, o) {
		return nil
	}
	return c.RefuseWaiting(result.WithRetryAfter(result.New(result.BackendEjected,
		"the circuit breaker of the backend server opened"), c.breaker.Cooldown(now)))
}

// RefuseWaiting refuses all waiting requests with an error and returns them.
func (c *Controller) RefuseWaiting(err error) []Grant {
	out := make([]Grant, 0, len(c.waiting))
	for _, w := range c.waiting {
		out = append(out, Grant{Waiter: w, Err: err})
	}
	c.waiting = nil
	return out
}

// SetSlots changes the number of slots and returns the requests whose wait ended.
func (c *Controller) SetSlots(now time.Time, slots int) []Grant {
	c.slots = slots
	return c.grantFreeSlots(now)
}
