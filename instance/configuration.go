package instance

import (
	"context"
	"slices"
	"sync/atomic"

	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/internal/owner"
	"amaranthstile/internal/wait"
	"amaranthstile/store"
	"amaranthstile/ticket"
)

// configuration owns the tickets in force and publishes the view that requests read.
type configuration struct {
	owner *owner.Owner
	state *ticket.ConfigState // accessed only by the owner
	log   *ticket.Log
	event *event.Logger
	view  atomic.Pointer[entry.Config]
	// roster is the roster in force, readable outside the owner.
	roster atomic.Pointer[ticket.Roster]
	// inForce is the view of the changes in force. pending are later changes that may have been accepted. The
	// published view is the stricter of both. Accessed only by the owner.
	inForce entry.Config
	pending []ticket.Entry
	// authority announces changes to the witnesses; shares follows the accounts and the roster.
	authority *authorityManager
	shares    *shareManager
	// floors are the floors of the services in force, by name. The floor is the least share of the announced slots of a
	// service that stays in use.
	floors atomic.Pointer[map[string]float64]
	// revision is the last applied revision, readable outside the owner.
	revision            atomic.Uint64
	platformUnavailable atomic.Bool
	// replicator exchanges entries with other instances; nil means no replication.
	replicator *replicator
	// compactionDue holds an element while this instance should compact the tickets in the platform.
	compactionDue chan struct{}
}

func newConfiguration(o *owner.Owner, client store.Client, e *event.Logger, a *authorityManager, s *shareManager) *configuration {
	c := &configuration{owner: o, state: ticket.NewConfigState(), log: ticket.NewLog(client, a), event: e, authority: a, shares: s, compactionDue: make(chan struct{}, 1)}
	a.applyPending = c.setPending
	s.view, s.roster = c.view.Load, c.roster.Load
	return c
}

// Revision implements ticket.Replica.
func (c *configuration) Revision() ticket.Revision { return ticket.Revision(c.revision.Load()) }

// Check implements ticket.Replica.
func (c *configuration) Check(t *ticket.Ticket) (r ticket.Record, err error) {
	c.owner.Do(func() { r, err = c.state.Check(t) })
	return r, err
}

// Accepted implements ticket.Replica.
func (c *configuration) Accepted(number uint64) (r ticket.Record, ok bool) {
	c.owner.Do(func() { r, ok = c.state.Accepted(number) })
	return r, ok
}

// Apply implements ticket.Replica.
func (c *configuration) Apply(e ticket.Entry) (ok bool) {
	c.owner.Do(func() {
		before := c.state.Revision()
		ok = c.state.Apply(e)
		if c.state.Revision() != before {
			c.publish(e.Ticket)
			c.authority.applied(c.state.Revision(), c.state.Roster())
			c.logInForce(e)
			if c.replicator != nil {
				c.replicator.onApplied(e)
			}
		}
	})
	return ok
}

// Copy returns an independent copy of the configuration state.
func (c *configuration) Copy() (s *ticket.ConfigState) {
	c.owner.Do(func() { s = c.state.Clone() })
	return s
}

// Restore implements ticket.Replica.
func (c *configuration) Restore(s *ticket.ConfigState) (ok bool) {
	c.owner.Do(func() {
		before := c.state.AsTicket()
		if ok = c.state.Restore(s); ok {
			whole := c.state.AsTicket()
			removeAbsent(whole.Routes, before.Routes)
			removeAbsent(whole.Accounts, before.Accounts)
			c.publish(whole)
			c.authority.applied(c.state.Revision(), c.state.Roster())
			if c.replicator != nil {
				c.replicator.announceRevision()
			}
		}
	})
	return ok
}

// removeAbsent marks the objects that exist in before but not in now as removed.
func removeAbsent[T any](now, before map[string]*T) {
	for name := range before {
		if _, ok := now[name]; !ok {
			now[name] = nil
		}
	}
}

func (c *configuration) logInForce(e ticket.Entry) {
	if e.Ticket != nil {
		c.event.Log(event.TicketInForce, event.F("ticket", e.Ticket.Number), event.F("revision", uint64(e.Revision)))
	}
}

// publish applies t to the view; nil leaves routes and accounts as they are. It runs in the owner.
func (c *configuration) publish(t *ticket.Ticket) {
	if t == nil {
		t = &ticket.Ticket{}
	}
	c.inForce.Routes = c.inForce.Routes.With(t.Routes)
	c.inForce.Accounts = c.inForce.Accounts.With(t.Accounts)
	c.inForce.Revision = uint64(c.state.Revision())
	c.roster.Store(c.state.Roster())
	c.publishFloors()
	c.publishView(t)
	c.revision.Store(uint64(c.state.Revision()))
}

// setPending replaces the changes that may have been accepted. It returns once requests read the stricter view.
func (c *configuration) setPending(pending []ticket.Entry) {
	c.owner.Do(func() {
		c.pending = pending
		c.publishView(nil)
	})
}

