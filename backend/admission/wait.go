package admission

import (
	"math"
	"slices"
	"time"

	"amaranthstile/result"
)

// mayWaitLate reports whether a request that must not wait for its target may wait for its deadline instead.
func (c *Controller) mayWaitLate(now time.Time, w *Waiter) bool {
	if !w.request.AcceptLate || w.request.NoWait || w.request.SoftDeadline.IsZero() || w.deadline.IsZero() ||
		len(c.waiting) >= waitersPerSlot*c.slots {
		return false
	}
	late := *w
	late.missesTarget = true
	var before time.Duration
	for _, x := range c.waiting[:c.position(&late)] {
		before += x.expectedDuration
	}
	c.observeUse(now)
	return c.late.allows(before, w.deadline.Sub(now)-w.expectedDuration, c.slots)
}

// observeUse tells the admission of late requests how the slots are used. It must be called before the running requests
// change.
func (c *Controller) observeUse(now time.Time) {
	used := 0
	for w := range c.running {
		if !w.missesTarget {
			used++
		}
	}
	c.late.observeUse(now, used, c.slots)
}

// longestWait returns how long a request may wait so that requests of equal priority whose target is nearer find room in
// the queue. It is at least the duration of one exchange, which keeps the slots in use.
func (c *Controller) longestWait(now time.Time, w *Waiter) time.Duration {
	longest := time.Duration(math.MaxInt64)
	if w.request.NestedCall || w.request.SoftDeadline.IsZero() {
		return longest
	}
	for _, r := range c.routes {
		if r.priority == w.request.RoutePriority && now.Sub(r.lastSeen) < recentWindow {
			longest = min(longest, r.patience)
		}
	}
	return max(longest, w.expectedDuration)
}

// waitTooLongError returns the refusal of a request whose estimated wait is too long.
func waitTooLongError(wait time.Duration) error {
	return result.WithRetryAfter(result.New(result.BackendBusy,
		"the estimated wait of %v exceeds the remaining time", wait.Round(time.Millisecond)), wait)
}

// longRunningFactor is how many times its own expected duration the running requests must take on average for a request
// to count on the first slot that becomes free.
const longRunningFactor = 2

// estimateWait estimates the time until a request is granted a slot that would be inserted in the queue at the given
// position. The estimate is half the expected duration of each running request and the whole one of each
// request that waits before it, shared among the slots, which leaves a margin where all requests take about as long.
// Where requests that take long hold the slots, one that is short need not wait for half of their duration: the estimate
// is then the time at which a slot becomes free, with half of the request's own expected duration as a margin.
func (c *Controller) estimateWait(now time.Time, w *Waiter, at int) time.Duration {
	usable := max(c.usableSlots(now, w), 1)
	slots := time.Duration(usable)
	var running, before time.Duration
	for x := range c.running {
		running += x.expectedDuration
	}
	for _, x := range c.waiting[:at] {
		before += x.expectedDuration
	}
	wait := (running/2 + before) / slots
	if running < longRunningFactor*slots*w.expectedDuration {
		return wait
	}
	schedule := c.schedule(now, usable)
	for _, x := range c.waiting[:at] {
		schedule.add(x.expectedDuration)
	}
	return min(wait, schedule.next()+w.expectedDuration/2)
}

// schedule returns when the running requests are expected to free so many slots. A request that has run for longer than
// expected counts as one that ends now.
func (c *Controller) schedule(now time.Time, slots int) *slotSchedule {
	rest := make([]time.Duration, 0, max(slots, len(c.running)))
	for w := range c.running {
		rest = append(rest, max(w.expectedDuration-now.Sub(w.startedAt), 0))
	}
	return newSlotSchedule(slots, rest)
}

// startsTooLate reports whether a request that starts at the given time would end after its target, or after its
// deadline if it has no target or could not meet it when it arrived.
func (w *Waiter) startsTooLate(start time.Time) bool {
	end := start.Add(w.expectedDuration)
	if !w.missesTarget && !w.request.SoftDeadline.IsZero() {
		return end.After(w.request.SoftDeadline)
	}
	return !w.deadline.IsZero() && end.After(w.deadline)
}

// refuseLate removes the waiting requests that would start too late, and returns their refusals. Only what is certain
// counts. A request that was overtaken waits for the rest of the running requests, too; for any other one, that was part
// of the estimate on which it was let wait, and one exchange that takes longer than expected must not end its wait.
func (c *Controller) refuseLate(now time.Time) []Grant {
	if len(c.waiting) == 0 {
		return nil
	}
	var out []Grant
	schedule := c.schedule(now, c.slots)
	var ahead time.Duration // the work of the requests that wait before
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiter) bool {
		wait := ahead / time.Duration(max(c.slots, 1))
		if w.overtaken {
			wait = schedule.next()
		}
		if !w.startsTooLate(now.Add(wait)) {
			schedule.add(w.expectedDuration)
			ahead += w.expectedDuration
			return false
		}
		if w.waitsLate {
			c.stats.LateRefusals++
			c.late.observeOutcome(false)
		}
		out = append(out, Grant{Waiter: w, Err: waitTooLongError(max(wait, schedule.next()))})
		return true
	})
	return out
}
