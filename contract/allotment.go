package contract

import "time"

// homeAccount is the part of one account at its home.
type homeAccount struct {
	whole  Quota // the account's as the home knows it
	rest   bucket
	leases map[uint64]*homeLease // by session
}

// homeLease is what one holder may have, and what it lately needed.
type homeLease struct {
	now   Quota // granted with the last reply
	until time.Duration
	// before may still be in use if the last reply was lost.
	before      Quota
	beforeUntil time.Duration
	demand      Tokens
	wants       Tokens
	wantedAt    time.Duration
	waitsSince  time.Duration
	nudgedAt    time.Duration
}

// possible returns the most that the holder may have.
func (l *homeLease) possible(now time.Duration) Quota {
	var s Quota
	if now < l.until {
		s = l.now
	}
	if now < l.beforeUntil {
		s = s.max(l.before)
	}
	return s
}

func (l *homeLease) waits(now time.Duration) bool {
	return l.wants > 0 && now < l.wantedAt+waiterLife
}

// settle drops lapsed leases and gives the home's own bucket what is not handed out.
func (a *homeAccount) settle(now time.Duration, allowed Quota) {
	rest := allowed
	for n, l := range a.leases {
		if now >= l.until && now >= l.beforeUntil && now >= l.wantedAt+demandLife {
			delete(a.leases, n)
			continue
		}
		rest = rest.minus(l.possible(now))
	}
	a.rest.resize(now, rest)
}

// takeBack lowers a lease to what its holder states; it reports whether something came back.
func (a *homeAccount) takeBack(now time.Duration, number uint64, line AccountRequest) bool {
	l := a.leases[number]
	possible := l.possible(now)
	l.now = line.Held.min(possible)
	l.before, l.beforeUntil = Quota{}, 0
	l.wants = line.Want
	return l.now != possible || line.Returned > 0
}

// grant decides on one line. The lease is replaced as a whole; until the holder states that it came down,
// the home counts with the larger of the old and the new one, part by part.
func (a *homeAccount) grant(now, lapse time.Duration, number uint64, line AccountRequest, allowed Quota) Grant {
	l := a.leases[number]
	if l == nil {
		l = &homeLease{waitsSince: now}
		a.leases[number] = l
	}
	l.demand, l.wants, l.wantedAt = line.Demand, line.Want, now
	held := l.possible(now)
	var target Quota
	if line.Total == a.whole {
		target = a.target(now, number, line, held, allowed)
	}
	l.before, l.beforeUntil = held, l.until
	l.now, l.until = target, now+lapse
	level := a.rest.level
	a.settle(now, allowed)
	g := Grant{Account: line.Account, Total: line.Total, Quota: target}
	g.Level = levelFor(line, held, target, level, a.rest.share)
	a.rest.level = min(level-g.Level, a.rest.share.Burst)
	l.wants = max(line.Want-g.Level, 0)
	if l.wants == 0 {
		l.waitsSince = now
		return g
	}
	g.After = againAfter
	if target.Rate == 0 && line.Total == a.whole {
		g.After = a.after(now, number)
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
			room = room.minus(l.possible(now))
		}
	}
	contended := a.contended(now, number)
	fair := a.fair(now, number, allowed)
	target := held.min(room)
	switch {
	case !contended && line.Want > 0 && line.Demand >= leaseDemand:
		return room
	case line.Demand < leaseDemand || fair.Burst < Token:
		keeps := line.Demand >= leaseDemand && held.Fits(fair.add(slackOf(fair)))
		if contended && !keeps {
			target = Quota{Burst: min(target.Burst, max(fair.Burst, line.Want))}
		}
	case !contended || held.Rate == 0:
		target = fair.max(held).min(room)
	case !held.Fits(fair.add(slackOf(fair))):
		target = fair.min(room)
	}
	grown := max(target.Burst-held.Burst, 0)
	tokens := min(line.Want, a.rest.level, room.Burst-held.Burst) - grown
	target.Burst += max(tokens-tokens%Token, 0)
	return target.min(room)
}

// slackOf is by how much a holder may have more than its fair part before anything is taken from it, so that small
// changes of demand cost no messages.
func slackOf(fair Quota) Quota { return Quota{Rate: fair.Rate / 2, Burst: max(fair.Burst/4, Token)} }

// fair is the part of the holder by its demand, the burst in whole tokens.
func (a *homeAccount) fair(now time.Duration, number uint64, allowed Quota) Quota {
	var sum Tokens
	for _, l := range a.leases {
		if now < l.wantedAt+demandLife {
			sum += l.demand
		}
	}
	return allowed.scale(a.leases[number].demand, sum)
}

// contended reports whether a holder other than the one of session number waits for tokens.
func (a *homeAccount) contended(now time.Duration, number uint64) bool {
	for n, l := range a.leases {
		if n != number && l.waits(now) {
			return true
		}
	}
	return false
}

// levelFor is how many of the saved tokens go along with a lease that changes from held to target and leaves rest.
// They are never more than the burst that goes along: until the reply arrives, the holder fills up what it held.
func levelFor(line AccountRequest, held, target Quota, level Tokens, rest Quota) Tokens {
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

// after is when the turn of a waiting holder for the home's own tokens comes.
func (a *homeAccount) after(now time.Duration, number uint64) time.Duration {
	turn := Token
	since := a.leases[number].waitsSince
	for n, other := range a.leases {
		if n != number && !other.waits(now) && other.possible(now).Burst > 0 {
			return soonAfter // that one is called
		}
		if n != number && other.waits(now) && other.waitsSince < since {
			turn += Token
		}
	}
	if a.rest.share.Rate == 0 || a.rest.share.Burst < Token || a.rest.level >= turn {
		return soonAfter
	}
	d := time.Duration(mulDiv(turn-a.rest.level, Tokens(time.Second), a.rest.share.Rate))
	return min(max(d+d>>(driftShift-2), time.Millisecond), longestAfter)
}

// excess returns the holders other than the asker that have clearly more than their fair part, or more than they
// need, with their fair part.
func (a *homeAccount) excess(now time.Duration, asker uint64) map[uint64]Quota {
	allowed := a.rest.share
	for _, l := range a.leases {
		allowed = allowed.add(l.possible(now))
	}
	has := max(a.leases[asker].now.Burst, Token)
	out := make(map[uint64]Quota)
	for n, l := range a.leases {
		if n == asker || l.possible(now).IsZero() || now < l.nudgedAt+soonAfter {
			continue
		}
		fair := a.fair(now, n, allowed)
		slack := slackOf(fair)
		if has <= Token {
			slack = Quota{}
		}
		stale := !l.waits(now) && now >= l.wantedAt+2*soonAfter && l.now.Burst > 2*has
		if stale || !l.now.Fits(fair.add(slack)) {
			l.nudgedAt = now
			out[n] = fair
		}
	}
	return out
}

// firstWaiting returns the session that has waited longest, and when its turn comes.
func (a *homeAccount) firstWaiting(now time.Duration, except uint64) (uint64, time.Duration, bool) {
	first, since := uint64(0), time.Duration(0)
	for n, l := range a.leases {
		if n == except || !l.waits(now) {
			continue
		}
		if first == 0 || l.waitsSince < since || (l.waitsSince == since && n < first) {
			first, since = n, l.waitsSince
		}
	}
	if first == 0 {
		return 0, 0, false
	}
	d, ok := a.rest.ready(Token)
	return first, min(d, longestAfter), ok
}
