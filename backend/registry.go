// Package backend manages the backend servers that are attached to one instance: their registration, which of them
// accept new requests, and the slots that limit how many requests each of them runs at once.
//
// A backend server announces itself and renews its lease; it is removed when its lease expires. The Registry is a
// plain state machine that takes the time as an argument.
package backend

import (
	"net/netip"
	"sort"
	"time"

	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// LeaseDuration is how long a lease is valid after an announcement or a renewal.
	LeaseDuration = 3 * time.Second
	// RenewInterval is how often a backend server should renew its lease.
	RenewInterval = time.Second

	// MaxWarmingTime is the longest time after its announcement that a backend server counts as warming.
	MaxWarmingTime = time.Minute

	// Limits of the fields of an Announcement.
	maxSlots     = 10_000
	maxNameBytes = 128
)

// Announcement is what a backend server declares about itself when it registers.
type Announcement struct {
	// ID identifies the backend server. It chooses the ID itself; the ID is unique in its instance.
	ID string `json:"id"`
	// Service is the service that the backend server serves.
	Service string `json:"service"`
	// Address is where the backend server accepts requests, an IP address with a port.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that the backend server runs at once, at least 1.
	Slots int `json:"slots"`
	// State is "active" (default), "warming" or "draining".
	State membership.EndpointState `json:"state,omitempty"`
	// EchoesExchange is set if each response repeats the Amaranth-Exchange header of its request, which allows
	// responses to another request to be detected.
	EchoesExchange bool `json:"echoesExchange,omitempty"`
}

// Lease is the response to an announcement or a renewal.
type Lease struct {
	// ID identifies the lease in renew, drain and leave calls.
	ID string `json:"lease"`
	// Millis is how long the lease is valid without a renewal, in milliseconds.
	Millis int64 `json:"leaseMillis"`
	// RenewMillis is the interval at which to renew, in milliseconds.
	RenewMillis int64 `json:"renewMillis"`
}

// Server is an announced backend server.
type Server struct {
	Announcement
	Lease     string
	ExpiresAt time.Time
	// WarmUntil is when the cold start counts as over, even if the backend server still reports that it is warming.
	WarmUntil time.Time
}

// Registry holds the announced backend servers by ID. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	leases  map[string]string // server ID by lease ID
	newID   func() string
}

// NewRegistry returns an empty registry. newID generates lease IDs.
func NewRegistry(newID func() string) *Registry {
	return &Registry{
		servers: make(map[string]*Server),
		leases:  make(map[string]string),
		newID:   newID,
	}
}

