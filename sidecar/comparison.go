package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// comparisonTimeout bounds how long a starting instance compares its configuration with those of other instances. It
	// serves no requests meanwhile.
	comparisonTimeout = 500 * time.Millisecond
	// comparisonGrace is how long after the first response the others may take.
	comparisonGrace = 50 * time.Millisecond
	// fleetStartSpread is the longest time between the first requests of two instances of a fleet that starts as a whole.
	fleetStartSpread = 2 * time.Second
	// membershipPollInterval is how often a starting instance looks for other instances in the membership.
	membershipPollInterval = 20 * time.Millisecond
)

// compareWithPeers asks a few other instances for a newer configuration than the one loaded at the start. The store may
// have come back from an older copy, and an instance asked while the store was unavailable may be behind. Meanwhile the
// evacuations are loaded.
func (c *configurationManager) compareWithPeers(running context.Context) {
	ctx, cancel := context.WithTimeout(running, comparisonTimeout)
	defer cancel()
	addresses := c.awaitContacts(ctx)
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	addresses = addresses[:min(len(addresses), maxPeersAsked)]
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		c.loadEvacuations(running, addresses)
	}()
	defer func() { <-loaded }()
	responses := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() { responses <- c.fetchFrom(ctx, a) }()
	}
	var grace <-chan time.Time
	for range addresses {
		select {
		case ok := <-responses:
			if ok && grace == nil {
				grace = time.After(comparisonGrace)
			}
		case <-grace:
			return
		case <-ctx.Done():
			return
		}
	}
}

// recordServing records for how long another instance has served requests.
func (c *configurationManager) recordServing(millis int64) {
	for {
		old := c.longestServing.Load()
		if millis <= old || c.longestServing.CompareAndSwap(old, millis) {
			return
		}
	}
}

// serve lets requests be served from now on.
func (c *configurationManager) serve() {
	if time.Duration(c.longestServing.Load())*time.Millisecond > fleetStartSpread {
		c.onJoined()
	}
	now := time.Now()
	c.servingSince.Store(&now)
}

// awaitContacts waits until other instances are known, by the membership or the list in the store, or until ctx ends. It
// returns their control addresses.
func (c *configurationManager) awaitContacts(ctx context.Context) []netip.AddrPort {
	ticker := time.NewTicker(membershipPollInterval)
	defer ticker.Stop()
	var out []netip.AddrPort
	for len(out) == 0 && ctx.Err() == nil {
		select {
		case out = <-c.contacts:
		case <-ticker.C:
		case <-ctx.Done():
		}
		for _, r := range c.members.All() {
			out = append(out, r.Control)
		}
		out = slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == c.self.Control })
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return slices.Compact(out)
}
