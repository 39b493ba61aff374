package contract

import "time"

// homeAccount is the part of one account at its home.
type homeAccount struct {
	total    Quota // the account's as the home knows it
	unleased bucket
	leases   map[uint64]*grantedLease // by session
}

// grantedLease is what one holder may have, and what it lately needed.
type grantedLease struct {
	current Quota // granted with the last reply
	expires time.Duration
	// previous may still be in use if the last reply was lost.
	previous        Quota
	previousExpires time.Duration
	demand          Tokens
	wanted          Tokens
	requestedAt     time.Duration
	waitingSince    time.Duration
	nudgedAt        time.Duration
}

// maxHeld returns the most that the holder may have.
func (l *grantedLease) maxHeld(now time.Duration) Quota {
	var s Quota
	if now < l.expires {
		s = l.current
	}
	if now < l.previousExpires {
		s = s.max(l.previous)
	}
	return s
}

func (l *grantedLease) isWaiting(now time.Duration) bool {
	return l.wanted > 0 && now < l.requestedAt+waiterTTL
}

// rebalance drops lapsed leases and gives the home's own bucket what is not handed out.
func (a *homeAccount) rebalance(now time.Duration, allowed Quota) {
	rest := allowed
	for n, l := range a.leases {
		if now >= l.expires && now >= l.previousExpires && now >= l.requestedAt+demandTTL {
			delete(a.leases, n)
			continue
		}
		rest = rest.sub(l.maxHeld(now))
	}
	a.unleased.resize(now, rest)
}

// reclaim lowers a lease to what its holder states; it reports whether something came back.
func (a *homeAccount) reclaim(now time.Duration, number uint64, line AccountRequest) bool {
	l := a.leases[number]
	possible := l.maxHeld(now)
	l.current = line.Held.min(possible)
	l.previous, l.previousExpires = Quota{}, 0
	l.wanted = line.Want
	return l.current != possible || line.Returned > 0
}

// grant decides on one line. The lease is replaced as a whole; until the holder states that it came down,
// the home counts with the larger of the old and the new one, part by part.
func (a *homeAccount) grant(now, lapse time.Duration, number uint64, line AccountRequest, allowed Quota) Grant {
	l := a.leases[number]
	if l == nil {
		l = &grantedLease{waitingSince: now}
		a.leases[number] = l
	}
	l.demand, l.wanted, l.requestedAt = line.Demand, line.Want, now
	held := l.maxHeld(now)
	var target Quota
	if line.Total == a.total {
		target = a.target(now, number, line, held, allowed)
	}
	l.previous, l.previousExpires = held, l.expires
	l.current, l.expires = target, now+lapse
	level := a.unleased.level
	a.rebalance(now, allowed)
	g := Grant{Account: line.Account, Total: line.Total, Quota: target}
	g.Level = tokensToTransfer(line, held, target, level, a.unleased.quota)
	a.unleased.level = min(level-g.Level, a.unleased.quota.Burst)
	l.wanted = max(line.Want-g.Level, 0)
	if l.wanted == 0 {
		l.waitingSince = now
		return g
	}
	g.After = defaultRetryAfter
	if target.Rate == 0 && line.Total == a.total {
		g.After = a.retryAfter(now, number)
	}
	return g
}

// target is the lease that the holder shall have: all that is free where it alone waits, otherwise its part by
// demand where it uses a rate, and single tokens beside it. It is lowered only where others wait, or where the home
// has to come down.
func (a *homeAccount) target(now time.Duration, number uint64, line AccountRequest, held, allowed Quota) Quota {
	room := allowed
	for n, l := range a.leases {
		if n != number {
			room = room.sub(l.maxHeld(now))
		}
	}
	contended := a.contended(now, number)
	fair := a.fairShare(now, number, allowed)
	target := held.min(room)
	switch {
	case !contended && line.Want > 0 && line.Demand >= rateLeaseDemand:
		return room
	case line.Demand < rateLeaseDemand || fair.Burst < Token:
		keeps := line.Demand >= rateLeaseDemand && held.Fits(fair.add(toleranceAbove(fair)))
		if contended && !keeps {
			target = Quota{Burst: min(target.Burst, max(fair.Burst, line.Want))}
		}
	case !contended || held.Rate == 0:
		target = fair.max(held).min(room)
	case !held.Fits(fair.add(toleranceAbove(fair))):
		target = fair.min(room)
	}
	grown := max(target.Burst-held.Burst, 0)
	tokens := min(line.Want, a.unleased.level, room.Burst-held.Burst) - grown
	target.Burst += max(tokens-tokens%Token, 0)
	return target.min(room)
}