// publishView replaces the view that requests read, restricted by the pending changes. accepted is the ticket that
// has just come into force, or nil. It runs in the owner.
func (c *configuration) publishView(accepted *ticket.Ticket) {
	c.pending = slices.DeleteFunc(slices.Clone(c.pending), func(e ticket.Entry) bool { return e.Revision <= c.state.Revision() })
	pending := ticketsOf(c.pending)
	next := c.inForce
	next.Accounts = next.Accounts.Strict(pending, c.state.Account)
	next.Routes = next.Routes.With(c.closedRoutes(pending))
	c.view.Store(&next)
	inForce := c.inForce
	c.shares.update(&inForce, accepted, c.pending)
}

// closedRoutes returns closed copies of the open routes that a pending ticket may have closed.
func (c *configuration) closedRoutes(pending []*ticket.Ticket) map[string]*ticket.Route {
	out := make(map[string]*ticket.Route)
	for _, t := range pending {
		for name, r := range t.Routes {
			held, _ := c.state.Route(name)
			if r == nil || r.Open || held.Value == nil || !held.Value.Open {
				continue
			}
			closed := *held.Value
			closed.Open = false
			out[name] = &closed
		}
	}
	return out
}

func ticketsOf(entries []ticket.Entry) []*ticket.Ticket {
	var out []*ticket.Ticket
	for _, e := range entries {
		if e.Ticket != nil {
			out = append(out, e.Ticket)
		}
	}
	return out
}

// publishFloors replaces the published floors. It runs in the owner.
func (c *configuration) publishFloors() {
	floors := make(map[string]float64)
	for name, s := range c.state.Services() {
		if s.Value != nil {
			floors[name] = s.Value.Floor
		}
	}
	c.floors.Store(&floors)
}

// floor returns the floor of a service. An unknown service has the floor 1, which keeps all its endpoints in use.
func (c *configuration) floor(service string) float64 {
	if floors := c.floors.Load(); floors != nil {
		if f, ok := (*floors)[service]; ok {
			return f
		}
	}
	return 1
}

// submit records a ticket in the platform.
func (c *configuration) submit(ctx context.Context, t *ticket.Ticket) (ticket.Record, error) {
	record, err := c.log.Submit(ctx, c, t)
	if err == nil {
		c.requestCompactionIfDue(record.Revision)
	}
	return record, err
}

// requestCompactionIfDue requests a compaction if the revision that this instance wrote makes one due.
func (c *configuration) requestCompactionIfDue(r ticket.Revision) {
	if !ticket.CompactionDue(r) {
		return
	}
	select {
	case c.compactionDue <- struct{}{}:
	default:
	}
}

// compact records snapshots in the platform when they are due, until ctx ends.
func (c *configuration) compact(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.compactionDue:
		}
		s := c.Copy()
		if err := c.log.Compact(ctx, s); err != nil {
			c.event.Log(event.CompactionFailed, event.F("revision", uint64(s.Revision())), event.F("error", err.Error()))
			continue
		}
		c.event.Log(event.TicketsCompacted, event.F("revision", uint64(s.Revision())))
	}
}

// follow keeps the configuration state up to date with the platform until ctx ends. It calls loaded once, when the
// state is complete: after the first successful read from the platform or, while the platform is unavailable, from a
// peer. After that, only the watchers of each failure domain wait for changes at the platform; the other instances
// receive the changes from them.
func (c *configuration) follow(ctx context.Context, loaded func()) {
	backoff := wait.Backoff{Min: firstBackoff, Max: maxBackoff}
	head, err := c.log.Head(ctx)
	for ctx.Err() == nil {
		if err == nil {
			err = c.log.CatchUp(ctx, c, head)
		}
		c.logPlatformState(err)
		if loaded != nil && (err == nil || c.replicator.loadFromPeers(ctx)) {
			c.publishIfEmpty()
			c.replicator.setLoaded()
			loaded()
			loaded = nil
		}
		if err != nil {
			backoff.Wait(ctx)
		} else {
			backoff.Reset()
		}
		if loaded == nil {
			c.replicator.waitUntilWatcher(ctx)
		}
		if err != nil {
			head, err = c.log.Head(ctx)
			continue
		}
		head, err = c.log.WatchHead(ctx, head.Version)
	}
}

// publishIfEmpty publishes an empty view if no ticket was ever accepted.
func (c *configuration) publishIfEmpty() {
	c.owner.Do(func() {
		if c.view.Load() == nil {
			c.publish(nil)
		}
	})
}

func (c *configuration) logPlatformState(err error) {
	unavailable := err != nil
	if c.platformUnavailable.Swap(unavailable) == unavailable {
		return
	}
	if unavailable {
		c.event.Log(event.PlatformAway, event.F("error", err.Error()))
		return
	}
	c.event.Log(event.PlatformBack)
}
