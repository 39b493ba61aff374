// Package standing decides whether an instance may act on what it knows.
//
// A change (a ticket or a roster) is accepted by one conditional write to the platform. Before it, its proposer
// announces it: a majority of the witnesses holds it as pending. An instance acts only while it holds a credit. It
// earns one by a round: a majority of the witnesses tells, after the round began, what it knows, and the instance takes
// that over. The credit lasts a fixed time from when the round began. An instance passes what is left of its credit on,
// with what it knows; the receiver counts it from when it asked. So the fixed time after a change was accepted,
// whoever has a credit knows the change, or holds it as pending and acts on the stricter of both.
//
// The platform is not asked for a credit: its reads may be stale, and it may be away for hours. A witness is a
// process: one that restarts is another one, so a witness never forgets. The witnesses are part of the
// roster, which changes by the same writes: a round needs majorities of the witnesses in force and of those of every
// pending roster. A witness whose process certainly ended counts as one that holds the announcement, as it tells nothing any more.
package standing

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"time"

	"amaranthstile/ticket"
)

// Timings are the durations of standing.
type Timings struct {
	// LeaseDuration is how long an instance acts on what it knew when a round began. A withdrawn key works on
	// instances that are cut off for as long.
	LeaseDuration time.Duration
	// RoundInterval is how often a witness begins a round.
	RoundInterval time.Duration
	// RelayInterval is how often the others ask for a credit.
	RelayInterval time.Duration
}

// DefaultTimings returns the terms of a fleet.
func DefaultTimings() Timings {
	return Timings{LeaseDuration: 4 * time.Second, RoundInterval: 750 * time.Millisecond, RelayInterval: 600 * time.Millisecond}
}

// PropagationBound is how long after a change was accepted, on any clock, everyone who acts knows it or holds it as
// pending. It has a margin for clocks that run within one part in 2^11 of true time.
func (t Timings) PropagationBound() time.Duration { return t.LeaseDuration + t.LeaseDuration>>9 + 1 }

// KnownChanges is what an instance knows of the changes.
type KnownChanges struct {
	// Revision is the last one in force there.
	Revision ticket.Revision `json:"revision"`
	// Pending are later changes that may have been accepted.
	Pending []ticket.Entry `json:"pending,omitempty"`
}

// RelayedLease is what one instance passes on to another.
type RelayedLease struct {
	KnownChanges
	// Remaining is what is left of the credit.
	Remaining time.Duration `json:"remaining"`
}

// AuthorityLease is the standing of one instance. It is not safe for concurrent use.
type AuthorityLease struct {
	self    string
	terms   Timings
	applied ticket.Revision
	roster  *ticket.Roster
	pending map[ticket.Hash]ticket.Entry // by digest: two changes may have one revision
	credit  time.Duration                // when it ends
	held    bool                         // there was a credit
	claims  []claim
	last    uint64
	stats   Stats
}

// claim is a credit that counts once what it rests on is applied here.
type claim struct {
	until    time.Duration
	revision ticket.Revision
	round    uint64              // 0 for a credit that was passed on
	words    map[string]struct{} // witnesses that spoke in the round
}

// maxClaims bounds the claims kept.
const maxClaims = 8

// Stats counts what happened.
type Stats struct {
	Rounds       uint64 `json:"Rounds"`
	RoundCredits uint64 `json:"RoundCredits"`
	RelayCredits uint64 `json:"RelayCredits"`
	Pending      int    `json:"Pending"`
}

// NewAuthorityLease returns the standing of the instance self, without a credit.
func NewAuthorityLease(self string, t Timings) *AuthorityLease {
	return &AuthorityLease{self: self, terms: t, pending: make(map[ticket.Hash]ticket.Entry)}
}

// Stats returns the counts so far.
func (m *AuthorityLease) Stats() Stats {
	s := m.stats
	s.Pending = len(m.pending)
	return s
}

// Expiry returns when the credit ends; false if there never was one.
func (m *AuthorityLease) Expiry() (time.Duration, bool) { return m.credit, m.held }

// Valid reports whether the instance may act now.
func (m *AuthorityLease) Valid(now time.Duration) bool { return m.held && now < m.credit }

// KnownChanges returns what is known here.
func (m *AuthorityLease) KnownChanges() KnownChanges {
	return KnownChanges{Revision: m.applied, Pending: m.Pending()}
}

// Pending returns the changes that may have been accepted, in order of revision.
func (m *AuthorityLease) Pending() []ticket.Entry {
	out := make([]ticket.Entry, 0, len(m.pending))
	for _, e := range m.pending {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b ticket.Entry) int { return int(a.Revision) - int(b.Revision) })
	return out
}

