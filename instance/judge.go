package instance

import (
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/membership"
)

// healthMonitor is the concurrent form of a health.Board. It implements backend.Observer on the request path, which takes
// its lock for a moment and never waits for an actor.
type healthMonitor struct {
	mu      sync.Mutex
	monitor   *health.Monitor // guarded by mu
	pending []health.Event  // guarded by mu
	wake    chan struct{}   // has one element while events are pending
}

func newHealthMonitor() *healthMonitor { return &healthMonitor{monitor: health.NewMonitor(), wake: make(chan struct{}, 1)} }

// observedRequest is one request at a backend server.
type observedRequest struct {
	monitor    *healthMonitor
	backend  string
	detector *health.Detector
	request   health.RequestID
}

// Begin implements backend.Observer.
func (j *healthMonitor) Begin(id, _ string, now time.Time) backend.Exchange {
	j.mu.Lock()
	defer j.mu.Unlock()
	d, ok := j.monitor.Detector(id)
	if !ok {
		return backend.NoObserver{}.Begin(id, "", now)
	}
	return &observedRequest{monitor: j, backend: id, detector: d, request: d.Begin(now)}
}

// Sent implements backend.Exchange.
func (w *observedRequest) Sent(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.detector.Sent(now, w.request)
}

// Head implements backend.Exchange.
func (w *observedRequest) Head(now time.Time) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.detector.Head(now, w.request)
}

// End implements backend.Exchange.
func (w *observedRequest) End(now time.Time, o backend.Outcome) {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.monitor.add(w.monitor.monitor.End(now, w.backend, w.detector, w.request, o))
}

// add keeps changes for the owner; the caller holds mu.
func (j *healthMonitor) add(events ...health.Event) {
	for _, e := range events {
		if e.Change == health.Unchanged {
			continue
		}
		j.pending = append(j.pending, e)
		select {
		case j.wake <- struct{}{}:
		default:
		}
	}
}

// tick judges what is in flight and returns the changes since the last call, and whether a report is due.
func (j *healthMonitor) tick(now time.Time) (events []health.Event, reportDue bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(j.monitor.Tick(now)...)
	events, j.pending = j.pending, nil
	return events, j.monitor.ReportDue(now)
}

func (j *healthMonitor) sync(now time.Time, servers []backend.Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.monitor.Sync(now, servers)
}

// endpoints adds verdicts and reports.
func (j *healthMonitor) endpoints(now time.Time, in []membership.Endpoint) []membership.Endpoint {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range in {
		in[i] = j.monitor.Annotate(now, in[i])
	}
	return in
}

func (j *healthMonitor) setPeers(now time.Time, d *membership.Directory, self membership.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.monitor.SetPeers(now, d, self)
}
