package contract

import (
	"math"
	"time"
)

// AccountBucket is the token bucket of one client account at its home, the one instance that counts for the fleet. It is a plain
// state machine and not safe for concurrent use.
//
// Other instances spend first and tell at once while the pool is well filled, so that a request waits for nobody; once it
// is low they ask before they spend. The level may therefore fall below zero, by what was spent while the news was on its way.
//
// When the home of an account changes, the new one does not know what was spent at the one before it. Instances tell the level
// that they heard last from the other home; each such report bounds the level from above.
type AccountBucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	started     bool
	spent       float64   // since spentFrom
	spentFrom   time.Time // when the present row of reports of another home began
}

// newHomeLevel is the share of the burst with which an account starts at a home where nobody knows its level.
const newHomeLevel = 0.5

// WindowLimit is the bound on what an account may get in any window of time: its rate and burst, more by the overage and the slack.
type WindowLimit struct {
	// Length is the length of the window.
	Length time.Duration
	// Overage is the share by which rate and burst may be exceeded.
	Overage float64
	// Slack is the number of requests beyond that.
	Slack float64
}

// slackUsed is the share of the slack that a home hands out. The rest is for what instances spend before their home has told
// them that the pool is low, and for those that can't reach it.
const slackUsed = 0.6

// Allowed returns the rate and burst of the largest token bucket that keeps the bound.
func (w WindowLimit) Allowed(rate, burst float64) (r, b float64) {
	if w.Length <= 0 {
		return rate, burst
	}
	return rate*(1+w.Overage) + slackUsed*w.Slack/w.Length.Seconds(), burst * (1 + w.Overage)
}

// SetLimits takes over the account's rate and burst in force.
func (p *AccountBucket) SetLimits(now time.Time, rate, burst float64) {
	if !p.started {
		p.started, p.at, p.level = true, now, newHomeLevel*burst
		p.spentFrom = now
	}
	p.refill(now)
	p.rate, p.burst = rate, burst
	p.level = min(p.level, burst)
}

func (p *AccountBucket) refill(now time.Time) {
	if passed := now.Sub(p.at).Seconds(); passed > 0 {
		p.level = min(p.level+passed*p.rate, p.burst)
		p.at = now
	}
}

// Spend notes what was spent already, grants what is asked as far as there are tokens, and tells how full the pool is.
func (p *AccountBucket) Spend(now time.Time, spent, asked int) BucketState {
	p.refill(now)
	p.level = max(p.level-float64(spent), -p.burst-debtMost)
	granted := min(asked, int(max(p.level, 0)))
	p.level -= float64(granted)
	p.spent += float64(spent + granted)
	s := BucketState{Granted: granted, Level: p.level / max(p.burst, 1)}
	if p.level < 1 && p.rate > 0 {
		s.NextMillis = int64((1 - p.level) / p.rate * 1000)
	}
	return s
}

// ApplyReport takes over what an instance last knew of the account's level from another home.
func (p *AccountBucket) ApplyReport(now time.Time, k KnownLevel) {
	if now.Sub(p.spentFrom) > stateAge {
		p.spentFrom, p.spent = now, 0
	}
	age := min(time.Duration(k.AgeMillis)*time.Millisecond, stateAge)
	p.level = min(p.level, k.Level*p.burst+age.Seconds()*p.rate-p.spent)
}

// KnownLevel is the level of an account as an instance heard it from a home.
type KnownLevel struct {
	// Level is how full the pool was, up to 1.
	Level float64 `json:"level"`
	// AgeMillis is how long ago that was, in milliseconds.
	AgeMillis int64 `json:"age"`
}

// debtMost bounds how far beyond the burst a pool may go below zero, in requests.
const debtMost = 50

// BucketState is the answer of a home.
type BucketState struct {
	// Granted is how many of the asked requests may go.
	Granted int `json:"granted,omitempty"`
	// Level is how full the pool is, up to 1; below 0 more was spent than there was.
	Level float64 `json:"level"`
	// NextMillis is when the next token is there, in milliseconds.
	NextMillis int64 `json:"next,omitempty"`
}

const (
	// freelyAbove is the level above which an instance spends first and tells then.
	freelyAbove = 0.4
	// stateAge is how long a told level holds. An account that was quiet for longer is asked for first.
	stateAge = 3 * time.Second
	// untoldMost bounds what an instance spends before its home has answered.
	untoldMost = 2
)

