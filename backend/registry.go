// Package backend holds the backend servers in the slots of one instance: how they announce themselves,
// and which of them take work.
//
// A backend server announces itself and renews its lease; one that stops renewing is taken out. The Registry
// is a plain state machine that takes the time as an argument.
package backend

import (
	"net/netip"
	"sort"
	"time"

	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// LeaseDuration is how long an announcement holds without a renewal.
	LeaseDuration = 3 * time.Second
	// RenewInterval is how often a backend server should renew.
	RenewInterval = time.Second

	// MaxWarmingTime is how long after its announcement a backend server counts as warming at most.
	MaxWarmingTime = time.Minute

	maxSlots     = 10_000
	maxNameBytes = 128
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// ID is the backend server's own name for itself, unique in its instance.
	ID string `json:"id"`
	// Service is the service that it serves.
	Service string `json:"service"`
	// Address is where it takes requests, an IP number with a port.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests it takes at once, from 1.
	Slots int `json:"slots"`
	// State is "active" (default), "warming" or "draining".
	State membership.EndpointState `json:"state,omitempty"`
	// EchoesExchange says that each answer repeats the request's Amaranth-Exchange header, by which
	// crossed answers are found.
	EchoesExchange bool `json:"echoesExchange,omitempty"`
}

// Lease is the answer to an announcement.
type Lease struct {
	// ID names the lease in renewals, drains and leaves.
	ID string `json:"lease"`
	// Millis is how long the lease holds without a renewal, in milliseconds.
	Millis int64 `json:"leaseMillis"`
	// RenewMillis is how often to renew, in milliseconds.
	RenewMillis int64 `json:"renewMillis"`
}

// Server is an announced backend server.
type Server struct {
	Announcement
	Lease     string
	ExpiresAt time.Time
	// WarmUntil is when its cold start is taken for over, whatever it says.
	WarmUntil time.Time
}

// Registry holds the announced backend servers by their identity. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	leases  map[string]string // identity by lease
	newID   func() string
}

// NewRegistry returns an empty registry; newID makes the identities of leases.
func NewRegistry(newID func() string) *Registry {
	return &Registry{
		servers: make(map[string]*Server),
		leases:  make(map[string]string),
		newID:   newID,
	}
}

// Validate checks an announcement; the error carries AnnounceInvalid.
func (a Announcement) Validate() error {
	if a.ID == "" || len(a.ID) > maxNameBytes {
		return result.New(result.AnnounceInvalid, "id: has 1 to %d bytes", maxNameBytes)
	}
	if a.Service == "" || len(a.Service) > maxNameBytes {
		return result.New(result.AnnounceInvalid, "service: has 1 to %d bytes", maxNameBytes)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		return result.New(result.AnnounceInvalid, "address: %v is not an IP number with a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return result.New(result.AnnounceInvalid, "slots: %d lies outside 1 to %d", a.Slots, maxSlots)
	}
	return validateState(a.State)
}

func validateState(s membership.EndpointState) error {
	switch s {
	case "", membership.Active, membership.Warming, membership.Draining:
		return nil
	}
	return result.New(result.AnnounceInvalid, "state: %q is none of active, warming, draining", s)
}

// Announce adds a backend server, or replaces it under the same address, and gives it a new lease. While the lease of
// an earlier announcement of the identity holds, another address is refused with IdentityTaken, and a draining
// backend server with IdentityDraining, so that a late or repeated announcement undoes no drain.
func (r *Registry) Announce(now time.Time, a Announcement) (Lease, error) {
	if err := a.Validate(); err != nil {
		return Lease{}, err
	}
	if a.State == "" {
		a.State = membership.Active
	}
	if old, ok := r.servers[a.ID]; ok {
		if err := old.mayReplace(now, a); err != nil {
			return Lease{}, err
		}
		delete(r.leases, old.Lease)
	}
	s := &Server{Announcement: a, Lease: r.newID(), ExpiresAt: now.Add(LeaseDuration), WarmUntil: now.Add(MaxWarmingTime)}
	r.servers[a.ID] = s
	r.leases[s.Lease] = a.ID
	return s.lease(), nil
}

func (s *Server) mayReplace(now time.Time, a Announcement) error {
	if now.After(s.ExpiresAt) {
		return nil
	}
	if s.Address != a.Address {
		return result.New(result.IdentityTaken, "%q is announced at another address", a.ID)
	}
	if s.State == membership.Draining && a.State != membership.Draining {
		return result.New(result.IdentityDraining, "%q is draining; announce again after leave or the end of its lease", a.ID)
	}
	return nil
}

func (s *Server) lease() Lease {
	return Lease{ID: s.Lease, Millis: LeaseDuration.Milliseconds(), RenewMillis: RenewInterval.Milliseconds()}
}

// Renew prolongs a lease and takes over the state; "" leaves the state as it is. A draining server stays
// draining, and none is warming for longer than WarmingTime.
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

// Drain takes a backend server out of new work.
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

// Expire removes the backend servers whose leases lapsed and returns them.
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

// EndWarming makes backend servers active whose cold start lasted too long, and reports whether there were any.
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
		return nil, result.New(result.LeaseUnknown, "no such lease")
	}
	return s, nil
}

// Servers returns copies of all backend servers in order of identity.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Endpoints returns the backend servers as other instances see them.
func (r *Registry) Endpoints() []membership.Endpoint {
	var out []membership.Endpoint
	for _, s := range r.Servers() {
		out = append(out, membership.Endpoint{Backend: s.ID, Service: s.Service, Slots: s.Slots, State: s.State})
	}
	return out
}