// Validate checks an announcement. Its error carries AnnounceInvalid.
func (a Announcement) Validate() error {
	if a.ID == "" || len(a.ID) > maxNameBytes {
		return result.New(result.AnnounceInvalid, "id: must have 1 to %d bytes", maxNameBytes)
	}
	if a.Service == "" || len(a.Service) > maxNameBytes {
		return result.New(result.AnnounceInvalid, "service: must have 1 to %d bytes", maxNameBytes)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		return result.New(result.AnnounceInvalid, "address: %v is not an IP address with a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return result.New(result.AnnounceInvalid, "slots: %d is not in the range 1 to %d", a.Slots, maxSlots)
	}
	return validateState(a.State)
}

func validateState(s membership.EndpointState) error {
	switch s {
	case "", membership.Active, membership.Warming, membership.Draining:
		return nil
	}
	return result.New(result.AnnounceInvalid, "state: %q is not one of active, warming, draining", s)
}

// Announce registers a backend server, or replaces the registration of the same ID, and grants a new lease. While an
// earlier lease of the ID is valid, an announcement with another address is refused with IdentityTaken, and an
// announcement of a draining backend server as not draining with IdentityDraining, so that a late or repeated
// announcement cannot undo a drain.
func (r *Registry) Announce(now time.Time, a Announcement) (Lease, error) {
	if err := a.Validate(); err != nil {
		return Lease{}, err
	}
	if a.State == "" {
		a.State = membership.Active
	}
	if old, ok := r.servers[a.ID]; ok {
		if err := old.checkReplacement(now, a); err != nil {
			return Lease{}, err
		}
		delete(r.leases, old.Lease)
	}
	s := &Server{Announcement: a, Lease: r.newID(), ExpiresAt: now.Add(LeaseDuration), WarmUntil: now.Add(MaxWarmingTime)}
	r.servers[a.ID] = s
	r.leases[s.Lease] = a.ID
	return s.lease(), nil
}

// checkReplacement returns an error if the announcement a must not replace the registration s.
func (s *Server) checkReplacement(now time.Time, a Announcement) error {
	if now.After(s.ExpiresAt) {
		return nil
	}
	if s.Address != a.Address {
		return result.New(result.IdentityTaken, "%q is already announced at another address", a.ID)
	}
	if s.State == membership.Draining && a.State != membership.Draining {
		return result.New(result.IdentityDraining,
			"%q is draining; announce it again after it left or its lease expired", a.ID)
	}
	return nil
}

func (s *Server) lease() Lease {
	return Lease{ID: s.Lease, Millis: LeaseDuration.Milliseconds(), RenewMillis: RenewInterval.Milliseconds()}
}

// Renew extends a lease and updates the state; an empty state leaves it unchanged. A draining server stays draining,
// and no server stays warming for longer than MaxWarmingTime.
func (r *Registry) Renew(now time.Time, lease string, state membership.EndpointState) (Lease, error) {
	if err := validateState(state); err != nil {
		return Lease{}, err
	}
	s, err := r.byLease(lease)
	if err != nil {
		return Lease{}, err
	}
	s.ExpiresAt = now.Add(LeaseDuration)
	if state == membership.Warming && !now.Before(s.WarmUntil) {
		state = membership.Active
	}
	if state != "" && s.State != membership.Draining {
		s.State = state
	}
	return s.lease(), nil
}

// Drain stops new requests from being sent to a backend server.
func (r *Registry) Drain(lease string) error {
	s, err := r.byLease(lease)
	if err != nil {
		return err
	}
	s.State = membership.Draining
	return nil
}

// Leave removes a backend server.
func (r *Registry) Leave(lease string) error {
	s, err := r.byLease(lease)
	if err != nil {
		return err
	}
	r.remove(s)
	return nil
}

// Expire removes the backend servers whose leases have expired and returns them.
func (r *Registry) Expire(now time.Time) []Server {
	var out []Server
	for _, s := range r.Servers() {
		if now.After(s.ExpiresAt) {
			out = append(out, s)
			r.remove(&s)
		}
	}
	return out
}

// EndWarming sets to active the servers that have been warming for MaxWarmingTime. It reports whether any changed.
func (r *Registry) EndWarming(now time.Time) (changed bool) {
	for _, s := range r.servers {
		if s.State == membership.Warming && !now.Before(s.WarmUntil) {
			s.State = membership.Active
			changed = true
		}
	}
	return changed
}

func (r *Registry) remove(s *Server) {
	delete(r.servers, s.ID)
	delete(r.leases, s.Lease)
}

func (r *Registry) byLease(lease string) (*Server, error) {
	s, ok := r.servers[r.leases[lease]]
	if !ok {
		return nil, result.New(result.LeaseUnknown, "unknown lease; it may have expired or been replaced")
	}
	return s, nil
}

// Servers returns copies of all backend servers, sorted by ID.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Endpoints returns the backend servers as endpoints to publish to other instances.
func (r *Registry) Endpoints() []membership.Endpoint {
	var out []membership.Endpoint
	for _, s := range r.Servers() {
		out = append(out, membership.Endpoint{Backend: s.ID, Service: s.Service, Slots: s.Slots, State: s.State})
	}
	return out
}
