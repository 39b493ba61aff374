package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// directoryOf returns a directory of one service in a number of failure domains, with one endpoint per instance.
func directoryOf(domains, perDomain int) *membership.Directory {
	records := make(map[membership.ID]*membership.Record)
	for d := range domains {
		for n := range perDomain {
			id := membership.ID(fmt.Sprintf("i%d-%d", d, n))
			records[id] = &membership.Record{
				ID: id, Domain: fmt.Sprint("d", d),
				Endpoints: []membership.Endpoint{
					{Backend: "b" + string(id), Service: "s", Slots: 3, State: membership.Active},
				},
			}
		}
	}
	return membership.NewDirectory(records)
}

// newTestCostSelector returns a CostSelector of an instance in the failure domain d0.
func newTestCostSelector(seed uint64, now *time.Time) *CostSelector {
	r := rand.New(rand.NewPCG(seed, 1))
	return NewCostSelector(CostSelectorOptions{Domain: "d0", Now: func() time.Time { return *now }, Rand: r.Float64})
}

// TestCostSelectorPrefersTheSameEndpoints lets many instances each select for one request that is not repeatable.
func TestCostSelectorPrefersTheSameEndpoints(t *testing.T) {
	is := is.New(t)
	d := directoryOf(3, 5)
	now := time.Unix(1000, 0)
	counts := make(map[string]int)
	for n := range 200 {
		s := newTestCostSelector(uint64(n), &now)
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.Equal(c.Instance.Domain, "d0")
		counts[c.Backend]++
	}
	first := 0
	for _, n := range counts {
		first = max(first, n)
	}
	is.True(first > 200*6/10) // the other requests exercise the other endpoints
}

// TestCostSelectorExercisesEveryEndpoint simulates windows of two seconds with a service's requests in one domain, some
// of which are not served. In each window, more than the floor's share of the endpoints must get a request; otherwise
// healthy endpoints count as idle.
func TestCostSelectorExercisesEveryEndpoint(t *testing.T) {
	for _, c := range []struct{ endpoints, instances, requests int }{{10, 20, 100}, {5, 10, 23}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			d := directoryOf(1, c.endpoints)
			now := time.Unix(1000, 0)
			var all []*CostSelector
			for n := range c.instances {
				all = append(all, newTestCostSelector(uint64(n), &now))
			}
			const windows = 200
			tooFew := 0
			for range windows {
				used := make(map[string]bool)
				for n := range c.requests {
					s := all[n%len(all)]
					s.RequestDone("s", n%9 != 0) // one of nine is not served
					x, ok := s.Select(entry.Query{Directory: d, Service: "s", Repeatable: n%4 == 0})
					is.True(ok)
					s.Done(x, entry.AttemptResult{})
					used[x.Backend] = true
				}
				if float64(len(used)) < 0.7*float64(c.endpoints) {
					tooFew++
				}
			}
			is.Equal(tooFew, 0)
		})
	}
}

// TestCostSelectorSpreadsWhileRequestsFail checks that all healthy endpoints are used while some requests are not
// served.
func TestCostSelectorSpreadsWhileRequestsFail(t *testing.T) {
	is := is.New(t)
	d := directoryOf(1, 8)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	counts := make(map[string]int)
	for n := range 400 {
		s.RequestDone("s", n%5 != 0) // one of five is not served
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		s.Done(c, entry.AttemptResult{})
		counts[c.Backend]++
	}
	is.Equal(len(counts), 8)
}