// toleranceAbove is by how much a holder may have more than its fair part before anything is taken from it, so that small
// changes of demand cost no messages.
func toleranceAbove(fair Quota) Quota {
	return Quota{Rate: fair.Rate / 2, Burst: max(fair.Burst/4, Token)}
}

// fairShare is the part of the holder by its demand, the burst in whole tokens.
func (a *homeAccount) fairShare(now time.Duration, number uint64, allowed Quota) Quota {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.requestedAt+demandTTL {
			sum += l.demand
		}
	}
	return allowed.scale(a.leases[number].demand, sum)
}

// contended reports whether a holder other than the one of session number waits for tokens.
func (a *homeAccount) contended(now time.Duration, number uint64) bool {
	for n, l := range a.leases {
		if n != number && l.isWaiting(now) {
			return true
		}
	}
	return false
}

// tokensToTransfer is how many of the saved tokens go along with a lease that changes from held to target and leaves rest.
// They are never more than the burst that goes along: until the reply arrives, the holder fills up what it held.
func tokensToTransfer(line AccountRequest, held, target Quota, level Tokens, rest Quota) Tokens {
	grown := target.Burst - held.Burst
	if grown <= 0 || level <= 0 {
		return 0
	}
	if target.Rate == 0 {
		return min(grown, level)
	}
	part := mulDiv(level, grown, rest.Burst+grown)
	return min(max(part, min(line.Want, grown)), level)
}

// retryAfter is when the turn of a waiting holder for the home's own tokens comes.
func (a *homeAccount) retryAfter(now time.Duration, number uint64) time.Duration {
	turn := Token
	since := a.leases[number].waitingSince
	for n, other := range a.leases {
		if n != number && !other.isWaiting(now) && other.maxHeld(now).Burst > 0 {
			return shortRetryAfter // that one is called
		}
		if n != number && other.isWaiting(now) && other.waitingSince < since {
			turn += Token
		}
	}
	if a.unleased.quota.Rate == 0 || a.unleased.quota.Burst < Token || a.unleased.level >= turn {
		return shortRetryAfter
	}
	d := time.Duration(mulDiv(turn-a.unleased.level, Tokens(time.Second), a.unleased.quota.Rate))
	return min(max(d+d>>(driftShift-2), time.Millisecond), maxRetryAfter)
}

// overFairShare returns the holders other than the asker that have clearly more than their fair part, or more than they
// need, with their fair part.
func (a *homeAccount) overFairShare(now time.Duration, asker uint64) map[uint64]Quota {
	allowed := a.unleased.quota
	for _, l := range a.leases {
		allowed = allowed.add(l.maxHeld(now))
	}
	has := max(a.leases[asker].current.Burst, Token)
	out := make(map[uint64]Quota)
	for n, l := range a.leases {
		if n == asker || l.maxHeld(now).IsZero() || now < l.nudgedAt+shortRetryAfter {
			continue
		}
		fair := a.fairShare(now, n, allowed)
		slack := toleranceAbove(fair)
		if has <= Token {
			slack = Quota{}
		}
		stale := !l.isWaiting(now) && now >= l.requestedAt+2*shortRetryAfter && l.current.Burst > 2*has
		if stale || !l.current.Fits(fair.add(slack)) {
			l.nudgedAt = now
			out[n] = fair
		}
	}
	return out
}

// longestWaiting returns the session that has waited longest, and when its turn comes.
func (a *homeAccount) longestWaiting(now time.Duration, except uint64) (uint64, time.Duration, bool) {
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
