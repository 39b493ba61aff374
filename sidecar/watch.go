package sidecar

import (
	"context"
	"slices"
	"time"

	"amaranthstile/internal/wait"
	"amaranthstile/result"
)

const (
	// watchersPerDomain is how many instances of a failure domain watch the store. With two of them, one that is cut off
	// from the store does not keep new configurations from its failure domain.
	watchersPerDomain = 2
	// watchDuration is how long one watch call at the store lasts. A connection that stopped responding is noticed after
	// it.
	watchDuration = 6 * time.Second
	// watchGrace is how long after the end of a watch call its response may arrive.
	watchGrace = time.Second
)

// watchStore watches the store from the latest known position, and reads it if it lacks the history since then. It
// reports whether the next watch can begin at once.
func (c *configurationManager) watchStore(ctx context.Context) bool {
	after := c.position()
	err := c.watchFrom(ctx, after)
	if result.Is(err, result.PlatformHistoryGone) {
		return c.readStore(ctx) && c.position() != after
	}
	return err == nil
}

// watchFrom makes one watch call and applies a configuration that it returns.
func (c *configurationManager) watchFrom(ctx context.Context, after Position) error {
	ctx, cancel := context.WithTimeout(ctx, watchDuration+watchGrace)
	defer cancel()
	c.cancelWatch.Store(&cancel)
	c.watches.Add(1)
	inForce := c.version()
	s, ok, err := c.store.AwaitConfiguration(ctx, after, watchDuration)
	if ctx.Err() != nil && err != nil {
		err = result.Wrap(result.PlatformUnavailable, err, "the store did not respond to the watch call")
	}
	c.recordStoreResult(err)
	if err != nil {
		return err
	}
	if ok {
		// a rejected configuration is logged, and the next version replaces it
		if version, err := c.apply(receivedConfiguration{
			specification: s.Specification, source: sourceStore, bytes: len(s.Specification), position: s.Position,
		}); err == nil {
			c.recordStored(version, inForce)
		}
		c.advancePosition(s.Position)
	}
	c.confirmStored(time.Now())
	return nil
}

// awaitWatcherRole returns when this instance is one of its failure domain's watchers, or when ctx ends.
func (c *configurationManager) awaitWatcherRole(ctx context.Context) {
	for ctx.Err() == nil && !c.isWatcher() {
		wait.Sleep(ctx, roleCheckInterval)
	}
}

// isWatcher reports whether this instance is one of its failure domain's watchers.
func (c *configurationManager) isWatcher() bool {
	return slices.Contains(c.members.Directory().SelectInstances(c.self.Domain, "watch", watchersPerDomain), c.self.ID)
}

// restartWatch cancels the watch call in flight, which missed a change, so that a new one begins.
func (c *configurationManager) restartWatch() {
	if cancel := c.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}
