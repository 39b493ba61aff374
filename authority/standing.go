// Package standing decides whether an instance may act on the configuration that it knows, by authority leases.
//
// A change (a ticket or a roster) is accepted by one conditional write to the platform. Before the write, its proposer
// announces the change: a majority of the witnesses must hold it as pending. An instance acts only while it has a valid
// authority lease. It obtains a lease by a round: after the start of the round, a majority of the witnesses reply with
// the changes that they know, and the instance takes these over. The lease is valid for a fixed time from the start of
// the round. An instance relays the remaining time of its lease to others, together with the changes that it knows; the
// receiver counts this time from when it sent its request. Therefore, once the fixed time has passed after a change was
// accepted, every instance with a valid lease has applied the change, or holds it as pending and acts on the stricter
// of the old and the new configuration.
//
// The platform can't grant leases: its reads may be stale, and it may be unavailable for hours. A witness is identified
// with its process: after a restart it is a different witness, so that a witness never forgets an announcement. The
// witnesses are part of the roster, which changes by the same writes. A round therefore needs a majority of the
// witnesses in force and a majority of the witnesses of every pending roster. A witness whose process has certainly
// ended counts as one that holds an announcement, as it sends no more replies.
package authority

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"time"

	"amaranthstile/ticket"
)

// Timings are the durations and intervals of authority leases.
type Timings struct {
	// LeaseDuration is how long an instance may act on the changes that were known when a round started. It is also how
	// long a revoked key still works on instances that are partitioned from the others.
	LeaseDuration time.Duration
	// RoundInterval is the pause between two rounds of a witness.
	RoundInterval time.Duration
	// RelayInterval is the pause between two requests of other instances for a relayed lease.
	RelayInterval time.Duration
}

// DefaultTimings returns the timings that fleets use.
func DefaultTimings() Timings {
	return Timings{LeaseDuration: 4 * time.Second, RoundInterval: 750 * time.Millisecond, RelayInterval: 600 * time.Millisecond}
}

// PropagationBound returns the time after the acceptance of a change, on any instance's clock, from which every
// instance that acts has applied the change or holds it as pending. It includes a margin for clocks whose rate differs
// from true time by at most one part in 2^11.
func (t Timings) PropagationBound() time.Duration { return t.LeaseDuration + t.LeaseDuration>>9 + 1 }

// KnownChanges are the changes that an instance knows.
type KnownChanges struct {
	// Revision is the last revision in force at the instance.
	Revision ticket.Revision `json:"revision"`
	// Pending are later changes that may have been accepted.
	Pending []ticket.Entry `json:"pending,omitempty"`
}

// RelayedLease is the remainder of an authority lease that one instance passes to another, with the changes that it
// knows.
type RelayedLease struct {
	KnownChanges
	// Remaining is the remaining time of the lease.
	Remaining time.Duration `json:"remaining"`
}

// Lease tracks until when one instance may act, and the changes that it knows. It is not safe for concurrent
// use.
type Lease struct {
	self      string
	timings   Timings
	applied   ticket.Revision
	roster    *ticket.Roster
	pending   map[ticket.Hash]ticket.Entry // by digest, since two changes may have the same revision
	expiry    time.Duration                // when the lease ends
	granted   bool                         // a lease was valid at some time
	tentative []tentativeLease
	lastRound uint64
	stats     Stats
}

// tentativeLease is a lease that becomes valid once its revision is applied here and, if it comes from a round, once
// the required majorities have replied.
type tentativeLease struct {
	expiry   time.Duration
	revision ticket.Revision
	round    uint64              // 0 for a relayed lease
	replies  map[string]struct{} // witnesses that replied in the round
}

// maxTentative bounds the tentative leases that are kept.
const maxTentative = 8

// Stats counts rounds, the leases that became valid by own rounds and by relays, and the changes pending now. The names
// of the fields are part of metric names.
type Stats struct {
	Rounds       uint64 `json:"Rounds"`
	RoundCredits uint64 `json:"RoundCredits"`
	RelayCredits uint64 `json:"RelayCredits"`
	Pending      int    `json:"Pending"`
}

// NewLease returns an AuthorityLease of the instance self that is not valid yet.
func NewLease(self string, timings Timings) *Lease {
	return &Lease{self: self, timings: timings, pending: make(map[ticket.Hash]ticket.Entry)}
}

// Stats returns the counts so far.
func (l *Lease) Stats() Stats {
	s := l.stats
	s.Pending = len(l.pending)
	return s
}

// Expiry returns when the lease ends; it returns false if it has never been valid.
func (l *Lease) Expiry() (time.Duration, bool) { return l.expiry, l.granted }

// Valid reports whether the instance may act at the time now.
func (l *Lease) Valid(now time.Duration) bool { return l.granted && now < l.expiry }

// KnownChanges returns the changes that this instance knows.
func (l *Lease) KnownChanges() KnownChanges {
	return KnownChanges{Revision: l.applied, Pending: l.Pending()}
}

// Pending returns the changes after the applied revision that may have been accepted, in order of revision.
func (l *Lease) Pending() []ticket.Entry {
	out := make([]ticket.Entry, 0, len(l.pending))
	for _, e := range l.pending {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b ticket.Entry) int { return int(a.Revision) - int(b.Revision) })
	return out
}

// SetApplied records that the changes up to revision r are in force here, and the roster that is in force at r.
func (l *Lease) SetApplied(r ticket.Revision, roster *ticket.Roster) {
	if r < l.applied {
		return
	}
	l.applied, l.roster = r, roster
	for k, e := range l.pending {
		if e.Revision <= r {
			delete(l.pending, k)
		}
	}
	l.promote()
}

