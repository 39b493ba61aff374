package health

import (
	"math"
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
)

const (
	// warmupGrace is how long after an announcement, or after warming, the times of a backend server are ignored.
	warmupGrace = 5 * time.Second

	// A report changes at most once per minReportInterval, and only if the latency differs by the factor latencyStep or
	// the failure rate by failureRateStep from the last report.
	minReportInterval = time.Second
	latencyStep       = 1.3
	failureRateStep   = 0.004
)

// Monitor holds the detectors of all backend servers of an instance. It is not safe for concurrent use.
type Monitor struct {
	servers map[string]*monitoredServer // by backend server ID
	removed Stats                       // counts of backend servers that are no longer announced
}

// monitoredServer is an announced backend server with its detector and the report that was last published.
type monitoredServer struct {
	announcement backend.Announcement
	lease        string
	detector     *Detector
	reported     Report
	reportedAt   time.Time
}

// Event is a change of the verdict on one backend server.
type Event struct {
	Backend string
	Service string
	Change  Change
	Verdict Verdict
}

// NewMonitor returns a monitor without backend servers.
func NewMonitor() *Monitor { return &Monitor{servers: make(map[string]*monitoredServer)} }

// Sync replaces the set of announced backend servers. A server that announces itself again at the same address and for
// the same service keeps its detector, so that a restart does not end an ejection.
func (m *Monitor) Sync(now time.Time, servers []backend.Server) {
	next := make(map[string]*monitoredServer, len(servers))
	for _, announced := range servers {
		s := m.servers[announced.ID]
		if s == nil || s.announcement.Address != announced.Address || s.announcement.Service != announced.Service {
			s = &monitoredServer{detector: NewDetector(now.Add(warmupGrace)), lease: announced.Lease}
		}
		if s.lease != announced.Lease || announced.State == membership.Warming {
			s.detector.ExtendGrace(now.Add(warmupGrace))
		}
		s.announcement, s.lease = announced.Announcement, announced.Lease
		next[announced.ID] = s
	}
	for id, s := range m.servers {
		if n := next[id]; n == nil || n.detector != s.detector {
			m.removed.add(s.detector.Stats())
		}
	}
	m.servers = next
}

// Stats returns the sum of the counts of all backend servers so far.
func (m *Monitor) Stats() Stats {
	sum := m.removed
	for _, s := range m.servers {
		sum.add(s.detector.Stats())
	}
	return sum
}

// Detector returns the detector of a backend server, and whether there is such a server.
func (m *Monitor) Detector(id string) (*Detector, bool) {
	s, ok := m.servers[id]
	if !ok {
		return nil, false
	}
	return s.detector, true
}

// Tick judges the requests in flight and returns the verdicts that changed.
func (m *Monitor) Tick(now time.Time) []Event {
	var out []Event
	for id, s := range m.servers {
		if s.announcement.State == membership.Warming {
			s.detector.ExtendGrace(now.Add(warmupGrace))
		}
		if c := s.detector.Tick(now); c != Unchanged {
			out = append(out, m.event(id, c))
		}
	}
	return out
}

// event returns the event for a change of the verdict on a backend server.
func (m *Monitor) event(id string, c Change) Event {
	s := m.servers[id]
	return Event{Backend: id, Service: s.announcement.Service, Change: c, Verdict: s.detector.Verdict()}
}

// End records how a request ended. The event's Change may be Unchanged.
func (m *Monitor) End(now time.Time, id string, d *Detector, request RequestID, o backend.Outcome) Event {
	c := d.End(now, request, o)
	if s, ok := m.servers[id]; !ok || s.detector != d {
		return Event{}
	}
	return m.event(id, c)
}

// SetPeers sets the reports of each backend server's peers from a directory. self is the own instance.
func (m *Monitor) SetPeers(now time.Time, d *membership.Directory, self membership.ID) {
	for id, s := range m.servers {
		s.detector.SetPeers(now, peersOf(d.Endpoints(s.announcement.Service), self, id))
	}
}

// peersOf returns the medians of the active endpoints that report a latency, except for the backend server id of self.
func peersOf(endpoints []membership.Candidate, self membership.ID, id string) Peers {
	var latencies, failureRates []float64
	for _, c := range endpoints {
		if c.LatencyMicros == 0 || c.State != membership.Active || c.Instance.ID == self && c.Backend == id {
			continue
		}
		latencies = append(latencies, float64(c.LatencyMicros))
		failureRates = append(failureRates, float64(c.FailurePermille)/1000)
	}
	if len(latencies) == 0 {
		return Peers{}
	}
	return Peers{
		Count:       len(latencies),
		Latency:     time.Duration(median(latencies)) * time.Microsecond,
		FailureRate: median(failureRates),
	}
}

// median returns the lower median of a nonempty list and sorts it.
func median(x []float64) float64 {
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// ReportDue reports whether any report changed enough, and its last publication is long enough ago, to publish it.
func (m *Monitor) ReportDue(now time.Time) bool {
	for _, s := range m.servers {
		if s.reportDue(now) {
			return true
		}
	}
	return false
}

// reportDue reports whether the report of this backend server should be published.
func (s *monitoredServer) reportDue(now time.Time) bool {
	r := s.detector.Report()
	if r.Latency == 0 || now.Sub(s.reportedAt) < minReportInterval {
		return false
	}
	if s.reported.Latency == 0 || math.Abs(r.FailureRate-s.reported.FailureRate) >= failureRateStep {
		return true
	}
	ratio := float64(r.Latency) / float64(s.reported.Latency)
	return ratio >= latencyStep || ratio <= 1/latencyStep
}

// Annotate adds the verdict and the report of a backend server to its endpoint as published to other instances.
func (m *Monitor) Annotate(now time.Time, e membership.Endpoint) membership.Endpoint {
	s, ok := m.servers[e.Backend]
	if !ok {
		return e
	}
	if s.reportDue(now) {
		s.reported, s.reportedAt = s.detector.Report(), now
	}
	e.LatencyMicros = s.reported.Latency.Microseconds()
	e.FailurePermille = int(math.Round(1000 * s.reported.FailureRate))
	if v := s.detector.Verdict(); v.Ejected && e.State != membership.Draining {
		e.State, e.Badness, e.Trials = membership.Ejected, v.Badness, v.Trials
	}
	return e
}
