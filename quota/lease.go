package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = time.Second
	// silenceFactor is how many times the mean gap between requests a pause may last before it reduces the demand, since
	// gaps vary at random.
	silenceFactor = 3
	// localWaitLimit is how long a request may wait for tokens of the present leases before a coordinator is asked.
	localWaitLimit = 100 * time.Millisecond
	// maxQueued bounds how many requests of one account wait at one instance.
	maxQueued = 4096
)

// lease is the part of one account that a holder has from one coordinator.
type lease struct {
	bucket
	expires time.Duration
	// returned are released tokens that were not sent back to the coordinator yet. They never exceed the burst that was
	// released since the last request; the coordinator can use neither before the next request reports both.
	returned Tokens
	// statedBurst is the burst that the last request stated.
	statedBurst Tokens
	// releaseUnsent means that something was released and no request has reported it yet.
	releaseUnsent bool
}

// replace sets the quota that the coordinator granted and adds level tokens.
func (l *lease) replace(now time.Duration, q Quota, level Tokens) {
	shrunk := !l.quota.Fits(q)
	l.refill(now)
	l.level += l.returned + level
	l.returned = 0
	excess := l.resize(now, q)
	l.returned = min(excess, max(l.statedBurst-q.Burst, 0))
	l.releaseUnsent = l.releaseUnsent || shrunk || q.IsZero()
	l.releaseSpentTokens()
}

// releaseSpentTokens releases the burst of spent tokens in a lease of single tokens.
func (l *lease) releaseSpentTokens() {
	if l.quota.Rate == 0 && l.quota.Burst != l.level {
		l.quota.Burst = l.level
		l.releaseUnsent = true
	}
}

// release releases the whole lease.
func (l *lease) release(now time.Duration) {
	if l.quota.IsZero() {
		return
	}
	l.returned += l.resize(now, Quota{})
	l.releaseUnsent = true
}

// holderAccount is the state of one account at an instance that runs its requests.
type holderAccount struct {
	name         string
	total        Quota
	coordinators []string                 // in the order in which the holder asks them
	leases       map[string]*lease        // by coordinator
	askAgainAt   map[string]time.Duration // by coordinator: when it may be asked for more
	awaiting     map[string]bool          // coordinators whose reply is outstanding
	queue        []uint64                 // numbers of the waiting requests, oldest first
	lastUsed     time.Duration            // when a request last arrived or was admitted

	demand   float64 // requests per second, at the time demandAt
	demandAt time.Duration
}

func newHolderAccount(name string, total Quota, coordinators []string) *holderAccount {
	return &holderAccount{
		name:         name,
		total:        total,
		coordinators: coordinators,
		leases:       make(map[string]*lease),
		askAgainAt:   make(map[string]time.Duration),
		awaiting:     make(map[string]bool),
	}
}

// recordArrival adds one request to the demand.
func (a *holderAccount) recordArrival(now time.Duration) {
	a.demand = a.currentDemand(now) + 1/demandWindow.Seconds()
	a.demandAt = now
	a.lastUsed = now
}

// currentDemand returns the demand averaged over the window. A silence reduces it sooner, so that a lease is released
// quickly where demand has moved away.
func (a *holderAccount) currentDemand(now time.Duration) float64 {
	silence := (now - a.demandAt).Seconds()
	averaged := a.demand * math.Exp(-silence/demandWindow.Seconds())
	if len(a.queue) > 0 || silence <= 0 {
		return averaged
	}
	return min(averaged, silenceFactor/silence)
}

// demandTokens returns the demand in the unit that messages use.
func (a *holderAccount) demandTokens(now time.Duration) Tokens {
	return Tokens(a.currentDemand(now) * float64(Token))
}

// dropExpired drops expired leases.
func (a *holderAccount) dropExpired(now time.Duration) {
	for coordinator, l := range a.leases {
		if now >= l.expires {
			delete(a.leases, coordinator)
		}
	}
}

// available returns the tokens that can be used now.
func (a *holderAccount) available(now time.Duration) Tokens {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.expires {
			l.refill(now)
			sum += l.level
		}
	}
	return sum
}

// takeToken uses one token, if necessary in parts from several leases; false if the leases hold less than one token.
func (a *holderAccount) takeToken(now time.Duration) bool {
	if a.available(now) < Token {
		return false
	}
	missing := Token
	for _, coordinator := range a.leaseOrder() {
		l := a.leases[coordinator]
		if now >= l.expires {
			continue
		}
		part := min(missing, l.level)
		l.level -= part
		missing -= part
		l.releaseSpentTokens()
	}
	a.lastUsed = now
	return true
}

// leaseOrder returns the coordinators of the leases in a fixed order. Leases of single tokens come first, as they tie
// up burst of the coordinator.
func (a *holderAccount) leaseOrder() []string {
	out := make([]string, 0, len(a.leases))
	for coordinator := range a.leases {
		out = append(out, coordinator)
	}
	slices.SortFunc(out, func(x, y string) int {
		if a.leases[x].quota.Rate == 0 != (a.leases[y].quota.Rate == 0) {
			if a.leases[x].quota.Rate == 0 {
				return -1
			}
			return 1
		}
		if x < y {
			return -1
		}
		return 1
	})
	return out
}

// missingTokens returns the tokens that waiting requests need beyond the available ones.
func (a *holderAccount) missingTokens(now time.Duration) Tokens {
	return max(Tokens(len(a.queue))*Token-a.available(now), 0)
}

// totalRate returns the rate at which all leases together gain tokens.
func (a *holderAccount) totalRate(now time.Duration) Tokens {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.expires {
			sum += l.quota.Rate
		}
	}
	return sum
}

// nextTokenAt returns when the first waiting request can proceed with the present leases; false if they gain no tokens.
func (a *holderAccount) nextTokenAt(now time.Duration) (time.Duration, bool) {
	all := bucket{quota: Quota{Rate: a.totalRate(now), Burst: Token}, level: a.available(now)}
	d, ok := all.timeUntil(Token)
	return now + d, ok
}

// minWait returns how long one more request has to wait at least, even if the whole account were leased to this
// instance.
func (a *holderAccount) minWait() time.Duration {
	ahead := Tokens(len(a.queue)+1)*Token - a.total.Burst
	if ahead <= 0 {
		return 0
	}
	return time.Duration(mulDiv(ahead, Tokens(time.Second), a.total.Rate))
}

// shouldAsk reports whether the coordinator should be asked for tokens now. If the demand justifies a rate, all
// coordinators that have granted none are asked. Otherwise the coordinators are asked one after the other, and only if
// the present leases will not provide the missing tokens within localWaitLimit.
func (a *holderAccount) shouldAsk(now time.Duration, coordinator string, usable func(string) bool) bool {
	if a.askAgainAt[coordinator] > now || !slices.Contains(a.coordinators, coordinator) || a.missingTokens(now) == 0 {
		return false
	}
	if l := a.leases[coordinator]; a.demandTokens(now) >= rateLeaseDemand && (l == nil || l.quota.Rate == 0) {
		return true
	}
	if r := a.totalRate(now); r > 0 && mulDiv(a.missingTokens(now), Tokens(time.Second), r) <= Tokens(localWaitLimit) {
		return false
	}
	for _, other := range a.coordinators {
		if a.awaiting[other] {
			return false
		}
		if other == coordinator {
			return true
		}
		if usable(other) && a.askAgainAt[other] <= now {
			return false
		}
	}
	return false
}
