package membership

import "net/netip"

// Action is what the owner of a State carries out: one of the types below.
type Action interface{ action() }

// Send sends a datagram.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// SyncWith asks for a synchronization with an instance; ID is empty where only the address is known.
type SyncWith struct {
	ID      ID
	Address netip.AddrPort
}

// DirectoryChanged says that the directory changed.
type DirectoryChanged struct{}

// Joined says that a member was seen for the first time, or came back after a failure.
type Joined struct{ Record *Record }

// Suspected says that a member is suspected to have failed.
type Suspected struct{ ID ID }

// Ended says that a member left or failed.
type Ended struct {
	ID ID
	// Left tells a planned end from a failure.
	Left bool
}

// Refuted says that this instance was suspected and refuted.
type Refuted struct{ Incarnation uint64 }

// AddressConflict says that two processes claim one control address.
type AddressConflict struct{ ID, Other ID }

// NewerRevision says that another instance has a later ticket revision in force.
type NewerRevision struct {
	ID       ID
	Address  netip.AddrPort
	Revision uint64
}

func (Send) action()             {}
func (SyncWith) action()         {}
func (DirectoryChanged) action() {}
func (Joined) action()           {}
func (Suspected) action()        {}
func (Ended) action()            {}
func (Refuted) action()          {}
func (AddressConflict) action()  {}
func (NewerRevision) action()    {}

// Stats counts what a State did; sizes are bytes with the headers of UDP and IP.
type Stats struct {
	Members        int    `json:"members"`
	Suspects       int    `json:"suspects"`
	Tombstones     int    `json:"tombstones"`
	Health         int    `json:"health"`
	Queue          int    `json:"queue"`
	Sent           uint64 `json:"sent"`
	BytesSent      uint64 `json:"bytesSent"`
	Received       uint64 `json:"received"`
	Probes         uint64 `json:"probes"`
	IndirectProbes uint64 `json:"indirectProbes"`
	ProbesFailed   uint64 `json:"probesFailed"`
	Suspected      uint64 `json:"suspected"`
	Refuted        uint64 `json:"refuted"`
	Failed         uint64 `json:"failed"`
	WrongTarget    uint64 `json:"wrongTarget"`
	AnswersDropped uint64 `json:"answersDropped"`
	RecordsRefused uint64 `json:"recordsRefused"`
	LateTicks      uint64 `json:"lateTicks"`
}
