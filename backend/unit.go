package backend

import (
	"net/http"

	"amaranthstile/membership"
)

// Upstream is an announced backend server with what the request path needs of it. Units are published in an
// immutable Set; Gate and Transport outlive a change of the announcement's state and number of slots.
type Upstream struct {
	Announcement
	// Gate bounds what the backend server has at once.
	Gate      Gate
	Transport *http.Transport
	slots     *FairGate
}

// TakesWork reports whether new requests may be handed over.
func (u *Upstream) TakesWork() bool { return u.State != membership.Draining }

// UpstreamSet is an immutable view of the units by identity.
type UpstreamSet map[string]*Upstream

// WithServers builds the view of the servers, keeping the queues and connections of units whose address and service
// stayed as they were.
func (s UpstreamSet) WithServers(servers []Server, transport func() *http.Transport) UpstreamSet {
	out := make(UpstreamSet, len(servers))
	for _, server := range servers {
		out[server.ID] = s[server.ID].next(server.Announcement, transport)
	}
	for id, u := range s {
		if next := out[id]; next == nil || next.Transport != u.Transport {
			u.Transport.CloseIdleConnections()
		}
	}
	return out
}

func (u *Upstream) next(a Announcement, transport func() *http.Transport) *Upstream {
	if u == nil || u.Address != a.Address || u.Service != a.Service {
		slots := NewFairGate(a.Slots)
		return &Upstream{Announcement: a, Gate: slots, slots: slots, Transport: transport()}
	}
	if u.Slots != a.Slots {
		u.slots.SetSlots(a.Slots)
	}
	return &Upstream{Announcement: a, Gate: u.Gate, slots: u.slots, Transport: u.Transport}
}
