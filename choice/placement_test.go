package choice

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

// meshOf returns endpoints of one service, one an instance, in a number of failure domains.
func meshOf(domains, perDomain int) *membership.Directory {
	records := make(map[membership.ID]*membership.Record)
	for d := range domains {
		for n := range perDomain {
			id := membership.ID(fmt.Sprintf("i%d-%d", d, n))
			records[id] = &membership.Record{
				ID: id, Domain: fmt.Sprint("d", d),
				Endpoints: []membership.Endpoint{{Backend: "b" + string(id), Service: "s", Slots: 3, State: membership.Active}},
			}
		}
	}
	return membership.NewDirectory(records)
}

func placement(seed uint64, now *time.Time) *CostSelector {
	r := rand.New(rand.NewPCG(seed, 1))
	return NewCostSelector(CostSelectorOptions{Domain: "d0", Now: func() time.Time { return *now }, Rand: r.Float64})
}

// TestPlacementPrefersTheSameEndpoints lets many instances choose for requests that may not be repeated, one at a time.
func TestPlacementPrefersTheSameEndpoints(t *testing.T) {
	is := is.New(t)
	d := meshOf(3, 5)
	now := time.Unix(1000, 0)
	counts := make(map[string]int)
	for n := range 200 {
		p := placement(uint64(n), &now)
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.Equal(c.Instance.Domain, "d0")
		counts[c.Backend]++
	}
	first := 0
	for _, n := range counts {
		first = max(first, n)
	}
	is.True(first > 200*6/10) // the rest keeps the others known
}

// TestPlacementKeepsEveryEndpointKnown plays two seconds of a service's requests in one domain, some of which fail elsewhere:
// more than the floor's share of the endpoints has to get one, or healthy endpoints count as idle.
func TestPlacementKeepsEveryEndpointKnown(t *testing.T) {
	for _, c := range []struct{ endpoints, instances, requests int }{{10, 20, 100}, {5, 10, 23}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			d := meshOf(1, c.endpoints)
			now := time.Unix(1000, 0)
			var all []*CostSelector
			for n := range c.instances {
				all = append(all, placement(uint64(n), &now))
			}
			const windows = 200
			short := 0
			for range windows {
				used := make(map[string]bool)
				for n := range c.requests {
					p := all[n%len(all)]
					p.RequestDone("s", n%9 != 0) // a ninth is not served
					x, ok := p.Select(entry.Query{Directory: d, Service: "s", Repeatable: n%4 == 0})
					is.True(ok)
					p.Done(x, entry.Trial{})
					used[x.Backend] = true
				}
				if float64(len(used)) < 0.7*float64(c.endpoints) {
					short++
				}
			}
			is.Equal(short, 0)
		})
	}
}

// TestPlacementSpreadsWhereRequestsFail keeps healthy endpoints in use while a part of the requests is not served.
func TestPlacementSpreadsWhereRequestsFail(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 8)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	counts := make(map[string]int)
	for n := range 400 {
		p.RequestDone("s", n%5 != 0) // a fifth is not served
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		p.Done(c, entry.Trial{})
		counts[c.Backend]++
	}
	is.Equal(len(counts), 8)
}

func TestPlacementLeavesOutWhatRests(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 2)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	first, _ := p.Select(entry.Query{Directory: d, Service: "s"})
	p.Done(first, entry.Trial{Err: result.WithRetryAfter(result.New(result.BackendEjected, "rests"), time.Second)})
	for range 20 {
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.True(c.Backend != first.Backend)
		p.Done(c, entry.Trial{})
	}
	now = now.Add(time.Second)
	choose := func(q entry.Query) string {
		q.Directory, q.Service = d, "s"
		c, ok := p.Select(q)
		is.True(ok)
		p.Done(c, entry.Trial{Err: result.New(result.BackendBusy, "by the test")})
		return c.Backend
	}
	// A request that can go elsewhere afterwards finds out whether the endpoint is well; the others keep away until then.
	is.Equal(choose(entry.Query{Repeatable: true}), first.Backend)
	is.True(choose(entry.Query{}) != first.Backend)
	is.True(choose(entry.Query{Repeatable: true, Reached: true}) != first.Backend)
	is.Equal(choose(entry.Query{Tried: []membership.Candidate{other(d, first)}}), first.Backend) // there is no other
	now = now.Add(trialAge)
	is.Equal(choose(entry.Query{}), first.Backend) // this instance saw none of its answers for long
}

// other is an endpoint besides c.
func other(d *membership.Directory, c membership.Candidate) membership.Candidate {
	for _, x := range d.Endpoints(c.Service) {
		if x.Backend != c.Backend {
			return x
		}
	}
	return membership.Candidate{}
}

// TestPlacementTakesAProvedEndpointAgain lets an endpoint answer well after its rest: all requests go there again.
func TestPlacementTakesAProvedEndpointAgain(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 2)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	first, _ := p.Select(entry.Query{Directory: d, Service: "s"})
	p.Done(first, entry.Trial{Err: result.WithRetryAfter(result.New(result.BackendEjected, "rests"), time.Second)})
	now = now.Add(time.Second)
	c, _ := p.Select(entry.Query{Directory: d, Service: "s", Repeatable: true})
	is.Equal(c.Backend, first.Backend)
	p.Done(c, entry.Trial{})
	c, _ = p.Select(entry.Query{Directory: d, Service: "s"})
	is.Equal(c.Backend, first.Backend)
}

func TestPlacementGoesElsewhereRatherThanWait(t *testing.T) {
	is := is.New(t)
	d := meshOf(2, 1)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	domains := make(map[string]int)
	for range 5 { // none ends
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		domains[c.Instance.Domain]++
	}
	is.Equal(domains["d0"], 3)
	is.Equal(domains["d1"], 2)
}

func TestPlacementComesBackToAnInstanceThatWasNotReached(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 1)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	for range 10 {
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		p.Done(c, entry.Trial{Err: result.New(result.LinkUnreachable, "cut")})
		_, ok = p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(!ok)
		now = now.Add(linkRestMost)
	}
}

// TestPlacementLeavesWhatHangs gives a try up since another one was sooner: the endpoint comes last for a while, and a way that
// rests goes on resting.
func TestPlacementLeavesWhatHangs(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 3)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	first, _ := p.Select(entry.Query{Directory: d, Service: "s"})
	second, _ := p.Select(entry.Query{Directory: d, Service: "s", Tried: []membership.Candidate{first}})
	p.Done(second, entry.Trial{Err: result.New(result.LinkUnreachable, "by the test")})
	p.Done(second, entry.Trial{Err: result.New(result.TryGivenUp, "by the test")})
	p.Done(first, entry.Trial{Err: result.New(result.TryGivenUp, "by the test")})
	for range 10 {
		c, ok := p.Select(entry.Query{Directory: d, Service: "s"})
		is.True(ok)
		is.True(c.Backend != first.Backend && c.Backend != second.Backend)
		p.Done(c, entry.Trial{})
	}
}
