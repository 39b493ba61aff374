package instance

import (
	"context"
	"time"

	"amaranthstile/authority"
	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/ticket"
)

const (
	// rosterCheckInterval is how often an instance checks whether the roster should change.
	rosterCheckInterval = 250 * time.Millisecond
	// The delays are how long the target roster has to stay the same before it is proposed: for a first roster, for one
	// that drops members that ended, and for one that only adds members.
	firstRosterDelay = time.Second
	lostMemberDelay  = time.Second
	addedMemberDelay = 5 * time.Second
	// pendingChangeTimeout is how long a change may be pending before a new roster settles whether it was accepted, by
	// taking its revision if it was not.
	pendingChangeTimeout = 5 * time.Second
)

// rosterProposer proposes rosters while authority.RosterProposer selects this instance. The target roster has to stay
// the same for a while, so that a burst of joins or failures leads to one change.
type rosterProposer struct {
	configuration *configuration
	authority     *authorityManager
	members       *gossip.Members
	event         *event.Logger
	target        *ticket.Roster
	targetSince   time.Time
	pendingSince  time.Time
}

// run proposes rosters that are due until ctx ends.
func (r *rosterProposer) run(ctx context.Context) {
	backoff := wait.Backoff{Min: firstBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		wait.Sleep(ctx, rosterCheckInterval)
		if !r.isDue(time.Now()) {
			continue
		}
		if err := r.propose(ctx); err != nil {
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
	}
}

// isDue reports whether this instance should propose a roster now.
func (r *rosterProposer) isDue(now time.Time) bool {
	candidates := r.candidates()
	if authority.RosterProposer(candidates) != string(r.authority.self.ID) {
		r.target = nil
		return false
	}
	current := r.configuration.roster.Load()
	target := authority.NextRoster(current, candidates)
	if r.pendingTooLong(now) {
		return true
	}
	if len(target.Witnesses) == 0 || authority.SameMembers(current, target) {
		r.target = nil
		return false
	}
	if !authority.SameMembers(r.target, target) {
		r.target, r.targetSince = target, now
	}
	return now.Sub(r.targetSince) >= proposalDelay(current, target)
}

// pendingTooLong reports whether a change has been pending for so long that another change has to take its revision.
func (r *rosterProposer) pendingTooLong(now time.Time) bool {
	if r.authority.state(nil).Counts.Pending == 0 {
		r.pendingSince = time.Time{}
		return false
	}
	if r.pendingSince.IsZero() {
		r.pendingSince = now
	}
	return now.Sub(r.pendingSince) >= pendingChangeTimeout
}

// proposalDelay returns how long a target roster has to stay the same before it is proposed.
func proposalDelay(current, target *ticket.Roster) time.Duration {
	if current == nil {
		return firstRosterDelay
	}
	for _, list := range [][2][]ticket.RosterMember{{current.Coordinators, target.Coordinators}, {current.Witnesses, target.Witnesses}} {
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
func (r *rosterProposer) candidates() []authority.Candidate {
	var out []authority.Candidate
	for id, record := range r.members.Directory().Records() {
		out = append(out, authority.Candidate{
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
	target := authority.NextRoster(current, r.candidates())
	if len(target.Witnesses) == 0 || (authority.SameMembers(current, target) && r.authority.state(nil).Counts.Pending == 0) {
		return nil
	}
	next, err := r.configuration.log.Append(ctx, head, ticket.Entry{Roster: target})
	if err != nil {
		return err
	}
	r.configuration.Apply(next.Entry)
	r.configuration.requestCompactionIfDue(next.Revision)
	r.event.Log(event.RosterProposed, event.F("epoch", target.Epoch), event.F("homes", len(target.Coordinators)), event.F("witnesses", len(target.Witnesses)))
	return nil
}
