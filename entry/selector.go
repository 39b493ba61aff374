package entry

import (
	"sync/atomic"
	"time"

	"amaranthstile/membership"
)

// Query asks for the endpoint of one try of a request.
type Query struct {
	Directory *membership.Directory
	Service   string
	// Tried are the endpoints that the request was sent to before.
	Tried []membership.Candidate
	// Repeatable says that the request may be sent again, so that it suits as a trial of an ejected endpoint.
	Repeatable bool
	// ReachedBackend says that an earlier try has reached a backend server, so that few tries are left.
	ReachedBackend bool
}

// AttemptResult is how one try ended, as the entry side saw it.
type AttemptResult struct {
	Took time.Duration
	// Err is nil after a whole answer; its code tells a failure of the link from one of the backend server.
	Err error
	// Load is what the exit side said of the endpoint's load, "" if nothing came.
	Load string
}

// Selector chooses the endpoints of requests.
type Selector interface {
	// Select returns an endpoint of the service that is not among the tried ones.
	Select(q Query) (membership.Candidate, bool)
	// Done tells how a try at a selected endpoint ended; it is called once for each selection.
	Done(c membership.Candidate, t AttemptResult)
}

// RoundRobin takes the endpoints of a service in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Select implements Selector.
func (s *RoundRobin) Select(q Query) (membership.Candidate, bool) {
	all := q.Directory.Endpoints(q.Service)
	if len(all) == 0 {
		return membership.Candidate{}, false
	}
	start := int(s.next.Add(1) % uint64(len(all)))
	for i := range all {
		c := all[(start+i)%len(all)]
		if usable(c) && !contains(q.Tried, c) {
			return c, true
		}
	}
	return membership.Candidate{}, false
}

// Done implements Selector.
func (s *RoundRobin) Done(membership.Candidate, AttemptResult) {}

// usable reports whether an endpoint takes new work.
func usable(c membership.Candidate) bool {
	if c.Instance.Leaving {
		return false
	}
	return c.State == membership.Active || c.State == membership.Warming
}

func contains(list []membership.Candidate, c membership.Candidate) bool {
	for _, x := range list {
		if x.Instance.ID == c.Instance.ID && x.Backend == c.Backend {
			return true
		}
	}
	return false
}
