package instance

import (
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/membership"
)

// judge is the concurrent form of a health.Board. It implements backend.Observer on the request path, which takes
// its lock for a moment and never waits for an actor.
type judge struct {
	mu      sync.Mutex
	board   *health.Monitor // guarded by mu
	pending []health.Event  // guarded by mu
	wake    chan struct{}   // has one element while events are pending
}

func newJudge() *judge { return &judge{board: health.NewMonitor(), wake: make(chan struct{}, 1)} }

// watched is one request at a backend server.
type watched struct {
	judge    *judge
	backend  string
	detector *health.Detector
	flight   health.RequestID
}

// Begin implements backend.Observer.
func (j *judge) Begin(id, _ string, now time.Time) backend.Exchange {
	j.mu.Lock()
	defer j.mu.Unlock()
	d, ok := j.board.Detector(id)
	if !ok {
		return backend.NoObserver{}.Begin(id, "", now)
	}
	return &watched{judge: j, backend: id, detector: d, flight: d.Begin(now)}
}

// Sent implements backend.Exchange.
func (w *watched) Sent(now time.Time) {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	w.detector.Sent(now, w.flight)
}

// Head implements backend.Exchange.
func (w *watched) Head(now time.Time) {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	w.detector.Head(now, w.flight)
}

// End implements backend.Exchange.
func (w *watched) End(now time.Time, o backend.Outcome) {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	w.judge.add(w.judge.board.End(now, w.backend, w.detector, w.flight, o))
}

// add keeps changes for the owner; the caller holds mu.
func (j *judge) add(events ...health.Event) {
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
func (j *judge) tick(now time.Time) (events []health.Event, reportDue bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(j.board.Tick(now)...)
	events, j.pending = j.pending, nil
	return events, j.board.ReportDue(now)
}

func (j *judge) sync(now time.Time, servers []backend.Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.board.Sync(now, servers)
}

// endpoints adds verdicts and reports.
func (j *judge) endpoints(now time.Time, in []membership.Endpoint) []membership.Endpoint {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range in {
		in[i] = j.board.Annotate(now, in[i])
	}
	return in
}

func (j *judge) setPeers(now time.Time, d *membership.Directory, self membership.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.board.SetPeers(now, d, self)
}