// TestCostSelectorExcludesEndpointInCooldown checks the cooldown after an ejection and the half-open time after it.
func TestCostSelectorExcludesEndpointInCooldown(t *testing.T) {
	is := is.New(t)
	d := directoryOf(1, 2)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	first, _ := s.Select(entry.Query{Directory: d, Service: "s"})
	s.Done(first, entry.AttemptResult{Err: result.WithRetryAfter(result.New(result.BackendEjected, "in cooldown"), time.Second)})
	for range 20 {
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.True(c.Backend != first.Backend)
		s.Done(c, entry.AttemptResult{})
	}
	now = now.Add(time.Second)
	choose := func(q entry.Query) string {
		q.Directory, q.Service = d, "s"
		c, ok := s.Select(q)
		is.True(ok)
		s.Done(c, entry.AttemptResult{Err: result.New(result.BackendBusy, "from the test")})
		return c.Backend
	}
	// A request that can be sent elsewhere afterwards tests the endpoint. All others avoid it until it has responded.
	is.Equal(choose(entry.Query{Repeatable: true}), first.Backend)
	is.True(choose(entry.Query{}) != first.Backend)
	is.True(choose(entry.Query{Repeatable: true, ReachedBackend: true}) != first.Backend)
	// The half-open endpoint is the only one that the request has not tried.
	is.Equal(choose(entry.Query{Tried: []membership.Candidate{otherEndpoint(d, first)}}), first.Backend)
	now = now.Add(halfOpenTime)
	is.Equal(choose(entry.Query{}), first.Backend) // the half-open time ends without a response
}

// otherEndpoint returns an endpoint of the same service other than c.
func otherEndpoint(d *membership.Directory, c membership.Candidate) membership.Candidate {
	for _, x := range d.Endpoints(c.Service) {
		if x.Backend != c.Backend {
			return x
		}
	}
	return membership.Candidate{}
}

// TestCostSelectorReusesEndpointAfterTrial checks that an endpoint gets all kinds of requests again once a trial after
// its cooldown got a response.
func TestCostSelectorReusesEndpointAfterTrial(t *testing.T) {
	is := is.New(t)
	d := directoryOf(1, 2)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	first, _ := s.Select(entry.Query{Directory: d, Service: "s"})
	s.Done(first, entry.AttemptResult{Err: result.WithRetryAfter(result.New(result.BackendEjected, "in cooldown"), time.Second)})
	now = now.Add(time.Second)
	c, _ := s.Select(entry.Query{Directory: d, Service: "s", Repeatable: true})
	is.Equal(c.Backend, first.Backend)
	s.Done(c, entry.AttemptResult{})
	c, _ = s.Select(entry.Query{Directory: d, Service: "s"})
	is.Equal(c.Backend, first.Backend)
}

func TestCostSelectorUsesOtherDomainRatherThanWait(t *testing.T) {
	is := is.New(t)
	d := directoryOf(2, 1)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	domains := make(map[string]int)
	for range 5 { // none of the requests ends
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		domains[c.Instance.Domain]++
	}
	is.Equal(domains["d0"], 3)
	is.Equal(domains["d1"], 2)
}

func TestCostSelectorRetriesUnreachableInstance(t *testing.T) {
	is := is.New(t)
	d := directoryOf(1, 1)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	for range 10 {
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		s.Done(c, entry.AttemptResult{Err: result.New(result.LinkUnreachable, "link cut")})
		_, ok = s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(!ok)
		now = now.Add(maxLinkBackoff)
	}
}

// TestCostSelectorAvoidsEndpointOfAbandonedAttempt abandons attempts because a later one was faster. Their endpoints
// come last for a while, and the backoff of an unreachable instance continues.
func TestCostSelectorAvoidsEndpointOfAbandonedAttempt(t *testing.T) {
	is := is.New(t)
	d := directoryOf(1, 3)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	first, _ := s.Select(entry.Query{Directory: d, Service: "s"})
	second, _ := s.Select(entry.Query{Directory: d, Service: "s", Tried: []membership.Candidate{first}})
	s.Done(second, entry.AttemptResult{Err: result.New(result.LinkUnreachable, "from the test")})
	s.Done(second, entry.AttemptResult{Err: result.New(result.TryGivenUp, "from the test")})
	s.Done(first, entry.AttemptResult{Err: result.New(result.TryGivenUp, "from the test")})
	for range 10 {
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.True(c.Backend != first.Backend && c.Backend != second.Backend)
		s.Done(c, entry.AttemptResult{})
	}
}
