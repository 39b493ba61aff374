package contract

import (
	"math/bits"
	"time"
)

// Tokens counts permissions to run requests in billionths, so that every sum is exact.
type Tokens int64

// Token is the permission to run one request.
const Token Tokens = 1_000_000_000

// driftShift bounds clocks: each runs within one part in 2^11 of true time.
const driftShift = 11

// Quota is a part of a client account's rate and burst.
type Quota struct {
	// Rate is in tokens per second.
	Rate Tokens `json:"r,omitempty"`
	// Burst is the most that may be saved up.
	Burst Tokens `json:"b,omitempty"`
}

// QuotaOf returns the whole rate and burst of an account.
func QuotaOf(a *Account) Quota {
	return Quota{Rate: Tokens(a.Rate * float64(Token)), Burst: Tokens(a.Burst) * Token}
}

// IsZero reports whether the share allows nothing.
func (s Quota) IsZero() bool { return s.Rate == 0 && s.Burst == 0 }

// Fits reports whether s is at most o in both parts.
func (s Quota) Fits(o Quota) bool { return s.Rate <= o.Rate && s.Burst <= o.Burst }

func (s Quota) add(o Quota) Quota { return Quota{s.Rate + o.Rate, s.Burst + o.Burst} }

// minus subtracts; neither part falls below zero.
func (s Quota) minus(o Quota) Quota {
	return Quota{max(s.Rate-o.Rate, 0), max(s.Burst-o.Burst, 0)}
}

func (s Quota) min(o Quota) Quota { return Quota{min(s.Rate, o.Rate), min(s.Burst, o.Burst)} }
func (s Quota) max(o Quota) Quota { return Quota{max(s.Rate, o.Rate), max(s.Burst, o.Burst)} }

// scale returns the part num/den of s; the burst in whole tokens.
func (s Quota) scale(num, den Tokens) Quota {
	if den <= 0 || num >= den {
		return s
	}
	burst := mulDiv(s.Burst, num, den)
	return Quota{Rate: mulDiv(s.Rate, num, den), Burst: burst - burst%Token}
}

// mulDiv returns a*b/c rounded down, or the largest value where that is too large. None is negative.
func mulDiv(a, b, c Tokens) Tokens {
	const largest = Tokens(1<<63 - 1)
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return largest
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return Tokens(min(q, uint64(largest)))
}

// bucket is a token bucket: it fills at the rate of its share up to the burst.
type bucket struct {
	share Quota
	level Tokens
	at    time.Duration // when level was right
}

// refill brings the level up to now. It counts less than the own clock shows, so that a clock which runs fast
// within its bound adds nothing.
func (b *bucket) refill(now time.Duration) {
	passed := now - b.at
	if passed <= 0 {
		return
	}
	gain := mulDiv(b.share.Rate, Tokens(passed-passed>>(driftShift-1)), Tokens(time.Second))
	if gain == 0 && b.share.Rate > 0 {
		return
	}
	b.level = min(b.level+min(gain, b.share.Burst), b.share.Burst)
	b.at = now
}

// resize changes the share from now on and returns the level that no longer fits.
func (b *bucket) resize(now time.Duration, s Quota) Tokens {
	b.refill(now)
	b.at = max(b.at, now)
	b.share = s
	excess := max(b.level-s.Burst, 0)
	b.level -= excess
	return excess
}

// ready returns how long it takes until the level is at least want; false if it never is.
func (b *bucket) ready(want Tokens) (time.Duration, bool) {
	missing := want - b.level
	if missing <= 0 {
		return 0, true
	}
	if b.share.Rate == 0 || want > b.share.Burst {
		return 0, false
	}
	d := time.Duration(mulDiv(missing, Tokens(time.Second), b.share.Rate))
	return d + d>>(driftShift-1) + d>>(2*driftShift-3) + 1, true
}