// SetApplied takes over that the changes up to a revision are in force here, with the roster that is in force then.
func (m *AuthorityLease) SetApplied(r ticket.Revision, roster *ticket.Roster) {
	if r < m.applied {
		return
	}
	m.applied, m.roster = r, roster
	for k, e := range m.pending {
		if e.Revision <= r {
			delete(m.pending, k)
		}
	}
	m.count()
}

// AddPending takes over changes that may have been accepted; it reports whether any was new.
func (m *AuthorityLease) AddPending(pending []ticket.Entry) bool {
	before := len(m.pending)
	for _, e := range pending {
		if e.Revision > m.applied {
			m.pending[digest(e)] = e
		}
	}
	return len(m.pending) > before
}

// digest identifies a change by its content and revision.
func digest(e ticket.Entry) ticket.Hash {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // the types hold nothing that JSON can't express
	}
	return sha256.Sum256(data)
}

// sets returns the sets of witnesses that a majority is needed of.
func (m *AuthorityLease) sets() [][]ticket.RosterMember {
	if m.roster == nil || len(m.roster.Witnesses) == 0 {
		return nil
	}
	out := [][]ticket.RosterMember{m.roster.Witnesses}
	for _, e := range m.Pending() {
		if e.Roster != nil {
			out = append(out, e.Roster.Witnesses)
		}
	}
	return out
}

// IsWitness reports whether this instance is a witness in force.
func (m *AuthorityLease) IsWitness() bool {
	return m.roster != nil && slices.ContainsFunc(m.roster.Witnesses, func(w ticket.RosterMember) bool { return w.ID == m.self })
}

// StartRound begins a round: the members returned are asked for their word. Number 0 says that there is nobody to ask.
func (m *AuthorityLease) StartRound(now time.Duration) (number uint64, ask []ticket.RosterMember) {
	sets := m.sets()
	if sets == nil {
		return 0, nil
	}
	m.last++
	m.stats.Rounds++
	c := claim{until: now + m.terms.LeaseDuration, revision: m.applied, round: m.last, words: make(map[string]struct{})}
	for _, w := range union(sets) {
		if w.ID == m.self {
			c.words[m.self] = struct{}{}
			continue
		}
		ask = append(ask, w)
	}
	m.keep(c)
	m.count()
	return m.last, ask
}

// HandleReply takes over what a witness said in a round.
func (m *AuthorityLease) HandleReply(number uint64, from string, k KnownChanges) {
	m.AddPending(k.Pending)
	for i, c := range m.claims {
		if c.round == number && number != 0 {
			m.claims[i].revision = max(c.revision, k.Revision)
			c.words[from] = struct{}{}
		}
	}
	m.count()
}

// Relay returns what this instance passes on; false without a credit.
func (m *AuthorityLease) Relay(now time.Duration) (RelayedLease, bool) {
	if !m.Valid(now) {
		return RelayedLease{}, false
	}
	return RelayedLease{KnownChanges: m.KnownChanges(), Remaining: m.credit - now}, true
}

// AcceptRelayed takes over a credit that was asked for at the time sent.
func (m *AuthorityLease) AcceptRelayed(sent time.Duration, c RelayedLease) {
	m.AddPending(c.Pending)
	m.keep(claim{until: sent + min(c.Remaining, m.terms.LeaseDuration), revision: c.Revision})
	m.count()
}

// keep adds a claim and forgets the oldest beyond the bound.
func (m *AuthorityLease) keep(c claim) {
	m.claims = append(m.claims, c)
	if len(m.claims) > maxClaims {
		m.claims = m.claims[1:]
	}
}

// RequiredRevision returns the revision that has to be applied here before a claim counts, 0 if there is none.
func (m *AuthorityLease) RequiredRevision() ticket.Revision {
	most := ticket.Revision(0)
	for _, c := range m.claims {
		if c.revision > m.applied {
			most = max(most, c.revision)
		}
	}
	return most
}

// count takes over the claims that hold with what is known now.
func (m *AuthorityLease) count() {
	left := m.claims[:0]
	for _, c := range m.claims {
		if !m.satisfied(c) {
			left = append(left, c)
			continue
		}
		if c.round != 0 {
			m.stats.RoundCredits++
		} else {
			m.stats.RelayCredits++
		}
		if !m.held || c.until > m.credit {
			m.credit, m.held = c.until, true
		}
	}
	m.claims = left
}

func (m *AuthorityLease) satisfied(c claim) bool {
	if c.revision > m.applied {
		return false
	}
	if c.round == 0 {
		return true
	}
	sets := m.sets()
	return sets != nil && majorities(sets, c.words)
}

// union returns the members of all sets once.
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

// majorities reports whether more than half of each set is among the members.
func majorities(sets [][]ticket.RosterMember, members map[string]struct{}) bool {
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

// Witnesses returns the witnesses in force.
func (m *AuthorityLease) Witnesses() []ticket.RosterMember {
	if m.roster == nil {
		return nil
	}
	return m.roster.Witnesses
}
