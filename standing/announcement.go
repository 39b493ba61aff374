package standing

import "amaranthstile/ticket"

// Announcement is one change on its way to the witnesses, before the write that accepts it.
type Announcement struct {
	entry ticket.Entry
	sets  [][]ticket.RosterMember
	acks  map[string]struct{}
}

// Announce begins to announce e, which follows the changes applied here. The write may be made once Done is true.
// The instance holds e as pending from now on. A roster is announced to its own witnesses too: not for safety, but
// because nobody could act on a roster whose witnesses can't be reached.
func (m *AuthorityLease) Announce(e ticket.Entry) *Announcement {
	a := &Announcement{entry: e, sets: m.sets(), acks: make(map[string]struct{})}
	if e.Roster != nil {
		a.sets = append(a.sets, e.Roster.Witnesses)
	}
	m.AddPending([]ticket.Entry{e})
	a.Acknowledge(m.self)
	return a
}

// Recipients returns the witnesses to tell.
func (a *Announcement) Recipients() []ticket.RosterMember { return union(a.sets) }

// Entry returns the change.
func (a *Announcement) Entry() ticket.Entry { return a.entry }

// Acknowledge tells that a witness holds the change as pending, or that its process certainly ended.
func (a *Announcement) Acknowledge(witness string) { a.acks[witness] = struct{}{} }

// Done reports whether majorities of all witnesses hold the change.
func (a *Announcement) Done() bool { return majorities(a.sets, a.acks) }
