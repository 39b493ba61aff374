package backend

import (
	"net/http"

	"amaranthstile/membership"
)

// Upstream is an announced backend server together with its gate and connections, as used to forward requests.
// Upstreams are published in an immutable UpstreamSet; Gate and Transport are kept when the state or the number of
// slots in the announcement changes.
type Upstream struct {
	Announcement
	// Gate limits how many requests the backend server runs at once.
	Gate      Gate
	Transport *http.Transport
	fairGate  *FairGate // the Gate, if WithServers created it
}

// TakesWork reports whether the backend server accepts new requests.
func (u *Upstream) TakesWork() bool { return u.State != membership.Draining }

// UpstreamSet is an immutable set of upstreams by backend server ID.
type UpstreamSet map[string]*Upstream

// WithServers returns the set for the given servers. Upstreams whose address and service did not change keep their
// queues and connections.
func (s UpstreamSet) WithServers(servers []Server, transport func() *http.Transport) UpstreamSet {
	out := make(UpstreamSet, len(servers))
	for _, server := range servers {
		out[server.ID] = s[server.ID].withAnnouncement(server.Announcement, transport)
	}
	for id, u := range s {
		if next := out[id]; next == nil || next.Transport != u.Transport {
			u.Transport.CloseIdleConnections()
		}
	}
	return out
}

// withAnnouncement returns the upstream for an announcement; u is the previous one, or nil.
func (u *Upstream) withAnnouncement(a Announcement, transport func() *http.Transport) *Upstream {
	if u == nil || u.Address != a.Address || u.Service != a.Service {
		gate := NewFairGate(a.Slots)
		return &Upstream{Announcement: a, Gate: gate, fairGate: gate, Transport: transport()}
	}
	if u.Slots != a.Slots {
		u.fairGate.SetSlots(a.Slots)
	}
	return &Upstream{Announcement: a, Gate: u.Gate, fairGate: u.fairGate, Transport: u.Transport}
}
