package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthstile/backend"
)

// refusalAim is the time within which a request is refused if the lack of capacity could be known when it arrived.
const refusalAim = 50 * time.Millisecond

// playedRequest is one request of a played load.
type playedRequest struct {
	arrived, ends time.Time
	served        bool
	refusedAfter  time.Duration
}

// playStart plays an overload on a controller that has not seen any exchange yet: a backend server that has just started
// or that another instance served before. It returns the requests in the order of their arrival.
func playStart(slots int, work, target time.Duration, perSecond float64, seed uint64) []*playedRequest {
	const span = 5 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	c := NewController(slots, unlimited)
	requests := make(map[*Waiter]*playedRequest)
	var all []*playedRequest
	var running []*Waiter
	started := func(now time.Time, w *Waiter) {
		requests[w].ends = now.Add(time.Duration(float64(work) * (0.7 + 0.6*random.Float64())))
		running = append(running, w)
	}
	ended := func(now time.Time, grants []Grant) {
		for _, g := range grants {
			if g.Err == nil {
				started(now, g.Waiter)
			} else {
				requests[g.Waiter].refusedAfter = now.Sub(requests[g.Waiter].arrived)
			}
		}
	}
	next := epoch
	for next.Before(epoch.Add(span)) || len(running) > 0 {
		slices.SortFunc(running, func(a, b *Waiter) int { return requests[a].ends.Compare(requests[b].ends) })
		if len(running) > 0 && requests[running[0]].ends.Before(next) {
			w := running[0]
			running = running[1:]
			p := requests[w]
			p.served = !p.ends.After(p.arrived.Add(target))
			ended(p.ends, c.Observe(p.ends, backend.OutcomeAnswered, "route", work))
			ended(p.ends, c.Release(p.ends, w))
			continue
		}
		now := next
		next = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if now.After(epoch.Add(span)) {
			next = now.Add(time.Hour) // no more arrivals
			continue
		}
		p := &playedRequest{arrived: now}
		all = append(all, p)
		w, granted, err := c.Arrive(now, now.Add(2*target), backend.SlotRequest{Route: "route", SoftDeadline: now.Add(target)})
		if err != nil {
			continue
		}
		requests[w] = p
		if granted {
			started(now, w)
		}
	}
	return all
}

// TestStartUnderOverloadRefusesAtOnce plays twice the load that a backend server can serve, from the first moment on, for
// the routes of the deployments: 99 of 100 refusals come within refusalAim, and few of those who wait do so in vain.
func TestStartUnderOverloadRefusesAtOnce(t *testing.T) {
	for name, route := range map[string]struct {
		slots        int
		work, target time.Duration
	}{
		"catalogue":       {5, 620 * time.Millisecond, 2 * time.Second},
		"orders":          {5, 470 * time.Millisecond, 2 * time.Second},
		"grown catalogue": {10, 1100 * time.Millisecond, 2500 * time.Millisecond},
		"roster":          {3, 550 * time.Millisecond, 1502 * time.Millisecond},
		"headgates":       {3, 150 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			refused, late, served := 0, 0, 0
			for seed := range uint64(40) {
				capacity := float64(route.slots) / route.work.Seconds()
				for _, p := range playStart(route.slots, route.work, route.target, 2*capacity, seed) {
					switch {
					case p.served:
						served++
					case p.ends.IsZero():
						refused++
						if p.refusedAfter > refusalAim {
							late++
						}
					}
				}
			}
			t.Logf("%d served in time, %d refused, %d of them late", served, refused, late)
			if late*100 > refused {
				t.Errorf("%d of %d refusals came after more than %v", late, refused, refusalAim)
			}
		})
	}
}
