package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend/admission"
	"amaranthstile/entry"
	"amaranthstile/result"
)

// TestLimitedEndpointsStayInUse plays a load on a service, three quarters of whose endpoints take one request a second each, while some requests are not
// served. Each of them gets a request in any two seconds, so that none counts as idle, and none gets more than its limit allows.
func TestLimitedEndpointsStayInUse(t *testing.T) {
	is := is.New(t)
	const (
		instances, endpoints, limited = 20, 8, 6
		limit, perSecond              = 1.0, 40
		duration                      = 30 * time.Second
		idleWindow, limitWindow       = 2 * time.Second, 4 * time.Second
		allowed                       = 1.5*limit*4 + 5 // the bound of the platform's rules, in limitWindow
	)
	d := directoryOf(1, endpoints)
	start := time.Unix(1000, 0)
	now := start
	var all []*CostSelector
	for n := range instances {
		all = append(all, newTestCostSelector(uint64(n), &now))
	}
	limits := make(map[string]*admission.ServerLimit)
	for _, c := range d.Endpoints("s")[:limited] {
		limits[c.Backend] = &admission.ServerLimit{}
		limits[c.Backend].Learn(now, limit, true)
	}
	used := make(map[string][]time.Time)
	for n := 0; now.Sub(start) < duration; n++ {
		now = now.Add(time.Second / perSecond)
		s := all[n%len(all)]
		s.RequestDone("s", n%9 != 0) // one of nine is not served
		q := entry.Query{Directory: d, Service: "s"}
		for c, ok := s.Select(q); ok; c, ok = s.Select(q) {
			if l := limits[c.Backend]; l == nil || l.Allows(now) {
				if l != nil {
					l.Take(now)
				}
				used[c.Backend] = append(used[c.Backend], now)
				s.Done(c, entry.AttemptResult{})
				break
			}
			q.Tried = append(q.Tried, c)
			err := result.WithRetryAfter(result.New(result.BackendLimited, "limited"), limits[c.Backend].RetryAfter(now))
			s.Done(c, entry.AttemptResult{Err: err})
		}
	}
	for id := range limits {
		last := start.Add(idleWindow) // a limit begins without a burst
		for k, at := range used[id] {
			is.True(at.Sub(last) <= idleWindow)
			last = at
			in := 0
			for in < len(used[id])-k && used[id][k+in].Sub(at) <= limitWindow {
				in++
			}
			is.True(float64(in) <= allowed)
		}
		is.True(now.Sub(last) <= idleWindow)
	}
}

// TestCooldownOfALimitedEndpointGrows refuses requests in a row: the cooldown doubles, and begins anew after a response.
func TestCooldownOfALimitedEndpointGrows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newTestCostSelector(1, &now)
	d := directoryOf(1, 1)
	refused := entry.AttemptResult{Err: result.WithRetryAfter(result.New(result.BackendLimited, "limited"), time.Second)}
	cooldown := func(r entry.AttemptResult) time.Duration {
		c, ok := s.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		s.Done(c, r)
		began := now
		for {
			if _, ok := s.Select(entry.Query{Directory: d, Service: "s"}); ok {
				return now.Sub(began)
			}
			now = now.Add(time.Second)
		}
	}
	for _, want := range []time.Duration{1, 2, 4, 5, 5} {
		is.Equal(cooldown(refused), want*time.Second)
	}
	is.Equal(cooldown(entry.AttemptResult{}), time.Duration(0))
	is.Equal(cooldown(refused), time.Second)
}
