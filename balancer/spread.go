package balancer

import (
	"math"
	"time"

	"amaranthstile/entry"
)

const (
	// spreadWindow is the time in which an endpoint should get a request, so that its health is known when it is needed.
	spreadWindow = 2 * time.Second
	// spreadPerWindow is how many spread requests an endpoint should get in spreadWindow on average. Instances spread
	// requests independently of each other, so a share of e^-spreadPerWindow of the endpoints gets none.
	spreadPerWindow = 3
	// minSpreadShareRepeatable and minSpreadShareOther are the smallest shares of requests that are spread. They leave room
	// for services whose requests begin at a few of the instances only.
	minSpreadShareRepeatable = 0.5
	minSpreadShareOther      = 0.3
	// arrivalMemory is the time constant of the moving averages of arrivals.
	arrivalMemory = 4 * time.Second
)

// arrivals estimates how many requests of one service begin at this instance. It holds counts that decay by 1/e in
// arrivalMemory.
type arrivals struct {
	since, at         time.Time // when the counts began, and their last update
	repeatable, other float64
}

// record counts a request that begins now.
func (a *arrivals) record(now time.Time, repeatable bool) {
	decay := math.Exp(-now.Sub(a.at).Seconds() / arrivalMemory.Seconds())
	a.repeatable, a.other, a.at = a.repeatable*decay, a.other*decay, now
	if repeatable {
		a.repeatable++
	} else {
		a.other++
	}
}

// rates returns the requests per second at the last update; they are infinite while nothing is known of the time before.
func (a *arrivals) rates() (repeatable, other float64) {
	observed := arrivalMemory.Seconds() * -math.Expm1(-a.at.Sub(a.since).Seconds()/arrivalMemory.Seconds())
	if observed <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	return a.repeatable / observed, a.other / observed
}

// spreadRate returns how many requests of a service each of the instances of a failure domain should spread per second, so
// that each of the domain's endpoints gets enough of them.
func spreadRate(endpoints, instances int) float64 {
	return spreadPerWindow / spreadWindow.Seconds() * float64(endpoints) / float64(max(instances, 1))
}

// spreadShares returns the shares of the repeatable and of all other requests to spread for a given rate. Repeatable ones
// go first: what fails at a gray endpoint can still be served elsewhere. It answers a load with few requests for each
// endpoint, at which the instances of a failure domain together would leave endpoints idle that others lack.
func spreadShares(rate, repeatable, other float64) (shareRepeatable, shareOther float64) {
	shareRepeatable = max(shareOf(rate, repeatable), minSpreadShareRepeatable)
	if rest := rate - shareRepeatable*repeatable; rest > 0 {
		shareOther = shareOf(rest, other)
	}
	return shareRepeatable, max(shareOther, minSpreadShareOther)
}

// shareOf returns which share of a rate a part of it is, 1 at most.
func shareOf(part, rate float64) float64 {
	if part >= rate {
		return 1
	}
	return part / rate
}

// shouldSpread decides whether a request may go to any endpoint of the domain, whatever its rank. s.mu must be held.
func (s *CostSelector) shouldSpread(service *serviceView, q entry.Query) bool {
	if service.unservedShare > spreadUnservedShare {
		return true
	}
	domain := s.options.Domain
	rate := spreadRate(service.ranking.endpoints[domain], q.Directory.CountInstances(domain))
	repeatable, other := service.arrivals.rates()
	share, shareOther := spreadShares(rate, repeatable, other)
	if !q.Repeatable {
		share = shareOther
	}
	return s.options.Rand() < share
}
