package authority

import "amaranthstile/ticket"

// Announcement tracks the announcement of one change to the witnesses, which precedes the write that accepts the
// change.
type Announcement struct {
	entry ticket.Entry
	sets  [][]ticket.RosterMember // sets of witnesses; a majority of each is needed
	acks  map[string]struct{}     // identities of the witnesses that hold the change
}

// Announce starts the announcement of e, which follows the changes applied here. The write may be made once Done
// returns true. The instance holds e as pending from now on. A roster is also announced to its own witnesses. Safety
// doesn't require this, but no instance could act on a roster whose witnesses are unreachable.
func (l *Lease) Announce(e ticket.Entry) *Announcement {
	a := &Announcement{entry: e, sets: l.quorumSets(), acks: make(map[string]struct{})}
	if e.Roster != nil {
		a.sets = append(a.sets, e.Roster.Witnesses)
	}
	l.AddPending([]ticket.Entry{e})
	a.Acknowledge(l.self)
	return a
}

// Recipients returns the witnesses that must receive the change.
func (a *Announcement) Recipients() []ticket.RosterMember { return union(a.sets) }

// Entry returns the announced change.
func (a *Announcement) Entry() ticket.Entry { return a.entry }

// Acknowledge records that a witness holds the change as pending, or that its process has certainly ended.
func (a *Announcement) Acknowledge(witness string) { a.acks[witness] = struct{}{} }

// Done reports whether a majority of each set of witnesses has acknowledged the change.
func (a *Announcement) Done() bool { return hasMajorities(a.sets, a.acks) }
