package quota

import "time"

// coordinatorAccount is this coordinator's share of one account.
type coordinatorAccount struct {
	total    Quota                    // the quota of the whole account, as this coordinator knows it
	unleased bucket                   // the part of the share that is not leased
	leases   map[uint64]*grantedLease // by session number
}

// grantedLease is what the coordinator has granted to one holder, and the holder's recent need.
type grantedLease struct {
	current Quota // granted with the last reply
	expires time.Duration
	// previous is the lease before current. The holder may still use it if the last reply was lost.
	previous        Quota
	previousExpires time.Duration
	demand          Tokens // per second, from the holder's last request
	wanted          Tokens // requested for waiting requests and not granted
	requestedAt     time.Duration
	waitingSince    time.Duration
	nudgedAt        time.Duration // when the holder was last asked to reduce the lease
}

// maxHeld returns the largest quota that the holder may have.
func (l *grantedLease) maxHeld(now time.Duration) Quota {
	var held Quota
	if now < l.expires {
		held = l.current
	}
	if now < l.previousExpires {
		held = held.max(l.previous)
	}
	return held
}

// isWaiting reports whether requests at the holder wait for tokens.
func (l *grantedLease) isWaiting(now time.Duration) bool {
	return l.wanted > 0 && now < l.requestedAt+waiterTTL
}

// rebalance drops expired leases and resizes the coordinator's own bucket to the part of the share that is not leased.
func (a *coordinatorAccount) rebalance(now time.Duration, allowed Quota) {
	unleased := allowed
	for n, l := range a.leases {
		if now >= l.expires && now >= l.previousExpires && now >= l.requestedAt+demandTTL {
			delete(a.leases, n)
			continue
		}
		unleased = unleased.sub(l.maxHeld(now))
	}
	a.unleased.resize(now, unleased)
}

// reclaim lowers a lease to what its holder states that it has. It reports whether the holder returned anything.
func (a *coordinatorAccount) reclaim(now time.Duration, sessionID uint64, req AccountRequest) bool {
	l := a.leases[sessionID]
	maxHeld := l.maxHeld(now)
	l.current = req.Held.min(maxHeld)
	l.previous, l.previousExpires = Quota{}, 0
	l.wanted = req.Want
	return l.current != maxHeld || req.Returned > 0
}

// grant decides on what one holder requests of the account. The new lease replaces the old one as a whole. Until the
// holder states that it has reduced its lease, the coordinator assumes the larger of the old and the new rate, and
// likewise of the burst.
func (a *coordinatorAccount) grant(now, validFor time.Duration, sessionID uint64, req AccountRequest, allowed Quota) Grant {
	l := a.leases[sessionID]
	if l == nil {
		l = &grantedLease{waitingSince: now}
		a.leases[sessionID] = l
	}
	l.demand, l.wanted, l.requestedAt = req.Demand, req.Want, now
	held := l.maxHeld(now)
	var target Quota
	if req.Total == a.total {
		target = a.target(now, sessionID, req, held, allowed)
	}
	l.previous, l.previousExpires = held, l.expires
	l.current, l.expires = target, now+validFor
	level := a.unleased.level
	a.rebalance(now, allowed)
	g := Grant{Account: req.Account, Total: req.Total, Quota: target}
	g.Level = tokensToTransfer(req, held, target, level, a.unleased.quota)
	a.unleased.level = min(level-g.Level, a.unleased.quota.Burst)
	l.wanted = max(req.Want-g.Level, 0)
	if l.wanted == 0 {
		l.waitingSince = now
		return g
	}
	g.After = defaultRetryAfter
	if target.Rate == 0 && req.Total == a.total {
		g.After = a.retryAfter(now, sessionID)
	}
	return g
}

// target returns the quota that the lease of the holder should have. A holder that needs a rate gets everything that is
// free if no other holder waits, and otherwise its share by demand; it may get single tokens in addition. Other holders
// get single tokens. A lease is reduced only if other holders wait or if the coordinator's own share was reduced.
func (a *coordinatorAccount) target(now time.Duration, sessionID uint64, req AccountRequest, held, allowed Quota) Quota {
	room := allowed
	for n, l := range a.leases {
		if n != sessionID {
			room = room.sub(l.maxHeld(now))
		}
	}
	contended := a.contended(now, sessionID)
	fair := a.fairShare(now, sessionID, allowed)
	target := held.min(room)
	switch {
	case !contended && req.Want > 0 && req.Demand >= rateLeaseDemand:
		return room
	case req.Demand < rateLeaseDemand || fair.Burst < Token:
		keeps := req.Demand >= rateLeaseDemand && held.Fits(fair.add(toleranceAbove(fair)))
		if contended && !keeps {
			target = Quota{Burst: min(target.Burst, max(fair.Burst, req.Want))}
		}
	case !contended || held.Rate == 0:
		target = fair.max(held).min(room)
	case !held.Fits(fair.add(toleranceAbove(fair))):
		target = fair.min(room)
	}
	grown := max(target.Burst-held.Burst, 0)
	tokens := min(req.Want, a.unleased.level, room.Burst-held.Burst) - grown
	target.Burst += max(tokens-tokens%Token, 0)
	return target.min(room)
}

