package quota

import "time"

const (
	// coordinatorTTL is how long after its last reply a coordinator counts as the one that an account moves from.
	coordinatorTTL = 3 * time.Second
	// fallbackDelay is how long the coordinator must have been out of reach before an instance spends its own share of the
	// rate, unless another instance can't reach it either. Until then the coordinator may hand out all of the rate to others:
	// it withholds the share of an instance that it suspects, and may take three of the membership's rounds to do so.
	fallbackDelay = 3 * time.Second
)

// SpendDecision is the decision of a LocalLimiter on a request.
type SpendDecision int

// The decisions on a request.
const (
	// SpendNow admits the request, which is then reported to the coordinator.
	SpendNow SpendDecision = iota
	// AskCoordinator leaves the decision to the coordinator.
	AskCoordinator
	// SpendFallback admits the request from the instance's own share, while the coordinator can't be reached.
	SpendFallback
	// Refuse refuses the request.
	Refuse
)

// LocalLimiter decides on the requests of one account at one instance, by what the instance knows of the AccountBucket.
// It is a plain state machine and not safe for concurrent use.
type LocalLimiter struct {
	coordinator    string // the coordinator that replied last, at repliedAt
	repliedAt      time.Time
	reserved       int // requests that the coordinator has reserved and that were not admitted yet
	emptyUntil     time.Time
	onFallback     bool      // the coordinator can't be reached
	lossConfirmed  bool      // another instance can't reach it either
	failedAt       time.Time // when the last call to it failed
	fallbackTokens float64   // left of the instance's own share of the rate
	fallbackAt     time.Time // up to when that share was added
	unreported     int       // requests that were spent and that the coordinator may not know of
	initialTokens  int       // left of FallbackShare.Initial
	fallbackUsedAt time.Time // when a request was admitted from the instance's own share last
	askedAgain     float64   // requests that asked again, less what the requests since have earned
}

const (
	// maxAskedAgain is how many requests of an account may ask again one after the other, and askAgainPerRequest what each
	// request earns. An account that stays above its rate so costs its coordinator little more than a call a request.
	maxAskedAgain      = 3
	askAgainPerRequest = 0.1
)

// TakeAskAgain reports whether a request that was refused may ask the coordinator again, and counts it.
func (l *LocalLimiter) TakeAskAgain() bool {
	if l.askedAgain > maxAskedAgain-1 {
		return false
	}
	l.askedAgain++
	return true
}

// Admit decides on one request. The flag reachable says whether the coordinator was reached recently; share is the
// instance's own share of the account, used while it was not. If the request is refused, after is how long until another
// one may succeed.
func (l *LocalLimiter) Admit(now time.Time, reachable bool, share FallbackShare) (d SpendDecision, after time.Duration) {
	l.askedAgain = max(l.askedAgain-askAgainPerRequest, 0)
	if l.takeReserved(now) {
		if reachable {
			return SpendNow, 0
		}
		l.unreported++
		return SpendFallback, 0
	}
	if !reachable {
		l.refillFallback(now, share)
		if l.takeFallback(now) {
			return SpendFallback, 0
		}
		refill := time.Duration((1 - l.fallbackTokens) / max(share.Rate, minFallbackRate) * float64(time.Second))
		return Refuse, max(l.fallbackAt.Sub(now), 0) + refill
	}
	if now.Before(l.emptyUntil) {
		return Refuse, l.emptyUntil.Sub(now)
	}
	return AskCoordinator, 0
}

// takeReserved takes one request of the reservation, and reports whether there was one.
func (l *LocalLimiter) takeReserved(now time.Time) bool {
	if l.Held(now) == 0 {
		return false
	}
	l.reserved--
	return true
}

// takeFallback takes one request of the instance's own share, and reports whether there was one.
func (l *LocalLimiter) takeFallback(now time.Time) bool {
	switch {
	case l.initialTokens > 0:
		l.initialTokens-- // no coordinator hands these out, so none has to learn of it
	case l.fallbackTokens >= 1:
		l.fallbackTokens--
		l.unreported++
	default:
		return false
	}
	l.fallbackUsedAt = now
	return true
}

