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
	// rosterCheckInterval is how often an instance looks whether the roster should change.
	rosterCheckInterval = 250 * time.Millisecond
	// rosterCalm is how long the wanted roster stays the same before it is proposed: a first one, one without members
	// that ended, and one with more members.
	firstRosterDelay  = time.Second
	lostMemberDelay = time.Second
	addedMemberDelay   = 5 * time.Second
	// pendingChangeTimeout is how long a change may be pending before a roster settles it.
	pendingChangeTimeout = 5 * time.Second
)

// rosterProposer proposes rosterProposer while this instance is the coordinator. What is wanted has to stay the same for
// a while, so that a burst of joins or failures makes one change.
type rosterProposer struct {
	configuration *configuration
	standing      *standingManager
	members       *gossip.Members
	event         *event.Logger
	target        *ticket.Roster
	targetSince         time.Time
	pendingSince  time.Time
}

// run looks after the roster until ctx ends.
func (r *rosterProposer) run(ctx context.Context) {
	failed := wait.Pause{First: firstBackoff, Last: maxBackoff}
	for ctx.Err() == nil {
		wait.Sleep(ctx, rosterCheckInterval)
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
func (r *rosterProposer) isDue(now time.Time) bool {
	live := r.candidates()
	if standing.Coordinator(live) != string(r.standing.self.ID) {
		r.target = nil
		return false
	}
	current := r.configuration.roster.Load()
	wanted := standing.Elect(current, live)
	if r.pendingTooLong(now) {
		return true
	}
	if len(wanted.Witnesses) == 0 || standing.Same(current, wanted) {
		r.target = nil
		return false
	}
	if !standing.Same(r.target, wanted) {
		r.target, r.targetSince = wanted, now
	}
	return now.Sub(r.targetSince) >= proposalDelay(current, wanted)
}

// pendingTooLong reports whether a change has been pending for so long that another one has to take its revision.
func (r *rosterProposer) pendingTooLong(now time.Time) bool {
	if r.standing.state(nil).Counts.Pending == 0 {
		r.pendingSince = time.Time{}
		return false
	}
	if r.pendingSince.IsZero() {
		r.pendingSince = now
	}
	return now.Sub(r.pendingSince) >= pendingChangeTimeout
}

// proposalDelay is how long a wanted roster has to stay the same.
func proposalDelay(current, wanted *ticket.Roster) time.Duration {
	if current == nil {
		return firstRosterDelay
	}
	for _, list := range [][2][]ticket.RosterMember{{current.Homes, wanted.Homes}, {current.Witnesses, wanted.Witnesses}} {
		kept := make(map[string]bool)
		for _, m := range list[1] {
			kept[m.ID] = true
		}
		for _, m := range list[0] {
			if !kept[m.ID] {
				return lostMemberDelay
			}
		}
	}
	return addedMemberDelay
}

// candidates returns the instances in the membership.
func (r *rosterProposer) candidates() []standing.Candidate {
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
func (r *rosterProposer) propose(ctx context.Context) error {
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
	wanted := standing.Elect(current, r.candidates())
	if len(wanted.Witnesses) == 0 || (standing.Same(current, wanted) && r.standing.state(nil).Counts.Pending == 0) {
		return nil
	}
	next, err := r.configuration.log.Append(ctx, head, ticket.Entry{Roster: wanted})
	if err != nil {
		return err
	}
	r.configuration.Apply(next.Entry)
	r.configuration.requestCompactionIfDue(next.Revision)
	r.event.Log(event.RosterProposed, event.F("epoch", wanted.Epoch), event.F("homes", len(wanted.Homes)), event.F("witnesses", len(wanted.Witnesses)))
	return nil
}
