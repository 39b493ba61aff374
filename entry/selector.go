package entry

import (
	"sync/atomic"
	"time"

	"amaranthstile/membership"
)

// Query describes the attempt that a Selector chooses an endpoint for.
type Query struct {
	Directory *membership.Directory
	Service   string
	// Tried are the endpoints that this attempt must not use, since the request was sent there before.
	Tried []membership.Candidate
	// Repeatable reports whether the request may be sent again, so that it can serve as a trial request to an ejected
	// endpoint.
	Repeatable bool
	// ReachedBackend reports whether an earlier attempt reached a backend server, so that few attempts are left.
	ReachedBackend bool
}

// AttemptResult describes how one attempt ended, as the entry side saw it.
type AttemptResult struct {
	Took time.Duration
	// Err is nil after a whole response. Its code distinguishes a failure of the link from one of the backend server.
	Err error
	// Load is the endpoint's load as the exit side reported it, "" without a report.
	Load string
}

// Selector chooses the endpoints of requests.
type Selector interface {
	// Select returns an endpoint of the service that is not among the tried ones.
	Select(q Query) (membership.Candidate, bool)
	// Done reports how an attempt at a selected endpoint ended. It is called once for each selected endpoint.
	Done(c membership.Candidate, r AttemptResult)
	// PathResponded reports that the path to the endpoint's instance works after all, after an attempt failed because of it.
	PathResponded(c membership.Candidate)
}

// RoundRobin is a Selector that uses the endpoints of a service in turn. It is safe for concurrent use.
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
		if acceptsRequests(c) && !containsEndpoint(q.Tried, c) {
			return c, true
		}
	}
	return membership.Candidate{}, false
}

// Done implements Selector.
func (s *RoundRobin) Done(membership.Candidate, AttemptResult) {}

// PathResponded implements Selector.
func (s *RoundRobin) PathResponded(membership.Candidate) {}

// acceptsRequests reports whether an endpoint accepts new requests.
func acceptsRequests(c membership.Candidate) bool {
	if c.Instance.Leaving {
		return false
	}
	return c.State == membership.Active || c.State == membership.Warming
}

// containsEndpoint reports whether the list contains the endpoint.
func containsEndpoint(list []membership.Candidate, c membership.Candidate) bool {
	for _, x := range list {
		if x.Instance.ID == c.Instance.ID && x.Backend == c.Backend {
			return true
		}
	}
	return false
}
