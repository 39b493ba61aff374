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
	// patience is how long a request waits for the own leases before a home is asked.
	patience = 100 * time.Millisecond
	// maxWaiting bounds the requests of one account that wait at one instance.
	maxWaiting = 4096
)

// lease is what a holder has of one account from one home.
type lease struct {
	bucket
	expires time.Duration
	// returned are tokens that were given up and are not yet on their way to the home. They are never more than the
	// burst given up since the last request, which the home can't use before it learns of both.
	returned Tokens
	// stated is the burst in the last request.
	stated Tokens
	// changed says that the home has to learn of something given up.
	changed bool
}

// replace takes over a share from the home with level more tokens.
func (l *lease) replace(now time.Duration, s Quota, level Tokens) {
	shrunk := !l.share.Fits(s)
	l.refill(now)
	l.level += l.returned + level
	l.returned = 0
	excess := l.resize(now, s)
	l.returned = min(excess, max(l.stated-s.Burst, 0))
	l.changed = l.changed || shrunk || s.IsZero()
	l.settleTokens()
}

// settleTokens gives up the burst of spent single tokens.
func (l *lease) settleTokens() {
	if l.share.Rate == 0 && l.share.Burst != l.level {
		l.share.Burst = l.level
		l.changed = true
	}
}

// letGo gives up all of a lease.
func (l *lease) letGo(now time.Duration) {
	if l.share.IsZero() {
		return
	}
	l.returned += l.resize(now, Quota{})
	l.changed = true
}

// heldAccount is one account at an instance where requests of it run.
type heldAccount struct {
	name   string
	whole  Quota
	homes  []string // in the order in which they are asked
	leases map[string]*lease
	after  map[string]time.Duration // when a home may be asked for more
	asked  map[string]bool          // homes whose reply is awaited
	queue  []uint64
	used   time.Duration // when a request last came or went

	demand   float64 // requests per second, at the time demandAt
	demandAt time.Duration
}

func newHeldAccount(name string, whole Quota, homes []string) *heldAccount {
	return &heldAccount{
		name:   name,
		whole:  whole,
		homes:  homes,
		leases: make(map[string]*lease),
		after:  make(map[string]time.Duration),
		asked:  make(map[string]bool),
	}
}

// arrive counts one request into the demand.
func (a *heldAccount) arrive(now time.Duration) {
	a.demand = a.demandNow(now) + 1/demandWindow.Seconds()
	a.demandAt = now
	a.used = now
}

// demandNow averages over the window; silence bounds it sooner, so that a lease is let go where demand moved away.
func (a *heldAccount) demandNow(now time.Duration) float64 {
	silent := (now - a.demandAt).Seconds()
	averaged := a.demand * math.Exp(-silent/demandWindow.Seconds())
	if len(a.queue) > 0 || silent <= 0 {
		return averaged
	}
	return min(averaged, silenceFactor/silent)
}

// wanted is the demand for a message.
func (a *heldAccount) wanted(now time.Duration) Tokens {
	return Tokens(a.demandNow(now) * float64(Token))
}

// prune drops what lapsed.
func (a *heldAccount) prune(now time.Duration) {
	for home, l := range a.leases {
		if now >= l.expires {
			delete(a.leases, home)
		}
	}
}

// level returns the tokens that can be used now.
func (a *heldAccount) level(now time.Duration) Tokens {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.expires {
			l.refill(now)
			sum += l.level
		}
	}
	return sum
}

// take uses one token, from several leases together where none has a whole one.
func (a *heldAccount) take(now time.Duration) bool {
	if a.level(now) < Token {
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
		l.settleTokens()
	}
	a.used = now
	return true
}

// leaseOrder gives a fixed order of the leases: single tokens go first, as they hold up the home's burst.
func (a *heldAccount) leaseOrder() []string {
	out := make([]string, 0, len(a.leases))
	for home := range a.leases {
		out = append(out, home)
	}
	slices.SortFunc(out, func(x, y string) int {
		if a.leases[x].share.Rate == 0 != (a.leases[y].share.Rate == 0) {
			if a.leases[x].share.Rate == 0 {
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

// missing returns the tokens that waiting requests need beyond what is here.
func (a *heldAccount) missing(now time.Duration) Tokens {
	return max(Tokens(len(a.queue))*Token-a.level(now), 0)
}

// rate returns the rate at which tokens come in.
func (a *heldAccount) rate(now time.Duration) Tokens {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.expires {
			sum += l.share.Rate
		}
	}
	return sum
}

// ready returns when the first waiting request can go on with the leases alone.
func (a *heldAccount) ready(now time.Duration) (time.Duration, bool) {
	all := bucket{share: Quota{Rate: a.rate(now), Burst: Token}, level: a.level(now)}
	d, ok := all.ready(Token)
	return now + d, ok
}

// hopeless returns how long one more request has to wait at least, even if the whole account were here.
func (a *heldAccount) hopeless() time.Duration {
	ahead := Tokens(len(a.queue)+1)*Token - a.whole.Burst
	if ahead <= 0 {
		return 0
	}
	return time.Duration(mulDiv(ahead, Tokens(time.Second), a.whole.Rate))
}

// asksAt reports whether the home is to be asked for tokens now. A demand that takes a rate asks all homes that gave
// none; otherwise one is asked after the other, if the own leases don't bring what is missing soon.
func (a *heldAccount) asksAt(now time.Duration, home string, usable func(string) bool) bool {
	if a.after[home] > now || !slices.Contains(a.homes, home) || a.missing(now) == 0 {
		return false
	}
	if l := a.leases[home]; a.wanted(now) >= leaseDemand && (l == nil || l.share.Rate == 0) {
		return true
	}
	if r := a.rate(now); r > 0 && mulDiv(a.missing(now), Tokens(time.Second), r) <= Tokens(patience) {
		return false
	}
	for _, h := range a.homes {
		if a.asked[h] {
			return false
		}
		if h == home {
			return true
		}
		if usable(h) && a.after[h] <= now {
			return false
		}
	}
	return false
}
