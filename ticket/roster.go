package ticket

import "net/netip"

// Roster lists the instances that have a role for the whole fleet; the instances agree on it among themselves. A roster
// is accepted like a ticket, so that one rule decides for both whether an instance may act on what it knows.
type Roster struct {
	// Epoch increases by one with every roster.
	Epoch uint64 `json:"epoch"`
	// Coordinators are the instances that may grant leases on the quotas of client accounts.
	Coordinators []RosterMember `json:"homes,omitempty"`
	// Witnesses are the instances of which a majority confirms to others what is in force, so that the fleet can act
	// while the platform is unavailable.
	Witnesses []RosterMember `json:"witnesses,omitempty"`
}

// RosterMember is an instance on a roster.
type RosterMember struct {
	ID      string         `json:"id"`
	Domain  string         `json:"domain"`
	Control netip.AddrPort `json:"control"`
}
