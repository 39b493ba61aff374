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

// playedRoute is a route whose requests are played.
type playedRoute struct {
	name         string
	work, target time.Duration
	perSecond    float64
}

// playedRequest is one request of a played load.
type playedRequest struct {
	route         playedRoute
	arrived, ends time.Time
	served        bool
	refusedAfter  time.Duration
}

// play plays requests of routes on a controller that has not seen any exchange yet: a backend server that has just started
// or that another instance served before. It returns the requests in the order of their arrival.
func play(slots int, span time.Duration, seed uint64, routes ...playedRoute) []*playedRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	c := NewController(slots, unlimited)
	requests := make(map[*Waiter]*playedRequest)
	var running []*Waiter
	started := func(now time.Time, w *Waiter) {
		requests[w].ends = now.Add(time.Duration(float64(requests[w].route.work) * (0.7 + 0.6*random.Float64())))
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
	endBefore := func(now time.Time) {
		for len(running) > 0 {
			slices.SortFunc(running, func(a, b *Waiter) int { return requests[a].ends.Compare(requests[b].ends) })
			w, p := running[0], requests[running[0]]
			if p.ends.After(now) {
				return
			}
			running = running[1:]
			p.served = !p.ends.After(p.arrived.Add(p.route.target))
			ended(p.ends, c.Observe(p.ends, backend.OutcomeAnswered, p.route.name, p.route.work))
			ended(p.ends, c.Release(p.ends, w))
		}
	}
	all := arrivals(random, span, routes)
	for _, p := range all {
		endBefore(p.arrived)
		w, granted, err := c.Arrive(p.arrived, p.arrived.Add(2*p.route.target),
			backend.SlotRequest{Route: p.route.name, SoftDeadline: p.arrived.Add(p.route.target)})
		if err != nil {
			continue
		}
		requests[w] = p
		if granted {
			started(p.arrived, w)
		}
	}
	endBefore(epoch.Add(time.Hour))
	return all
}

// arrivals draws the arrivals of routes in a span.
func arrivals(random *rand.Rand, span time.Duration, routes []playedRoute) []*playedRequest {
	var all []*playedRequest
	for _, r := range routes {
		at := epoch
		for {
			at = at.Add(time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second)))
			if at.After(epoch.Add(span)) {
				break
			}
			all = append(all, &playedRequest{route: r, arrived: at})
		}
	}
	slices.SortFunc(all, func(a, b *playedRequest) int { return a.arrived.Compare(b.arrived) })
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
				load := playedRoute{name, route.work, route.target, 2 * capacity}
				for _, p := range play(route.slots, 5*time.Second, seed, load) {
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

// maxServedDifference is how much less often a kind of request may be served than another one that is no more urgent, by
// the platform's rules.
const maxServedDifference = 0.05

// TestPatienceTakesNoCapacityFromEqualRequests plays twice the load that a backend server can serve, of two routes of equal
// priority and work: vouchers, with a target of 2 s, and downloads, with one of 4 s. Vouchers are served about as often as
// downloads, and as many requests are served as of one route alone.
func TestPatienceTakesNoCapacityFromEqualRequests(t *testing.T) {
	const slots, span = 10, 20 * time.Second
	const work = 660 * time.Millisecond
	capacity := slots / work.Seconds()
	voucher := playedRoute{"voucher", work, 2 * time.Second, capacity}
	download := playedRoute{"download", work, 4 * time.Second, capacity}
	served, sent, alone := map[string]float64{}, map[string]float64{}, 0.0
	for seed := range uint64(20) {
		for _, p := range play(slots, span, seed, voucher, download) {
			sent[p.route.name]++
			if p.served {
				served[p.route.name]++
			}
		}
		one := voucher
		one.perSecond = 2 * capacity
		for _, p := range play(slots, span, seed, one) {
			if p.served {
				alone++
			}
		}
	}
	vouchers, downloads := served["voucher"]/sent["voucher"], served["download"]/sent["download"]
	t.Logf("served: vouchers %.3f, downloads %.3f, both %.0f, one route alone %.0f", vouchers, downloads, served["voucher"]+served["download"], alone)
	if vouchers < downloads-maxServedDifference {
		t.Errorf("vouchers are served less often than downloads: %.3f and %.3f", vouchers, downloads)
	}
	if both := served["voucher"] + served["download"]; both < (1-maxServedDifference)*alone {
		t.Errorf("%.0f requests are served, of one route alone %.0f", both, alone)
	}
}
