package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"amaranthstile/internal/wait"
	"amaranthstile/result"
)

// confirm records that the store held the configuration in force at a time, unless a later confirmation is recorded.
func (c *configurationManager) confirm(at time.Time) {
	for {
		old := c.confirmedAt.Load()
		if old != nil && !at.After(*old) || c.confirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// confirmStored records that the store was asked at a time, if it held the configuration in force. An older one, from a
// store that came back from a copy, confirms nothing: what else the copy lacks is not known, a revoked key for example.
func (c *configurationManager) confirmStored(at time.Time) {
	if c.storedVersion.Load() >= c.version() {
		c.confirm(at)
	}
}

// confirmationAge returns how long ago the store confirmed the configuration, to this instance or to the one that
// passed the confirmation on; it is the longest duration before the first confirmation.
func (c *configurationManager) confirmationAge(now time.Time) time.Duration {
	at := c.confirmedAt.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}

// confirmationsPerRevocation is how often, within the revocation deadline, an instance that fails closed has its
// configuration confirmed.
const confirmationsPerRevocation = 3

// failOpenInterval is how often an instance that fails open checks whether changed settings make it fail closed: as
// often as the settings file is read.
const failOpenInterval = 2 * time.Second

// keepConfirmed keeps the configuration confirmed while the settings make the instance fail closed, by the store or
// else by another instance, until ctx ends.
func (c *configurationManager) keepConfirmed(ctx context.Context) {
	for ctx.Err() == nil {
		b := c.bounds()
		if !b.FailClosed {
			wait.Sleep(ctx, failOpenInterval)
			continue
		}
		interval := b.RevocationDeadline / confirmationsPerRevocation
		due := func() bool { return c.version() > 0 && c.confirmationAge(time.Now()) > interval/2 }
		if due() {
			c.readStore(ctx)
		}
		if due() {
			c.askPeers(ctx)
		}
		wait.Sleep(ctx, interval/2+rand.N(interval/2))
	}
}

// checkFreshness returns an error if the instance fails closed and its configuration was not confirmed within the
// revocation deadline: a key that was revoked in the meantime could still be accepted.
func (c *configurationManager) checkFreshness(b Bounds, now time.Time) error {
	if !b.FailClosed {
		return nil
	}
	age := c.confirmationAge(now)
	if age <= b.RevocationDeadline {
		return nil
	}
	return result.New(result.NoStanding, "the configuration was last confirmed %v ago", age.Round(time.Millisecond))
}
