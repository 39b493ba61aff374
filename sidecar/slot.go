package sidecar

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/event"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// Report is what the backend server beside the instance says of itself.
type Report struct {
	// ID names one start of the backend server; it may come again after a restart.
	ID string
	// StartTime is when that start was; reports of an earlier start are late.
	StartTime time.Time
	// Sequence grows with each report of one start.
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Slots    int
	Draining bool
	// WarmupRemaining is how much longer the backend server is slow after its start.
	WarmupRemaining time.Duration
}

// BackendState is the decision on what the reports of a backend server mean. It is a plain state machine and not safe for
// concurrent use. The zero value knows nobody.
//
// A backend server that is silent stays in use: reports are lost in cuts while requests still arrive, and the gate finds
// out sooner whether it is there.
type BackendState struct {
	Report
	// Left says that the backend server has said that it leaves; it gets no new work.
	Left bool
}

// Known tells whether a backend server has reported.
func (r *BackendState) Known() bool { return r.ID != "" }

// AcceptsRequests tells whether it may get new work.
func (r *BackendState) AcceptsRequests() bool { return r.Known() && !r.Left && !r.Draining }

// same tells whether a report is of the start that is known.
func (r *BackendState) same(id string, born time.Time) bool {
	return r.ID == id && r.StartTime.Equal(born)
}

// Apply takes a report over and says whether it told anything new; late tells that it was overtaken.
func (r *BackendState) Apply(n Report) (changed, late bool) {
	if !r.same(n.ID, n.StartTime) {
		if r.Known() && n.StartTime.Before(r.StartTime) {
			return false, true
		}
		*r = BackendState{Report: n}
		return true, false
	}
	if n.Sequence <= r.Sequence {
		return false, true
	}
	before := *r
	draining := r.Draining || n.Draining // no report takes a drain back
	r.Report = n
	r.Draining = draining
	return before.Draining != r.Draining || before.Service != r.Service || before.Address != r.Address ||
		before.Slots != r.Slots || (before.WarmupRemaining > 0) != (r.WarmupRemaining > 0), false
}

// Leave notes that a start of a backend server leaves. A leave without the time of the start is of the known one.
func (r *BackendState) Leave(id string, born time.Time) (changed bool) {
	if r.ID != id || !born.IsZero() && born.Before(r.StartTime) || r.Left {
		return false
	}
	r.Left = true
	return true
}

// slot owns the backend server beside the instance: what it reported, its gate and its connections.
type slot struct {
	event *event.Logger
	bound func() admission.RetryBound
	tell  func([]membership.Endpoint)

	mu       sync.Mutex
	resident BackendState // guarded by mu
	gate     *admission.Gate
	unit     *backend.Upstream
	set      atomic.Pointer[backend.UpstreamSet]
}

// connectionsOfBackend is how many idle connections to the backend server are kept: more than it has slots.
const connectionsOfBackend = 16

func newSlot(e *event.Logger, bound func() admission.RetryBound, tell func([]membership.Endpoint)) *slot {
	s := &slot{event: e, bound: bound, tell: tell}
	s.set.Store(&backend.UpstreamSet{})
	return s
}

// units is the present backend server for the exit side.
func (s *slot) units() backend.UpstreamSet { return *s.set.Load() }

// Begin implements backend.Observer.
func (s *slot) Begin(id, route string, now time.Time) backend.Exchange {
	if u, ok := s.units()[id]; ok {
		if g, ok := u.Gate.(*admission.Gate); ok {
			return g.Begin(id, route, now)
		}
	}
	return backend.NoObserver{}.Begin(id, route, now)
}

// callFailed notes that a call of the backend server has failed.
func (s *slot) callFailed(now time.Time) {
	for _, u := range s.units() {
		if g, ok := u.Gate.(*admission.Gate); ok {
			g.NestedCallFailed(now)
		}
	}
}

// Report takes over what the backend server says of itself. When it returns, nothing new is sent to one that drains.
func (s *slot) Report(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, late := s.resident.Apply(r)
	id := event.BackendReported
	if late {
		id = event.BackendReportIgnored
	}
	if changed || late {
		s.event.Log(id, event.F("backend", r.ID), event.F("service", r.Service), event.F("address", r.Address.String()), event.F("sequence", r.Sequence), event.F("born", r.StartTime.UnixMilli()), event.F("draining", r.Draining), event.F("cold", r.WarmupRemaining.Seconds()))
	}
	if changed {
		s.publish()
	}
}

// Leave takes over that the backend server leaves.
func (s *slot) Leave(id string, born time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resident.Leave(id, born) {
		s.event.Log(event.BackendLeft, event.F("backend", id))
		s.publish()
	}
}

// gone notes that another backend server answers at the address.
func (s *slot) gone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resident.ID == id && s.resident.Leave(id, time.Time{}) {
		s.event.Log(event.BackendLeft, event.F("backend", id), event.F("reason", "another backend server is at its address"))
		s.publish()
	}
}

// publish swaps the set and tells the other instances; the caller holds the lock.
func (s *slot) publish() {
	r := &s.resident
	state := membership.Active
	switch {
	case !r.AcceptsRequests():
		state = membership.Draining
	case r.WarmupRemaining > 0:
		state = membership.Warming
	}
	a := backend.Announcement{ID: r.ID, Service: r.Service, Address: r.Address, Slots: max(r.Slots, 1), State: state}
	if s.unit == nil || s.unit.ID != a.ID || s.unit.Address != a.Address || s.unit.Service != a.Service {
		s.gate = admission.NewGate(a.Slots, s.bound, s.rested(a.ID))
		if s.unit != nil {
			s.unit.Transport.CloseIdleConnections()
		}
		s.unit = &backend.Upstream{Announcement: a, Gate: s.gate, Transport: newBackendTransport()}
	} else {
		if s.unit.Slots != a.Slots {
			s.gate.SetSlots(a.Slots)
		}
		s.unit = &backend.Upstream{Announcement: a, Gate: s.gate, Transport: s.unit.Transport}
	}
	s.set.Store(&backend.UpstreamSet{a.ID: s.unit})
	s.tell([]membership.Endpoint{{Backend: a.ID, Service: a.Service, Slots: a.Slots, State: state}})
}

func (s *slot) rested(id string) func(time.Duration, backend.Outcome) {
	return func(rest time.Duration, o backend.Outcome) {
		s.event.Log(event.BackendRests, event.F("backend", id), event.F("outcome", o.String()), event.F("rest_ms", rest.Milliseconds()))
	}
}

func newBackendTransport() *http.Transport {
	return link.NewTransport(connectionsOfBackend, link.BackendIdleTimeout)
}

// ValidateReport refuses a report that names no endpoint to use; the error carries AnnounceInvalid.
func ValidateReport(r Report) error {
	return backend.Announcement{ID: r.ID, Service: r.Service, Address: r.Address, Slots: r.Slots}.Validate()
}
