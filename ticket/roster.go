package ticket

import "net/netip"

// Roster is what the instances agree on among themselves: who may hold clients' rate shares and who witnesses.
// It is accepted like a ticket, so that one rule tells whether an instance may act on the one it knows.
type Roster struct {
	// Epoch grows by one with every roster.
	Epoch uint64 `json:"epoch"`
	// Coordinators are the instances that may hold the shares of client accounts.
	Coordinators []RosterMember `json:"homes,omitempty"`
	// Witnesses are the instances whose majority stands in for the platform while it is away.
	Witnesses []RosterMember `json:"witnesses,omitempty"`
}

// RosterMember is an instance on a roster.
type RosterMember struct {
	ID      string         `json:"id"`
	Domain  string         `json:"domain"`
	Control netip.AddrPort `json:"control"`
}
