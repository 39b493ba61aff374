package health

import (
	"math"
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
)

const (
	// coldGrace is how long after an announcement times do not count.
	coldGrace = 5 * time.Second

	// reportEvery bounds how often the report of a backend server changes, levelStep and failingStep how much
	// it has to differ from the last one.
	reportEvery = time.Second
	levelStep   = 1.3   // factor
	failingStep = 0.004 // share
)

// Monitor holds the detectors of all backend servers beside an instance. It is not safe for concurrent use.
type Monitor struct {
	held map[string]*heldServer // by identity
	gone Stats                  // of backend servers that are no longer announced
}

type heldServer struct {
	server   backend.Announcement
	lease    string
	detector *Detector
	reported Report
	at       time.Time // of the last report
}

// Event is a change of one verdict.
type Event struct {
	Backend string
	Service string
	Change  Change
	Verdict Verdict
}

// NewMonitor returns a board without backend servers.
func NewMonitor() *Monitor { return &Monitor{held: make(map[string]*heldServer)} }

// Sync takes over the announced backend servers. What is known of one outlives a new announcement of the same server,
// so that a restart clears no ejection.
func (b *Monitor) Sync(now time.Time, servers []backend.Server) {
	next := make(map[string]*heldServer, len(servers))
	for _, s := range servers {
		h := b.held[s.ID]
		if h == nil || h.server.Address != s.Address || h.server.Service != s.Service {
			h = &heldServer{detector: NewDetector(now.Add(coldGrace)), lease: s.Lease}
		}
		if h.lease != s.Lease || s.State == membership.Warming {
			h.detector.ExtendGrace(now.Add(coldGrace))
		}
		h.server, h.lease = s.Announcement, s.Lease
		next[s.ID] = h
	}
	for id, h := range b.held {
		if n := next[id]; n == nil || n.detector != h.detector {
			b.gone.add(h.detector.Stats())
		}
	}
	b.held = next
}

// Stats returns the counts of all backend servers so far.
func (b *Monitor) Stats() Stats {
	sum := b.gone
	for _, h := range b.held {
		sum.add(h.detector.Stats())
	}
	return sum
}

// Detector returns the detector of a backend server.
func (b *Monitor) Detector(id string) (*Detector, bool) {
	h, ok := b.held[id]
	if !ok {
		return nil, false
	}
	return h.detector, true
}

// Tick judges what is in flight and returns the changed verdicts.
func (b *Monitor) Tick(now time.Time) []Event {
	var out []Event
	for id, h := range b.held {
		if h.server.State == membership.Warming {
			h.detector.ExtendGrace(now.Add(coldGrace))
		}
		if c := h.detector.Tick(now); c != Unchanged {
			out = append(out, b.event(id, c))
		}
	}
	return out
}

func (b *Monitor) event(id string, c Change) Event {
	h := b.held[id]
	return Event{Backend: id, Service: h.server.Service, Change: c, Verdict: h.detector.Verdict()}
}

// End notes how a request ended; the event's change may be Unchanged.
func (b *Monitor) End(now time.Time, id string, d *Detector, f RequestID, o backend.Outcome) Event {
	c := d.End(now, f, o)
	if h, ok := b.held[id]; !ok || h.detector != d {
		return Event{}
	}
	return b.event(id, c)
}

// SetPeers takes the reports of the other endpoints of each service from a directory; self is the own instance.
func (b *Monitor) SetPeers(now time.Time, d *membership.Directory, self membership.ID) {
	for id, h := range b.held {
		h.detector.SetPeers(now, peersOf(d.Endpoints(h.server.Service), self, id))
	}
}

// peersOf takes the medians over the endpoints in use that report a level.
func peersOf(endpoints []membership.Candidate, self membership.ID, id string) Peers {
	var levels, failing []float64
	for _, c := range endpoints {
		if c.LatencyMicros == 0 || c.State != membership.Active || c.Instance.ID == self && c.Backend == id {
			continue
		}
		levels = append(levels, float64(c.LatencyMicros))
		failing = append(failing, float64(c.FailurePermille)/1000)
	}
	if len(levels) == 0 {
		return Peers{}
	}
	return Peers{Count: len(levels), Latency: time.Duration(median(levels)) * time.Microsecond, FailureRate: median(failing)}
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// ReportDue reports whether a report changed enough, and the last one is old enough, to tell others.
func (b *Monitor) ReportDue(now time.Time) bool {
	for _, h := range b.held {
		if h.reportDue(now) {
			return true
		}
	}
	return false
}

func (h *heldServer) reportDue(now time.Time) bool {
	r := h.detector.Report()
	if r.Latency == 0 || now.Sub(h.at) < reportEvery {
		return false
	}
	if h.reported.Latency == 0 || math.Abs(r.FailureRate-h.reported.FailureRate) >= failingStep {
		return true
	}
	ratio := float64(r.Latency) / float64(h.reported.Latency)
	return ratio >= levelStep || ratio <= 1/levelStep
}

// Annotate adds verdict and report to an endpoint as others see it.
func (b *Monitor) Annotate(now time.Time, e membership.Endpoint) membership.Endpoint {
	h, ok := b.held[e.Backend]
	if !ok {
		return e
	}
	if h.reportDue(now) {
		h.reported, h.at = h.detector.Report(), now
	}
	e.LatencyMicros = h.reported.Latency.Microseconds()
	e.FailurePermille = int(math.Round(1000 * h.reported.FailureRate))
	if v := h.detector.Verdict(); v.Ejected && e.State != membership.Draining {
		e.State, e.Badness, e.Trials = membership.Ejected, v.Badness, v.Trials
	}
	return e
}
