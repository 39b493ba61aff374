package admission

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant of the estimate of offered load. It is longer than most requests take, so that the
	// estimate counts several of them, and short beside the bursts that it answers.
	loadMemory = 3 * time.Second
	// maxReservedShare bounds the share of the slots that are kept from requests of less urgent routes.
	maxReservedShare = 0.5
	// forgetLoadAfter is how long the load of a priority is kept after its last request.
	forgetLoadAfter = 5 * loadMemory
)

// slotReserve decides how many slots of a backend server are kept free of requests that take long and whose routes are
// less urgent. It answers bursts of patient requests that take long: these fill all slots, and urgent requests that take
// short then start only when one of them ends, often too late for their target. Requests that take short themselves soon
// free their slots and are kept from none. The reserve follows the load that the more urgent routes offer, so that there
// is none where they are not in use. It is a plain state machine.
type slotReserve struct {
	loads map[int]*offeredLoad // by the priority of the route
}

// offeredLoad estimates how many slots the requests of one priority need on average.
type offeredLoad struct {
	slots    float64 // at the last update; it decays by 1/e in loadMemory
	at       time.Time
	duration time.Duration // expected of its last request
}

// value returns the load at a later time.
func (l *offeredLoad) value(now time.Time) float64 {
	return l.slots * math.Exp(-now.Sub(l.at).Seconds()/loadMemory.Seconds())
}

// record adds a request that needs a slot for an expected duration.
func (r *slotReserve) record(now time.Time, routePriority int, duration time.Duration) {
	l := r.loads[routePriority]
	if l == nil {
		if r.loads == nil {
			r.loads = make(map[int]*offeredLoad)
		}
		for p, other := range r.loads {
			if now.Sub(other.at) > forgetLoadAfter {
				delete(r.loads, p)
			}
		}
		l = &offeredLoad{}
		r.loads[routePriority] = l
	}
	l.slots = l.value(now) + duration.Seconds()/loadMemory.Seconds()
	l.at, l.duration = now, duration
}

// reserved returns how many of the slots a request with an expected duration must leave free: what the more urgent routes
// need on average, as far as their requests take much shorter.
func (r *slotReserve) reserved(now time.Time, routePriority int, duration time.Duration, slots int) int {
	load := 0.0
	for p, l := range r.loads {
		if p < routePriority && duration >= longRunningFactor*l.duration {
			load += l.value(now)
		}
	}
	if load < minReservedLoad {
		return 0
	}
	return min(int(math.Ceil(load)), int(maxReservedShare*float64(slots)))
}

// moreUrgentInUse reports whether routes of a more urgent priority are in use.
func (r *slotReserve) moreUrgentInUse(now time.Time, routePriority int) bool {
	for p, l := range r.loads {
		if p < routePriority && l.value(now) >= minReservedLoad {
			return true
		}
	}
	return false
}

// minReservedLoad is the load of more urgent routes, in slots, below which nothing is kept for them.
const minReservedLoad = 0.1
