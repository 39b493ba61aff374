package sidecar

import (
	"context"
	"strconv"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
)

const (
	// pollsPerDeadline is how often the fleet reads the store within the time in which a configuration has to be in force,
	// beside its watches. A watch can stop responding without an error, and all watchers can end at the same time; some of
	// the turns then fall to instances that have ended too, and the rest of the time is for passing the configuration on.
	pollsPerDeadline = 10
	// minTurn is the shortest turn.
	minTurn = 100 * time.Millisecond
)

// turnLength returns the length of a turn in which one instance reads the store.
func turnLength(configDeadline time.Duration) time.Duration {
	return max(configDeadline/pollsPerDeadline, minTurn)
}

// pollerOf returns the instance that reads the store in a turn. The turns follow the clock and fall to all instances
// alike, so that the fleet reads the store at the same rate whatever its size. Instances with the same view agree on it;
// one that suspects the chosen instance reads in its place. A turn passes without a reading if the chosen instance has
// ended and nobody suspects it yet, or has read not long before; see keepFresh.
func pollerOf(d *membership.Directory, turn int64, suspected map[membership.ID]bool) membership.ID {
	return d.SelectInstance("poll\x00"+strconv.FormatInt(turn, 10), suspected)
}

// pollStore reads the store in the turns that fall to this instance, until ctx ends.
func (c *configurationManager) pollStore(ctx context.Context) {
	for ctx.Err() == nil {
		deadline := c.bounds().ConfigDeadline
		length := turnLength(deadline)
		now := time.Now()
		turn := now.UnixNano()/int64(length) + 1
		wait.Sleep(ctx, time.Unix(0, turn*int64(length)).Sub(now))
		if ctx.Err() != nil || c.version() == 0 {
			continue
		}
		if pollerOf(c.members.Directory(), turn, c.members.Suspected()) == c.self.ID && c.readings.beginTurn(deadline) {
			c.poll(ctx)
		}
	}
}

// keepFresh reads the store whenever this instance knows of no recent reading, until ctx ends.
func (c *configurationManager) keepFresh(ctx context.Context) {
	for ctx.Err() == nil && c.version() == 0 {
		wait.Sleep(ctx, roleCheckInterval)
	}
	c.readings.start()
	for ctx.Err() == nil {
		if c.readings.awaitOverdue(ctx, c.bounds().ConfigDeadline) {
			c.overdueReads.Add(1)
			c.poll(ctx)
		}
	}
}

// poll reads the store once and spreads the reading. If it brings a change, the watches have missed it, and this
// instance's own begins anew.
func (c *configurationManager) poll(ctx context.Context) {
	before, requestedAt := c.version(), time.Now()
	if !c.readStore(ctx) {
		c.readings.failed(c.bounds().ConfigDeadline)
		return
	}
	c.readings.spread(requestedAt, 0)
	if c.version() > before {
		c.event.Log(event.WatchSilent, event.F("version", c.version()), event.F("before", before))
		c.restartWatch()
	}
}
