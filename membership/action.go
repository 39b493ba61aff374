package membership

import "net/netip"

// Action is an effect that the owner of a State must carry out. It is one of the types below.
type Action interface{ action() }

// Send requests that a datagram be sent.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// SyncWith requests a synchronization with another instance. ID is empty if only the address is known.
type SyncWith struct {
	ID      ID
	Address netip.AddrPort
}

// DirectoryChanged reports that State.Directory returns a new view.
type DirectoryChanged struct{}

// Joined reports a member whose record arrived for the first time, or arrived again after a failure.
type Joined struct{ Record *Record }

// Suspected reports that a member is suspected to have failed.
type Suspected struct{ ID ID }

// Ended reports that a member left or failed.
type Ended struct {
	ID ID
	// Left is true if the member announced its end, and false if it failed.
	Left bool
}

// Refuted reports that this instance was suspected or declared failed and has refuted it with a higher incarnation.
type Refuted struct{ Incarnation uint64 }

// AddressConflict reports that the processes ID and Other claim the same control address.
type AddressConflict struct{ ID, Other ID }

// NewerRevision reports that another instance has a later ticket revision in force.
type NewerRevision struct {
	ID       ID
	Address  netip.AddrPort
	Revision uint64
}

// ReadingReceived reports a reading of the store by another instance, with the control address of the one that sent it.
type ReadingReceived struct {
	Sender  netip.AddrPort
	Reading Reading
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
func (ReadingReceived) action()  {}

// Stats holds the counters and gauges of a State. BytesSent includes the UDP and IP headers.
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