// toleranceAbove returns by how much a holder may exceed its fair share before the coordinator takes anything from it,
// so that small changes of demand cost no messages.
func toleranceAbove(fair Quota) Quota {
	return Quota{Rate: fair.Rate / 2, Burst: max(fair.Burst/4, Token)}
}

// fairShare returns the holder's share in proportion to its demand, with the burst in whole tokens.
func (a *coordinatorAccount) fairShare(now time.Duration, sessionID uint64, allowed Quota) Quota {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.requestedAt+demandTTL {
			sum += l.demand
		}
	}
	return allowed.scale(a.leases[sessionID].demand, sum)
}

// contended reports whether a holder other than that of the given session waits for tokens.
func (a *coordinatorAccount) contended(now time.Duration, sessionID uint64) bool {
	for n, l := range a.leases {
		if n != sessionID && l.isWaiting(now) {
			return true
		}
	}
	return false
}

// tokensToTransfer returns how many of the coordinator's saved tokens are sent with a lease that changes from held to
// target and leaves the quota unleased at the coordinator. They never exceed the burst that the lease gains: until the
// reply arrives, the holder fills its bucket up to the burst that it held.
func tokensToTransfer(req AccountRequest, held, target Quota, level Tokens, unleased Quota) Tokens {
	grown := target.Burst - held.Burst
	if grown <= 0 || level <= 0 {
		return 0
	}
	if target.Rate == 0 {
		return min(grown, level)
	}
	part := mulDiv(level, grown, unleased.Burst+grown)
	return min(max(part, min(req.Want, grown)), level)
}

// retryAfter returns how long a waiting holder should wait until it is its turn for the coordinator's own tokens.
func (a *coordinatorAccount) retryAfter(now time.Duration, sessionID uint64) time.Duration {
	needed := Token
	since := a.leases[sessionID].waitingSince
	for n, other := range a.leases {
		if n != sessionID && !other.isWaiting(now) && other.maxHeld(now).Burst > 0 {
			return shortRetryAfter // that holder is nudged to return tokens
		}
		if n != sessionID && other.isWaiting(now) && other.waitingSince < since {
			needed += Token
		}
	}
	if a.unleased.quota.Rate == 0 || a.unleased.quota.Burst < Token || a.unleased.level >= needed {
		return shortRetryAfter
	}
	d := time.Duration(mulDiv(needed-a.unleased.level, Tokens(time.Second), a.unleased.quota.Rate))
	return min(max(d+d>>(driftShift-2), time.Millisecond), maxRetryAfter)
}

// overFairShare returns the holders, other than the asker, that have clearly more than their fair share or more than
// they need, each with its fair share.
func (a *coordinatorAccount) overFairShare(now time.Duration, asker uint64) map[uint64]Quota {
	allowed := a.unleased.quota
	for _, l := range a.leases {
		allowed = allowed.add(l.maxHeld(now))
	}
	askerBurst := max(a.leases[asker].current.Burst, Token)
	over := make(map[uint64]Quota)
	for n, l := range a.leases {
		if n == asker || l.maxHeld(now).IsZero() || now < l.nudgedAt+shortRetryAfter {
			continue
		}
		fair := a.fairShare(now, n, allowed)
		tolerance := toleranceAbove(fair)
		if askerBurst <= Token {
			tolerance = Quota{}
		}
		stale := !l.isWaiting(now) && now >= l.requestedAt+2*shortRetryAfter && l.current.Burst > 2*askerBurst
		if stale || !l.current.Fits(fair.add(tolerance)) {
			l.nudgedAt = now
			over[n] = fair
		}
	}
	return over
}

// longestWaiting returns the session that has waited longest, and how long until a token is ready for it; false if no
// session waits or no token will be ready.
func (a *coordinatorAccount) longestWaiting(now time.Duration, except uint64) (uint64, time.Duration, bool) {
	first, since := uint64(0), time.Duration(0)
	for n, l := range a.leases {
		if n == except || !l.isWaiting(now) {
			continue
		}
		if first == 0 || l.waitingSince < since || (l.waitingSince == since && n < first) {
			first, since = n, l.waitingSince
		}
	}
	if first == 0 {
		return 0, 0, false
	}
	d, ok := a.unleased.timeUntil(Token)
	return first, min(d, maxRetryAfter), ok
}
