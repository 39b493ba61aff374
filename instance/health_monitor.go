package instance

import (
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/membership"
)

// healthMonitor makes a health.Monitor safe for concurrent use. It implements backend.Observer for the request path,
// which holds its lock only briefly and never waits for an actor.
type healthMonitor struct {
	mu      sync.Mutex
	monitor *health.Monitor // guarded by mu
	pending []health.Event  // guarded by mu
	wake    chan struct{}   // holds an element while events are pending
}

func newHealthMonitor() *healthMonitor {
	return &healthMonitor{monitor: health.NewMonitor(), wake: make(chan struct{}, 1)}
}

// observedRequest is one request at a backend server.
type observedRequest struct {
	monitor  *healthMonitor
	backend  string
	detector *health.Detector
	request  health.RequestID
}

// Begin implements backend.Observer.
func (m *healthMonitor) Begin(id, _ string, now time.Time) backend.Exchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.monitor.Detector(id)
	if !ok {
		return backend.NoObserver{}.Begin(id, "", now)
	}
	return &observedRequest{monitor: m, backend: id, detector: d, request: d.Begin(now)}
}

// Sent implements backend.Exchange.
func (r *observedRequest) Sent(now time.Time) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.detector.Sent(now, r.request)
}

// Head implements backend.Exchange.
func (r *observedRequest) Head(now time.Time) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.detector.Head(now, r.request)
}

// End implements backend.Exchange.
func (r *observedRequest) End(now time.Time, o backend.Outcome) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.monitor.add(r.monitor.monitor.End(now, r.backend, r.detector, r.request, o))
}

// add queues changes for the owner. The caller holds mu.
func (m *healthMonitor) add(events ...health.Event) {
	for _, e := range events {
		if e.Change == health.Unchanged {
			continue
		}
		m.pending = append(m.pending, e)
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// tick checks the requests in flight. It returns the changes since the last call, and whether a report is due.
func (m *healthMonitor) tick(now time.Time) (events []health.Event, reportDue bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(m.monitor.Tick(now)...)
	events, m.pending = m.pending, nil
	return events, m.monitor.ReportDue(now)
}

func (m *healthMonitor) sync(now time.Time, servers []backend.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.monitor.Sync(now, servers)
}

// endpoints adds health states and reports to the endpoints.
func (m *healthMonitor) endpoints(now time.Time, in []membership.Endpoint) []membership.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range in {
		in[i] = m.monitor.Annotate(now, in[i])
	}
	return in
}

func (m *healthMonitor) setPeers(now time.Time, d *membership.Directory, self membership.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.monitor.SetPeers(now, d, self)
}