// SpendDecision is what a Purse decides.
type SpendDecision int

// The verdicts.
const (
	// SpendNow lets the request go; its home is told.
	SpendNow SpendDecision = iota
	// AskCoordinator lets the home decide.
	AskCoordinator
	// SpendFallback lets the request go on the instance's own part, while the home can't be reached.
	SpendFallback
	// Refuse refuses the request.
	Refuse
)

// LocalLimiter is what one instance knows of one account's pool. It is a plain state machine and not safe for concurrent use.
type LocalLimiter struct {
	home     string // that told the level
	level    float64
	toldAt   time.Time
	untold   int
	noneTill time.Time
	alone    bool    // the home can't be reached, since ownAt at the latest
	own      float64 // tokens of the instance's own part
	owed     int     // spent of the own part, and not told to the home yet
	ownAt    time.Time
}

// Admit decides on one request. Reachable tells whether the home was reached of late, share is the instance's part of the
// account while it is not; random is uniform from 0 to below 1.
func (p *LocalLimiter) Admit(now time.Time, reachable bool, share FallbackShare, random float64) (v SpendDecision, after time.Duration) {
	if !reachable {
		p.earn(now, share, random)
		if p.own >= 1 {
			p.own--
			p.owed++
			return SpendFallback, 0
		}
		return Refuse, time.Duration((1 - p.own) / max(share.Rate, leastShare) * float64(time.Second))
	}
	if now.Before(p.noneTill) {
		return Refuse, p.noneTill.Sub(now)
	}
	if now.Sub(p.toldAt) < stateAge && p.level > freelyAbove && p.untold < untoldMost {
		p.untold++
		return SpendNow, 0
	}
	return AskCoordinator, 0
}

// FallbackShare is an instance's part of an account's rate and burst.
type FallbackShare struct{ Rate, Burst float64 }

// leastShare keeps waits finite, in requests per second.
const leastShare = 0.01

// earn fills the own part while the home can't be reached. Of what the pool held when its level was last told, the next home
// begins with one half and the instances have the other, each its part; a part below one token is a whole one for as many of
// them. An instance that was never told a level begins with nothing.
func (p *LocalLimiter) earn(now time.Time, share FallbackShare, random float64) {
	if !p.alone {
		p.alone = true
		p.own = math.Floor((1-newHomeLevel)*max(p.level, 0)*share.Burst + random)
	} else {
		p.own += now.Sub(p.ownAt).Seconds() * share.Rate
	}
	p.own = min(p.own, max(share.Burst, 1))
	p.ownAt = now
}

// HandleReply takes over a home's answer to what was spent before.
func (p *LocalLimiter) HandleReply(now time.Time, home string, spent int, s BucketState) {
	p.untold = max(p.untold-spent, 0)
	p.home, p.level, p.toldAt = home, s.Level, now
	p.alone = false
	if s.NextMillis > 0 && s.Level <= 0 {
		p.noneTill = now.Add(time.Duration(s.NextMillis) * time.Millisecond)
	}
}

// LevelFromOtherCoordinator returns what was last heard from another home than this one; false if nothing was, or too long ago to matter.
func (p *LocalLimiter) LevelFromOtherCoordinator(now time.Time, home string) (KnownLevel, bool) {
	age := now.Sub(p.toldAt)
	if p.home == home || p.toldAt.IsZero() || age > stateAge {
		return KnownLevel{}, false
	}
	return KnownLevel{Level: p.level, AgeMillis: age.Milliseconds()}, true
}

// CoordinatorChanged tells whether the account came to this home from another one, as far as this instance knows. One that was never told a
// level and has spent of its own part can't know.
func (p *LocalLimiter) CoordinatorChanged(now time.Time, home string) bool {
	if p.home == home {
		return false
	}
	_, known := p.LevelFromOtherCoordinator(now, home)
	return known || p.owed > 0
}

// TakeUnreported returns what was spent while the home could not be reached, to be told to it now.
func (p *LocalLimiter) TakeUnreported() int {
	n := p.owed
	p.owed = 0
	return n
}

// RestoreUnreported takes back what TakeOwed returned and the home did not hear.
func (p *LocalLimiter) RestoreUnreported(n int) { p.owed += n }

// HandleFailure notes that the home did not answer: what was spent may not be known there.
func (p *LocalLimiter) HandleFailure(spent int) { p.untold = max(p.untold-spent, 0) }