// AddPending adds changes that may have been accepted, and reports whether any of them was new.
func (l *Lease) AddPending(pending []ticket.Entry) bool {
	before := len(l.pending)
	for _, e := range pending {
		if e.Revision > l.applied {
			l.pending[digest(e)] = e
		}
	}
	return len(l.pending) > before
}

// digest returns the hash of a change's content and revision.
func digest(e ticket.Entry) ticket.Hash {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // all fields can be expressed in JSON
	}
	return sha256.Sum256(data)
}

// quorumSets returns the sets of witnesses; a majority of each set is needed. It returns nil if no witnesses are in
// force.
func (l *Lease) quorumSets() [][]ticket.RosterMember {
	if l.roster == nil || len(l.roster.Witnesses) == 0 {
		return nil
	}
	out := [][]ticket.RosterMember{l.roster.Witnesses}
	for _, e := range l.Pending() {
		if e.Roster != nil {
			out = append(out, e.Roster.Witnesses)
		}
	}
	return out
}

// IsWitness reports whether this instance is a witness on the roster in force.
func (l *Lease) IsWitness() bool {
	return l.roster != nil && slices.ContainsFunc(l.roster.Witnesses, func(w ticket.RosterMember) bool { return w.ID == l.self })
}

// StartRound starts a round and returns its number and the other witnesses, which the caller asks for the changes that
// they know. The number is 0 if no witnesses are known.
func (l *Lease) StartRound(now time.Duration) (number uint64, ask []ticket.RosterMember) {
	sets := l.quorumSets()
	if sets == nil {
		return 0, nil
	}
	l.lastRound++
	l.stats.Rounds++
	t := tentativeLease{expiry: now + l.timings.LeaseDuration, revision: l.applied, round: l.lastRound, replies: make(map[string]struct{})}
	for _, w := range union(sets) {
		if w.ID == l.self {
			t.replies[l.self] = struct{}{}
			continue
		}
		ask = append(ask, w)
	}
	l.addTentative(t)
	l.promote()
	return l.lastRound, ask
}

// HandleReply processes the reply of a witness in a round.
func (l *Lease) HandleReply(number uint64, from string, k KnownChanges) {
	l.AddPending(k.Pending)
	for i, t := range l.tentative {
		if t.round == number && number != 0 {
			l.tentative[i].revision = max(t.revision, k.Revision)
			t.replies[from] = struct{}{}
		}
	}
	l.promote()
}

// Relay returns the lease that this instance passes to another; it returns false if its own is not valid.
func (l *Lease) Relay(now time.Duration) (RelayedLease, bool) {
	if !l.Valid(now) {
		return RelayedLease{}, false
	}
	return RelayedLease{KnownChanges: l.KnownChanges(), Remaining: l.expiry - now}, true
}

// AcceptRelayed processes a relayed lease that was requested at the time sent.
func (l *Lease) AcceptRelayed(sent time.Duration, r RelayedLease) {
	l.AddPending(r.Pending)
	l.addTentative(tentativeLease{expiry: sent + min(r.Remaining, l.timings.LeaseDuration), revision: r.Revision})
	l.promote()
}

// addTentative adds a tentative lease and drops the oldest one beyond the bound.
func (l *Lease) addTentative(t tentativeLease) {
	l.tentative = append(l.tentative, t)
	if len(l.tentative) > maxTentative {
		l.tentative = l.tentative[1:]
	}
}

// RequiredRevision returns the revision that must be applied here before every tentative lease can become valid, or 0
// if none is missing.
func (l *Lease) RequiredRevision() ticket.Revision {
	highest := ticket.Revision(0)
	for _, t := range l.tentative {
		if t.revision > l.applied {
			highest = max(highest, t.revision)
		}
	}
	return highest
}

// promote makes those tentative leases valid whose conditions are now met.
func (l *Lease) promote() {
	remaining := l.tentative[:0]
	for _, t := range l.tentative {
		if !l.isComplete(t) {
			remaining = append(remaining, t)
			continue
		}
		if t.round != 0 {
			l.stats.RoundCredits++
		} else {
			l.stats.RelayCredits++
		}
		if !l.granted || t.expiry > l.expiry {
			l.expiry, l.granted = t.expiry, true
		}
	}
	l.tentative = remaining
}

// isComplete reports whether the conditions of a tentative lease are met.
func (l *Lease) isComplete(t tentativeLease) bool {
	if t.revision > l.applied {
		return false
	}
	if t.round == 0 {
		return true
	}
	sets := l.quorumSets()
	return sets != nil && hasMajorities(sets, t.replies)
}

// union returns the members of all sets, each once.
func union(sets [][]ticket.RosterMember) []ticket.RosterMember {
	var out []ticket.RosterMember
	seen := make(map[string]bool)
	for _, set := range sets {
		for _, w := range set {
			if !seen[w.ID] {
				seen[w.ID] = true
				out = append(out, w)
			}
		}
	}
	return out
}

// hasMajorities reports whether more than half of each set is among the members.
func hasMajorities(sets [][]ticket.RosterMember, members map[string]struct{}) bool {
	for _, set := range sets {
		n := 0
		for _, w := range set {
			if _, ok := members[w.ID]; ok {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}

// Witnesses returns the witnesses on the roster in force.
func (l *Lease) Witnesses() []ticket.RosterMember {
	if l.roster == nil {
		return nil
	}
	return l.roster.Witnesses
}
