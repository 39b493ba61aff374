package quota

import (
	"math"
	"time"
)

// AccountBucket is the token bucket of one client account at its coordinator, the one instance that counts the
// account's requests for the fleet. It is a plain state machine and not safe for concurrent use.
//
// While the bucket is well filled, other instances admit requests first and report them at once, so that no request
// waits for the coordinator. Once the level is low, they ask before they admit. The level may therefore fall below
// zero, by what was spent before the instances learned that it is low.
//
// When the coordinator of an account changes, the new coordinator does not know what was spent at the previous one.
// Instances report the level that they last received from the previous coordinator; each report is an upper bound of
// the level.
type AccountBucket struct {
	rate, burst       float64
	level             float64
	updatedAt         time.Time
	initialized       bool
	spentSinceReports float64   // requests spent since reportsSince
	reportsSince      time.Time // when the present series of reports of another coordinator began
}

// initialLevel is the fraction of the burst with which an account starts at a coordinator that has no report of its
// level.
const initialLevel = 0.5

// WindowLimit bounds how many requests of an account may run in any window of time: those that its rate and burst
// allow, increased by the overage, plus the slack.
type WindowLimit struct {
	// Length is the length of the window; 0 means that rate and burst apply exactly.
	Length time.Duration
	// Overage is the fraction by which rate and burst may be exceeded.
	Overage float64
	// Slack is the number of additional requests in a window.
	Slack float64
}

// coordinatorSlackFraction is the fraction of the slack that a coordinator hands out. The rest covers what instances
// spend before they learn that the level is low, and instances that can't reach the coordinator.
const coordinatorSlackFraction = 0.6

// Allowed returns the rate and burst of the largest token bucket that keeps within the limit.
func (w WindowLimit) Allowed(rate, burst float64) (r, b float64) {
	if w.Length <= 0 {
		return rate, burst
	}
	return rate*(1+w.Overage) + coordinatorSlackFraction*w.Slack/w.Length.Seconds(), burst * (1 + w.Overage)
}

// SetLimits sets the rate and burst in force of the account.
func (b *AccountBucket) SetLimits(now time.Time, rate, burst float64) {
	if !b.initialized {
		b.initialized, b.updatedAt, b.level = true, now, initialLevel*burst
		b.reportsSince = now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// refill adds the tokens that have accrued since the last update.
func (b *AccountBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate, b.burst)
		b.updatedAt = now
	}
}

// Spend subtracts the requests that were spent already, grants as many of the asked requests as there are tokens, and
// returns how full the bucket is.
func (b *AccountBucket) Spend(now time.Time, spent, asked int) BucketState {
	b.refill(now)
	b.level = max(b.level-float64(spent), -b.burst-maxDebt)
	granted := min(asked, int(max(b.level, 0)))
	b.level -= float64(granted)
	b.spentSinceReports += float64(spent + granted)
	s := BucketState{Granted: granted, Level: b.level / max(b.burst, 1)}
	if b.level < 1 && b.rate > 0 {
		s.NextMillis = int64((1 - b.level) / b.rate * 1000)
	}
	return s
}

// ApplyReport applies the level of the account that an instance last received from another coordinator.
func (b *AccountBucket) ApplyReport(now time.Time, k KnownLevel) {
	if now.Sub(b.reportsSince) > levelTTL {
		b.reportsSince, b.spentSinceReports = now, 0
	}
	age := min(time.Duration(k.AgeMillis)*time.Millisecond, levelTTL)
	b.level = min(b.level, k.Level*b.burst+age.Seconds()*b.rate-b.spentSinceReports)
}

// KnownLevel is the level of an account that an instance received from a coordinator.
type KnownLevel struct {
	// Level is how full the bucket was, as a fraction of the burst.
	Level float64 `json:"level"`
	// AgeMillis is how long ago the instance received this level, in milliseconds.
	AgeMillis int64 `json:"age"`
}

// maxDebt bounds how far below zero a level may fall beyond the burst, in requests.
const maxDebt = 50

// BucketState is the reply of a coordinator to a report of an instance.
type BucketState struct {
	// Granted is how many of the asked requests may run.
	Granted int `json:"granted,omitempty"`
	// Level is how full the bucket is, as a fraction of the burst; negative if more was spent than was available.
	Level float64 `json:"level"`
	// NextMillis is how long it takes until the next token is available, in milliseconds.
	NextMillis int64 `json:"next,omitempty"`
}