// Held returns how many requests the coordinator has reserved for this instance that it has not admitted yet. A reservation
// expires by the steady clock and by the time of day, which goes on while a machine is suspended.
func (l *LocalLimiter) Held(now time.Time) int {
	byTimeOfDay := now.Round(0).Sub(l.repliedAt.Round(0))
	if now.Sub(l.repliedAt) >= reservationTTL || byTimeOfDay >= reservationTTL || byTimeOfDay < 0 {
		l.reserved = 0
	}
	return l.reserved
}

// FallbackShare is what an instance may spend of an account by itself while the coordinator can't be reached.
type FallbackShare struct {
	// Rate and Burst are its share of the account's rate and burst.
	Rate, Burst float64
	// Initial is its share of the requests that any window of time may have beyond those that the coordinator hands out, and
	// Window the length of that window.
	Initial int
	Window  time.Duration
	// Offset is the part of a request, below 1, with which the share begins. It differs between the instances, so that not
	// all of them complete a request of their share at the same time.
	Offset float64
}

// minFallbackRate keeps waits finite, in requests per second.
const minFallbackRate = 0.01

// refillFallback refills the instance's own share while the coordinator can't be reached. What the coordinator handed out
// until then may have been all that it had, and others may still reach it: the instances start with what a window may have
// beyond that, once in a window, and add their shares of the rate later. Unless another instance can't reach the coordinator
// either, only what accrued up to the last failed call is added. An instance that has never reached a coordinator may have
// started anew, and starts without.
func (l *LocalLimiter) refillFallback(now time.Time, share FallbackShare) {
	if !l.onFallback {
		l.onFallback, l.lossConfirmed = true, false
		l.fallbackTokens, l.fallbackAt = 0, now.Add(fallbackDelay)
		if l.coordinator != "" && (l.fallbackUsedAt.IsZero() || now.Sub(l.fallbackUsedAt) >= share.Window) {
			l.initialTokens, l.fallbackTokens = share.Initial, share.Offset
		}
	}
	until := l.failedAt
	if l.lossConfirmed {
		until = now
	}
	if elapsed := until.Sub(l.fallbackAt).Seconds(); elapsed > 0 {
		l.fallbackTokens = min(l.fallbackTokens+elapsed*share.Rate, max(share.Burst, 1))
		l.fallbackAt = until
	}
}

// HandleReply applies the reply of a coordinator to a report.
func (l *LocalLimiter) HandleReply(now time.Time, coordinator string, s BucketState) {
	l.reserved = l.Held(now) + s.Reserved
	l.coordinator, l.repliedAt = coordinator, now
	l.onFallback = false
	if s.NextMillis > 0 && s.Level <= 0 {
		l.emptyUntil = now.Add(time.Duration(s.NextMillis) * time.Millisecond)
	}
}

// ConfirmLoss records that another instance can't reach the coordinator either: it no longer hands out the rate.
func (l *LocalLimiter) ConfirmLoss(now time.Time) {
	l.lossConfirmed = true
	if l.fallbackAt.After(now) {
		l.fallbackAt = now
	}
}

// CoordinatorChanged reports whether the account moved to this coordinator from another one, as far as this instance
// knows. An instance that never received a level but has spent requests from its own share can't know, and assumes that
// it did.
func (l *LocalLimiter) CoordinatorChanged(now time.Time, coordinator string) bool {
	if l.coordinator == coordinator {
		return false
	}
	return l.coordinator != "" && now.Sub(l.repliedAt) <= coordinatorTTL || l.unreported > 0
}

// TakeUnreported returns how many requests were spent that the coordinator may not know of, and clears that count. They
// must then be reported to the coordinator.
func (l *LocalLimiter) TakeUnreported() int {
	n := l.unreported
	l.unreported = 0
	return n
}

// HandleFailure records that the coordinator did not reply to a report of so many spent requests. They are reported once
// more, even if it counts some of them twice. From now on the instance uses its own share.
func (l *LocalLimiter) HandleFailure(now time.Time, spent int, share FallbackShare) {
	l.unreported += spent
	l.failedAt, l.lossConfirmed = now, false
	l.refillFallback(now, share)
}
