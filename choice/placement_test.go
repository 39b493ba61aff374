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

func placement(seed uint64, now *time.Time) *Placement {
	r := rand.New(rand.NewPCG(seed, 1))
	return NewPlacement(PlacementOptions{Domain: "d0", Now: func() time.Time { return *now }, Rand: r.Float64})
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
	is.Equal(len(counts), 1)
}

// TestPlacementSpreadsWhereRequestsFail keeps healthy endpoints in use while a part of the requests is not served.
func TestPlacementSpreadsWhereRequestsFail(t *testing.T) {
	is := is.New(t)
	d := meshOf(1, 8)
	now := time.Unix(1000, 0)
	p := placement(1, &now)
	counts := make(map[string]int)
	for n := range 400 {
		p.Ended("s", n%5 != 0) // a fifth is not served
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
	c, _ := p.Select(entry.Query{Directory: d, Service: "s"})
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