const (
	// spendFirstLevel is the level above which an instance admits requests before it reports them.
	spendFirstLevel = 0.4
	// levelTTL is how long a level is valid. After a longer pause of an account, its coordinator is asked first.
	levelTTL = 3 * time.Second
	// maxUnconfirmed bounds how many requests an instance admits before the coordinator has replied to its reports.
	maxUnconfirmed = 2
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
	coordinator    string // the coordinator that reported the level
	level          float64
	levelAt        time.Time
	unconfirmed    int // requests that were admitted and reported without a reply yet
	emptyUntil     time.Time
	onFallback     bool    // the coordinator can't be reached, since fallbackAt at the latest
	fallbackTokens float64 // left of the instance's own share
	unreported     int     // requests spent from the own share and not reported to the coordinator yet
	fallbackAt     time.Time
}

// Admit decides on one request. The flag reachable says whether the coordinator was reached recently; share is the
// instance's own share of the account, used while it was not; random is uniform in [0, 1). If the request is refused,
// after is how long until another one may succeed.
func (l *LocalLimiter) Admit(now time.Time, reachable bool, share FallbackShare, random float64) (d SpendDecision, after time.Duration) {
	if !reachable {
		l.refillFallback(now, share, random)
		if l.fallbackTokens >= 1 {
			l.fallbackTokens--
			l.unreported++
			return SpendFallback, 0
		}
		return Refuse, time.Duration((1 - l.fallbackTokens) / max(share.Rate, minFallbackRate) * float64(time.Second))
	}
	if now.Before(l.emptyUntil) {
		return Refuse, l.emptyUntil.Sub(now)
	}
	if now.Sub(l.levelAt) < levelTTL && l.level > spendFirstLevel && l.unconfirmed < maxUnconfirmed {
		l.unconfirmed++
		return SpendNow, 0
	}
	return AskCoordinator, 0
}

// FallbackShare is an instance's own share of an account's rate and burst, used while the coordinator can't be reached.
type FallbackShare struct{ Rate, Burst float64 }

// minFallbackRate keeps waits finite, in requests per second.
const minFallbackRate = 0.01

// refillFallback refills the instance's own share while the coordinator can't be reached. Of the tokens that the bucket
// held at the last known level, the next coordinator starts with one half, and the instances get the other half, each
// by its share. An instance's part of a token is rounded at random, so that as many instances get a whole token as the
// parts add up to. An instance that never received a level starts without tokens.
func (l *LocalLimiter) refillFallback(now time.Time, share FallbackShare, random float64) {
	if !l.onFallback {
		l.onFallback = true
		l.fallbackTokens = math.Floor((1-initialLevel)*max(l.level, 0)*share.Burst + random)
	} else {
		l.fallbackTokens += now.Sub(l.fallbackAt).Seconds() * share.Rate
	}
	l.fallbackTokens = min(l.fallbackTokens, max(share.Burst, 1))
	l.fallbackAt = now
}

// HandleReply applies the reply of a coordinator to a report of so many spent requests.
func (l *LocalLimiter) HandleReply(now time.Time, coordinator string, spent int, s BucketState) {
	l.unconfirmed = max(l.unconfirmed-spent, 0)
	l.coordinator, l.level, l.levelAt = coordinator, s.Level, now
	l.onFallback = false
	if s.NextMillis > 0 && s.Level <= 0 {
		l.emptyUntil = now.Add(time.Duration(s.NextMillis) * time.Millisecond)
	}
}

// LevelFromOtherCoordinator returns the level that was last received from a coordinator other than the given one; false
// if there is none, or if it is too old to matter.
func (l *LocalLimiter) LevelFromOtherCoordinator(now time.Time, coordinator string) (KnownLevel, bool) {
	age := now.Sub(l.levelAt)
	if l.coordinator == coordinator || l.levelAt.IsZero() || age > levelTTL {
		return KnownLevel{}, false
	}
	return KnownLevel{Level: l.level, AgeMillis: age.Milliseconds()}, true
}

// CoordinatorChanged reports whether the account moved to this coordinator from another one, as far as this instance
// knows. An instance that never received a level but has spent requests from its own share can't know, and assumes that
// it did.
func (l *LocalLimiter) CoordinatorChanged(now time.Time, coordinator string) bool {
	if l.coordinator == coordinator {
		return false
	}
	_, known := l.LevelFromOtherCoordinator(now, coordinator)
	return known || l.unreported > 0
}

// TakeUnreported returns how many requests were spent while the coordinator could not be reached, and clears that
// count. They must then be reported to the coordinator.
func (l *LocalLimiter) TakeUnreported() int {
	n := l.unreported
	l.unreported = 0
	return n
}

// RestoreUnreported adds back requests that TakeUnreported returned and whose report did not reach the coordinator.
func (l *LocalLimiter) RestoreUnreported(n int) { l.unreported += n }

// HandleFailure records that the coordinator did not reply to a report of so many spent requests, so it may not know of
// them.
func (l *LocalLimiter) HandleFailure(spent int) { l.unconfirmed = max(l.unconfirmed-spent, 0) }
