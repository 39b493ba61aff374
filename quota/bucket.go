package quota

import (
	"math/bits"
	"time"
)

// Tokens counts permissions to run requests, in billionths of a token, so that every sum is exact.
type Tokens int64

// Token is the permission to run one request.
const Token Tokens = 1_000_000_000

// driftShift bounds clock drift: each clock runs within one part in 2^11 of true time.
const driftShift = 11

// Quota is a rate and a burst: those of a whole client account, or a share of them.
type Quota struct {
	// Rate is in tokens per second.
	Rate Tokens `json:"r,omitempty"`
	// Burst is the most tokens that may be saved up.
	Burst Tokens `json:"b,omitempty"`
}

// Of returns the rate and burst of a whole account.
func Of(a *Account) Quota {
	return Quota{Rate: Tokens(a.Rate * float64(Token)), Burst: Tokens(a.Burst) * Token}
}

// IsZero reports whether the quota allows nothing.
func (s Quota) IsZero() bool { return s.Rate == 0 && s.Burst == 0 }

// Fits reports whether neither the rate nor the burst of s exceeds that of o.
func (s Quota) Fits(o Quota) bool { return s.Rate <= o.Rate && s.Burst <= o.Burst }

func (s Quota) add(o Quota) Quota { return Quota{s.Rate + o.Rate, s.Burst + o.Burst} }

// sub subtracts o from s; neither the rate nor the burst falls below zero.
func (s Quota) sub(o Quota) Quota {
	return Quota{max(s.Rate-o.Rate, 0), max(s.Burst-o.Burst, 0)}
}

func (s Quota) min(o Quota) Quota { return Quota{min(s.Rate, o.Rate), min(s.Burst, o.Burst)} }
func (s Quota) max(o Quota) Quota { return Quota{max(s.Rate, o.Rate), max(s.Burst, o.Burst)} }

// scale returns s times num/den, with the burst rounded down to whole tokens; s itself if num is at least den.
func (s Quota) scale(num, den Tokens) Quota {
	if den <= 0 || num >= den {
		return s
	}
	burst := mulDiv(s.Burst, num, den)
	return Quota{Rate: mulDiv(s.Rate, num, den), Burst: burst - burst%Token}
}

// mulDiv returns a*b/c rounded down, or the largest Tokens value on overflow. The arguments must not be negative.
func mulDiv(a, b, c Tokens) Tokens {
	const largest = Tokens(1<<63 - 1)
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return largest
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return Tokens(min(q, uint64(largest)))
}

// bucket is a token bucket: it fills at the rate of its quota up to the burst.
type bucket struct {
	quota     Quota
	level     Tokens
	updatedAt time.Duration // the time of level
}

// refill brings the level up to now. It counts less time than the local clock shows, so that a clock that runs fast
// within the drift bound adds no extra tokens.
func (b *bucket) refill(now time.Duration) {
	elapsed := now - b.updatedAt
	if elapsed <= 0 {
		return
	}
	gained := mulDiv(b.quota.Rate, Tokens(elapsed-elapsed>>(driftShift-1)), Tokens(time.Second))
	if gained == 0 && b.quota.Rate > 0 {
		return
	}
	b.level = min(b.level+min(gained, b.quota.Burst), b.quota.Burst)
	b.updatedAt = now
}

// resize changes the quota from now on and returns the tokens that no longer fit into the burst.
func (b *bucket) resize(now time.Duration, q Quota) Tokens {
	b.refill(now)
	b.updatedAt = max(b.updatedAt, now)
	b.quota = q
	excess := max(b.level-q.Burst, 0)
	b.level -= excess
	return excess
}

// timeUntil returns how long it takes until the level is at least want; false if the level never reaches want.
func (b *bucket) timeUntil(want Tokens) (time.Duration, bool) {
	missing := want - b.level
	if missing <= 0 {
		return 0, true
	}
	if b.quota.Rate == 0 || want > b.quota.Burst {
		return 0, false
	}
	d := time.Duration(mulDiv(missing, Tokens(time.Second), b.quota.Rate))
	return d + d>>(driftShift-1) + d>>(2*driftShift-3) + 1, true
}
