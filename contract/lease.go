package contract

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = time.Second
	// silenceFactor is how many mean gaps without a request are still taken for chance.
	silenceFactor = 3
	// localWaitLimit is how long a request waits for the own leases before a home is asked.
	localWaitLimit = 100 * time.Millisecond
	// maxQueued bounds the requests of one account that wait at one instance.
	maxQueued = 4096
)

// lease is what a holder has of one account from one home.
type lease struct {
	bucket
	expires time.Duration
	// returned are tokens that were given up and are not yet on their way to the home. They are never more than the
	// burst given up since the last request, which the home can't use before it learns of both.
	returned Tokens
	// statedBurst is the burst in the last request.
	statedBurst Tokens
	// releaseUnsent says that the home has to learn of something given up.
	releaseUnsent bool
}

// replace takes over a share from the home with level more tokens.
func (l *lease) replace(now time.Duration, s Quota, level Tokens) {
	shrunk := !l.quota.Fits(s)
	l.refill(now)
	l.level += l.returned + level
	l.returned = 0
	excess := l.resize(now, s)
	l.returned = min(excess, max(l.statedBurst-s.Burst, 0))
	l.releaseUnsent = l.releaseUnsent || shrunk || s.IsZero()
	l.releaseSpentTokens()
}

// releaseSpentTokens gives up the burst of spent single tokens.
func (l *lease) releaseSpentTokens() {
	if l.quota.Rate == 0 && l.quota.Burst != l.level {
		l.quota.Burst = l.level
		l.releaseUnsent = true
	}
}

// release gives up all of a lease.
func (l *lease) release(now time.Duration) {
	if l.quota.IsZero() {
		return
	}
	l.returned += l.resize(now, Quota{})
	l.releaseUnsent = true
}

// holderAccount is one account at an instance where requests of it run.
type holderAccount struct {
	name       string
	total      Quota
	homes      []string // in the order in which they are asked
	leases     map[string]*lease
	askAgainAt map[string]time.Duration // when a home may be asked for more
	awaiting   map[string]bool          // homes whose reply is awaited
	queue      []uint64
	lastUsed   time.Duration // when a request last came or went

	demand   float64 // requests per second, at the time demandAt
	demandAt time.Duration
}

func newHolderAccount(name string, whole Quota, homes []string) *holderAccount {
	return &holderAccount{
		name:       name,
		total:      whole,
		homes:      homes,
		leases:     make(map[string]*lease),
		askAgainAt: make(map[string]time.Duration),
		awaiting:   make(map[string]bool),
	}
}

// recordArrival counts one request into the demand.
func (a *holderAccount) recordArrival(now time.Duration) {
	a.demand = a.currentDemand(now) + 1/demandWindow.Seconds()
	a.demandAt = now
	a.lastUsed = now
}

// currentDemand averages over the window; silence bounds it sooner, so that a lease is let go where demand moved away.
func (a *holderAccount) currentDemand(now time.Duration) float64 {
	silent := (now - a.demandAt).Seconds()
	averaged := a.demand * math.Exp(-silent/demandWindow.Seconds())
	if len(a.queue) > 0 || silent <= 0 {
		return averaged
	}
	return min(averaged, silenceFactor/silent)
}

// demandTokens is the demand for a message.
func (a *holderAccount) demandTokens(now time.Duration) Tokens {
	return Tokens(a.currentDemand(now) * float64(Token))
}

// dropExpired drops what lapsed.
func (a *holderAccount) dropExpired(now time.Duration) {
	for home, l := range a.leases {
		if now >= l.expires {
			delete(a.leases, home)
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

// takeToken uses one token, from several leases together where none has a whole one.
func (a *holderAccount) takeToken(now time.Duration) bool {
	if a.available(now) < Token {
		return false
	}
	missing := Token
	for _, home := range a.leaseOrder() {
		l := a.leases[home]
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

// leaseOrder gives a fixed order of the leases: single tokens go first, as they hold up the home's burst.
func (a *holderAccount) leaseOrder() []string {
	out := make([]string, 0, len(a.leases))
	for home := range a.leases {
		out = append(out, home)
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

// missingTokens returns the tokens that waiting requests need beyond what is here.
func (a *holderAccount) missingTokens(now time.Duration) Tokens {
	return max(Tokens(len(a.queue))*Token-a.available(now), 0)
}

// totalRate returns the totalRate at which tokens come in.
func (a *holderAccount) totalRate(now time.Duration) Tokens {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.expires {
			sum += l.quota.Rate
		}
	}
	return sum
}

// nextTokenAt returns when the first waiting request can go on with the leases alone.
func (a *holderAccount) nextTokenAt(now time.Duration) (time.Duration, bool) {
	all := bucket{quota: Quota{Rate: a.totalRate(now), Burst: Token}, level: a.available(now)}
	d, ok := all.timeUntil(Token)
	return now + d, ok
}

// minWait returns how long one more request has to wait at least, even if the whole account were here.
func (a *holderAccount) minWait() time.Duration {
	ahead := Tokens(len(a.queue)+1)*Token - a.total.Burst
	if ahead <= 0 {
		return 0
	}
	return time.Duration(mulDiv(ahead, Tokens(time.Second), a.total.Rate))
}

// shouldAsk reports whether the home is to be asked for tokens now. A demand that takes a rate asks all homes that gave
// none; otherwise one is asked after the other, if the own leases don't bring what is missing soon.
func (a *holderAccount) shouldAsk(now time.Duration, home string, usable func(string) bool) bool {
	if a.askAgainAt[home] > now || !slices.Contains(a.homes, home) || a.missingTokens(now) == 0 {
		return false
	}
	if l := a.leases[home]; a.demandTokens(now) >= rateLeaseDemand && (l == nil || l.quota.Rate == 0) {
		return true
	}
	if r := a.totalRate(now); r > 0 && mulDiv(a.missingTokens(now), Tokens(time.Second), r) <= Tokens(localWaitLimit) {
		return false
	}
	for _, h := range a.homes {
		if a.awaiting[h] {
			return false
		}
		if h == home {
			return true
		}
		if usable(h) && a.askAgainAt[h] <= now {
			return false
		}
	}
	return false
}
