package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"amaranthstile/result"
)

// Report is what the backend server beside the instance reports about itself.
type Report struct {
	// ID identifies one process of the backend server; a restarted one may use it again.
	ID string
	// StartTime is when that process started; reports of a process that started earlier are out of date.
	StartTime time.Time
	// Sequence grows with each report of one process.
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Slots    int
	Draining bool
	// WarmupRemaining is how much longer the backend server is slow after its start.
	WarmupRemaining time.Duration
}

// process returns the process that the report describes.
func (r *Report) process() BackendProcess { return newBackendProcess(r.ID, r.StartTime) }

// BackendState is the state of the backend server, derived from its reports. It is a plain state machine and not safe
// for concurrent use. The zero value knows no backend server.
//
// A backend server that stops reporting stays in use: during a network partition reports can be lost while requests
// still arrive, and the admission gate notices sooner whether the backend server is reachable.
//
// A report or leave call for which no error is returned may be acknowledged: what it says is in force, and no later
// arrival of an earlier message changes that.
type BackendState struct {
	Report
	// Left is set when the backend server has reported that it is leaving; it gets no new requests.
	Left bool
	// PastUnknown is set until it is known which processes had left before this instance started. A report is then applied
	// once a second one confirms that its process is present: the first one may be a late report of a process that has left.
	PastUnknown bool
	// ClaimPeriod is the time between two reports by which a process confirms that it is present.
	ClaimPeriod time.Duration
	// departed are the processes that reported a drain or a leave, also those that reported nothing else.
	departed Departures
	// replaced are the processes that were known before the known one.
	replaced Departures
	claim    claim
}

// claim is a report whose process is not confirmed yet.
type claim struct {
	report Report
	since  time.Time // when the first report of the process arrived
}

// claimPeriod returns the time between two reports by which a process confirms that it is present, from the interval at
// which the backend server reports: within it, another process that runs would have reported, too.
func claimPeriod(heartbeatInterval time.Duration) time.Duration {
	if heartbeatInterval <= 0 {
		heartbeatInterval = defaultHeartbeatInterval
	}
	return heartbeatInterval * 3 / 2
}

// Known reports whether a backend server has reported.
func (s *BackendState) Known() bool { return s.ID != "" }

// isKnown reports whether a process is the known one.
func (s *BackendState) isKnown(p BackendProcess) bool { return s.Known() && p == s.process() }

// AcceptsRequests reports whether the backend server may get new requests.
func (s *BackendState) AcceptsRequests() bool { return s.Known() && !s.Left && !s.Draining }

// Apply applies a report and returns whether it changed the state. The error carries ReportOutdated if the report is
// ignored, because a newer one arrived before it or its process has left, and ReportUnconfirmed if another report of the
// process has to confirm it.
func (s *BackendState) Apply(now time.Time, r Report) (changed bool, err error) {
	p := r.process()
	switch {
	case s.isKnown(p):
		return s.update(r)
	case s.departed.contains(p):
		if r.Draining {
			return false, nil // a repeated report of a drain that is in force
		}
		return false, result.New(result.ReportOutdated, "the backend server %s has left", r.ID)
	case s.isDoubtful(r) && !s.confirm(now, r):
		return false, result.New(result.ReportUnconfirmed, "it is not clear yet that the process of the backend server %s runs", r.ID)
	}
	s.replace(r)
	return true, nil
}

// isDoubtful reports whether a report of another process than the known one may be a late one, of a process that ended
// before. That is so also if the ID is that of a process which has left: a request for the new process would reach the one
// that is leaving, as they share the ID and may share the address.
func (s *BackendState) isDoubtful(r Report) bool {
	return s.PastUnknown && !r.Draining || s.seemsEarlier(r.process()) || s.departed.containsID(r.ID)
}

// seemsEarlier reports whether a process seems to have run before the known one. Its start time does not show that it
// did: the time of day may have been set back between the two starts.
func (s *BackendState) seemsEarlier(p BackendProcess) bool {
	return s.Known() && (p.StartMillis < s.process().StartMillis || s.replaced.contains(p))
}

// confirm records the claim of a process to be the present one, and reports whether it is confirmed. A newer report of the
// known process withdraws the claim.
func (s *BackendState) confirm(now time.Time, r Report) bool {
	if s.claim.report.process() != r.process() {
		s.claim.since = now
	}
	s.claim.report = r
	return now.Sub(s.claim.since) >= s.ClaimPeriod
}

// LearnDepartures takes over which processes had left before this instance started, and reports whether that changed the
// state.
func (s *BackendState) LearnDepartures(earlier Departures) (changed bool) {
	own := s.departed
	s.departed = nil
	for _, p := range append(slices.Clone(earlier), own...) {
		s.departed.add(p)
	}
	waiting := s.claim.report
	s.PastUnknown = false
	if waiting.ID != "" && !s.isDoubtful(waiting) && !s.departed.contains(waiting.process()) {
		s.replace(waiting)
		changed = true
	}
	if s.Known() && !s.Left && s.departed.contains(s.process()) {
		s.Left = true
		changed = true
	}
	return changed
}

// update applies a report of the known process.
func (s *BackendState) update(r Report) (changed bool, err error) {
	startsDrain := r.Draining && !s.Draining // applies also if it arrives late: a drain does not end
	if r.Sequence < s.Sequence && !startsDrain {
		return false, result.New(result.ReportOutdated, "a newer report of the backend server %s has arrived", r.ID)
	}
	if r.Sequence > s.Sequence {
		s.claim = claim{}
	}
	before := *s
	r.Sequence = max(r.Sequence, s.Sequence)
	r.Draining = s.Draining || r.Draining
	s.Report = r
	if startsDrain {
		s.departed.add(s.process())
	}
	return before.Draining != s.Draining || before.Service != s.Service || before.Address != s.Address ||
		before.Slots != s.Slots || (before.WarmupRemaining > 0) != (s.WarmupRemaining > 0), nil
}

// replace makes the process of a report the known one.
func (s *BackendState) replace(r Report) {
	if s.Known() {
		s.replaced.add(s.process())
	}
	s.Report = r
	s.claim = claim{}
	s.Left = s.departed.contains(r.process())
	if r.Draining {
		s.departed.add(r.process())
	}
}

// Leave records that a process of the backend server is leaving, also if it has not reported before. It returns which
// process that is and whether the state changed. A zero start time means the known process. The error carries
// ReportOutdated if the process can't be told, and ReportUnconfirmed as for Apply.
func (s *BackendState) Leave(now time.Time, id string, startTime time.Time) (p BackendProcess, changed bool, err error) {
	p = newBackendProcess(id, startTime)
	switch {
	case s.ID == id && (startTime.IsZero() || p == s.process()):
		return s.process(), s.markLeft(), nil
	case startTime.IsZero():
		return p, false, result.New(result.ReportOutdated, "a process of the backend server %s leaves that is not known", id)
	case s.ID != id || s.departed.contains(p):
		return p, s.departed.add(p), nil // no request for the known process reaches it
	}
	// Requests for the known process may reach this one, which has the same ID. Which of them runs?
	r := s.Report
	r.StartTime, r.Sequence = startTime, 0
	if s.seemsEarlier(p) && !s.confirm(now, r) {
		return p, false, result.New(result.ReportUnconfirmed, "it is not clear yet that the process of the backend server %s runs", id)
	}
	s.replace(r)
	return p, s.markLeft(), nil
}

// markLeft records that the known process is leaving, and reports whether that changed the state.
func (s *BackendState) markLeft() (changed bool) {
	s.departed.add(s.process())
	changed = !s.Left
	s.Left = true
	return changed
}
