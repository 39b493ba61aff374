package instance

import (
	"context"
	"time"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/standing"
	"amaranthstile/ticket"
)

const (
	// rosterEvery is how often an instance looks whether the roster should change.
	rosterEvery = 250 * time.Millisecond
	// rosterCalm is how long the wanted roster stays the same before it is proposed: a first one, one without members
	// that ended, and one with more members.
	firstCalm  = time.Second
	brokenCalm = time.Second
	growCalm   = 5 * time.Second
	// settleAfter is how long a change may be pending before a roster settles it.
	settleAfter = 5 * time.Second
)

// rosters proposes rosters while this instance is the coordinator. What is wanted has to stay the same for
// a while, so that a burst of joins or failures makes one change.
type rosters struct {
	configuration *configuration
	standing      *standings
	members       *gossip.Members
	event         *event.Logger
	wanted        *ticket.Roster
	since         time.Time
	pendingSince  time.Time
}

// run looks after the roster until ctx ends.
func (r *rosters) run(ctx context.Context) {
	failed := wait.Backoff{Min: firstPause, Max: lastPause}
	for ctx.Err() == nil {
		wait.Sleep(ctx, rosterEvery)
		if !r.isDue(time.Now()) {
			continue
		}
		if err := r.propose(ctx); err != nil {
			failed.Wait(ctx)
			continue
		}
		failed.Reset()
	}
}

// isDue reports whether this instance should propose a roster now.
func (r *rosters) isDue(now time.Time) bool {
	live := r.live()
	if standing.RosterProposer(live) != string(r.standing.self.ID) {
		r.wanted = nil
		return false
	}
	current := r.configuration.roster.Load()
	wanted := standing.NextRoster(current, live)
	if r.settles(now) {
		return true
	}
	if len(wanted.Witnesses) == 0 || standing.SameMembers(current, wanted) {
		r.wanted = nil
		return false
	}
	if !standing.SameMembers(r.wanted, wanted) {
		r.wanted, r.since = wanted, now
	}
	return now.Sub(r.since) >= calm(current, wanted)
}

// settles reports whether a change has been pending for so long that another one has to take its revision.
func (r *rosters) settles(now time.Time) bool {
	if r.standing.state(nil).Counts.Pending == 0 {
		r.pendingSince = time.Time{}
		return false
	}
	if r.pendingSince.IsZero() {
		r.pendingSince = now
	}
	return now.Sub(r.pendingSince) >= settleAfter
}

// calm is how long a wanted roster has to stay the same.
func calm(current, wanted *ticket.Roster) time.Duration {
	if current == nil {
		return firstCalm
	}
	for _, list := range [][2][]ticket.RosterMember{{current.Coordinators, wanted.Coordinators}, {current.Witnesses, wanted.Witnesses}} {
		kept := make(map[string]bool)
		for _, m := range list[1] {
			kept[m.ID] = true
		}
		for _, m := range list[0] {
			if !kept[m.ID] {
				return brokenCalm
			}
		}
	}
	return growCalm
}

// live returns the instances in the membership.
func (r *rosters) live() []standing.Candidate {
	var out []standing.Candidate
	for id, record := range r.members.Directory().Records() {
		out = append(out, standing.Candidate{
			RosterMember: ticket.RosterMember{ID: string(id), Domain: record.Domain, Control: record.Control},
			Leaving:      record.Leaving,
		})
	}
	return out
}

// propose writes the roster that should follow the newest one in the platform.
func (r *rosters) propose(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*announceTimeout)
	defer cancel()
	head, err := r.configuration.log.Head(ctx)
	if err != nil {
		return err
	}
	if err := r.configuration.log.CatchUp(ctx, r.configuration, head); err != nil {
		return err
	}
	current := r.configuration.roster.Load()
	wanted := standing.NextRoster(current, r.live())
	if len(wanted.Witnesses) == 0 || (standing.SameMembers(current, wanted) && r.standing.state(nil).Counts.Pending == 0) {
		return nil
	}
	next, err := r.configuration.log.Append(ctx, head, ticket.Entry{Roster: wanted})
	if err != nil {
		return err
	}
	r.configuration.Apply(next.Entry)
	r.configuration.wrote(next.Revision)
	r.event.Log(event.RosterProposed, event.F("epoch", wanted.Epoch), event.F("homes", len(wanted.Coordinators)), event.F("witnesses", len(wanted.Witnesses)))
	return nil
}
