package balancer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/backend"
	"amaranthstile/balancer"
	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

var states = []membership.EndpointState{
	membership.Active, membership.Warming, membership.Draining, membership.Ejected,
}

// anyView draws a view of the endpoints of a service, as one instance may have it.
func anyView(t *rapid.T) []membership.Candidate {
	var out []membership.Candidate
	for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
		out = append(out, membership.Candidate{
			Endpoint: membership.Endpoint{
				Backend: fmt.Sprint("b", i),
				Slots:   rapid.IntRange(1, 5).Draw(t, "slots"),
				State:   rapid.SampledFrom(states).Draw(t, "state"),
				Badness: rapid.IntRange(1, 3).Draw(t, "badness"),
			},
			Instance: &membership.Record{ID: "i", Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0},
		})
	}
	return out
}

// TestFloorHoldsInEveryView checks the floor for arbitrary views. Late, reordered or lost gossip only gives an instance
// a different view, so it is sufficient that the floor holds in every view.
func TestFloorHoldsInEveryView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := anyView(t)
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		use := balancer.ApplyFloor(view, floor)
		announced, inUse, healthy, worstKept, leastLeft := 0, 0, 0, 0, 4
		for i, c := range view {
			out := c.State == membership.Draining || c.Instance.Leaving
			if out && use[i] {
				t.Fatal("an endpoint that accepts no new requests is in use")
			}
			if out {
				continue
			}
			announced += c.Slots
			if use[i] {
				inUse += c.Slots
			}
			switch {
			case c.State != membership.Ejected:
				healthy += c.Slots
				if !use[i] {
					t.Fatal("an endpoint that is not ejected is out of use")
				}
			case use[i]:
				worstKept = max(worstKept, c.Badness)
			default:
				leastLeft = min(leastLeft, c.Badness)
			}
		}
		if float64(inUse) < floor*float64(announced)-1e-6 {
			t.Fatalf("%d of %d slots in use, floor %v", inUse, announced, floor)
		}
		if worstKept > leastLeft {
			t.Fatal("an ejected endpoint is in use while a less bad one is not")
		}
		if worstKept > 0 && float64(healthy) >= floor*float64(announced) {
			t.Fatal("an ejected endpoint is in use although the floor holds without it")
		}
	})
}

// TestEqualViewsKeepTheSame checks that the order of the endpoints in a view has no influence on which ones stay in
// use.
func TestEqualViewsKeepTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := anyView(t)
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		keep := func(list []membership.Candidate) map[string]bool {
			out := make(map[string]bool)
			for i, use := range balancer.ApplyFloor(list, floor) {
				out[list[i].Backend] = use
			}
			return out
		}
		shuffled := rapid.Permutation(view).Draw(t, "other order")
		want := keep(view)
		for name, use := range keep(shuffled) {
			if want[name] != use {
				t.Fatalf("%s differs", name)
			}
		}
	})
}

func TestLinkBreaker(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		ms      int
		outcome balancer.LinkOutcome
		usable  bool
	}
	for name, steps := range map[string][]step{
		"two failed connections": {{0, balancer.LinkFailed, true}, {1, balancer.LinkFailed, false}},
		"one failed connection, then a response": {
			{0, balancer.LinkFailed, true}, {1, balancer.LinkAnswered, true}, {2, balancer.LinkFailed, true},
		},
		"timeouts, as of a one-way or half-open connection": {
			{0, balancer.LinkTimeout, true}, {1, balancer.LinkTimeout, true}, {2, balancer.LinkTimeout, false},
		},
		"timeouts between responses": {
			{0, balancer.LinkTimeout, true},
			{1, balancer.LinkTimeout, true},
			{2, balancer.LinkAnswered, true},
			{3, balancer.LinkTimeout, true},
		},
		"disconnected clients do not count": {
			{0, balancer.LinkUnknown, true},
			{1, balancer.LinkUnknown, true},
			{2, balancer.LinkUnknown, true},
			{3, balancer.LinkUnknown, true},
		},
		"a late response closes the breaker": {
			{0, balancer.LinkFailed, true}, {1, balancer.LinkFailed, false}, {2, balancer.LinkAnswered, true},
		},
		"late failures do not extend a cooldown": {
			{0, balancer.LinkFailed, true}, {1, balancer.LinkFailed, false}, {900, balancer.LinkFailed, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l balancer.LinkBreaker
			for _, s := range steps {
				l.Record(at(s.ms), s.outcome)
				is.Equal(l.Usable(), s.usable)
			}
		})
	}
	is := is.New(t)
	var l balancer.LinkBreaker
	l.Record(at(0), balancer.LinkFailed)
	l.Record(at(0), balancer.LinkFailed)
	is.True(!l.AllowTrial(at(999)))
	is.True(l.AllowTrial(at(1000)))  // a trial after the first cooldown
	is.True(!l.AllowTrial(at(1000))) // one at a time
	l.Record(at(1100), balancer.LinkFailed)
	is.True(!l.AllowTrial(at(3000))) // the second cooldown is twice as long
	is.True(l.AllowTrial(at(3100)))
	is.True(l.Record(at(3200), balancer.LinkAnswered))
	is.True(l.Usable())
}

// testSelector is a Selector with a settable clock and a directory of endpoints in two failure domains.
type testSelector struct {
	*balancer.Selector
	now       time.Time
	directory *membership.Directory
}

func newTestSelector(seed uint64, p balancer.Policy, floor float64, states ...membership.EndpointState) *testSelector {
	b := &testSelector{now: time.Unix(1000, 0)}
	records := make(map[membership.ID]*membership.Record)
	for i, s := range states {
		id := membership.ID(fmt.Sprint("i", i))
		records[id] = &membership.Record{ID: id, Domain: []string{"norte", "sur"}[i%2], Endpoints: []membership.Endpoint{
			{Backend: fmt.Sprint("b", i), Service: "s", Slots: 2, State: s, Badness: i, Trials: s == membership.Ejected},
		}}
	}
	b.directory = membership.NewDirectory(records)
	b.Selector = balancer.New(balancer.Options{
		Domain: "norte", Policy: p, Floor: func(string) float64 { return floor },
		Now: func() time.Time { return b.now }, Rand: rand.New(rand.NewPCG(seed, 1)).Uint64,
	})
	return b
}

func (b *testSelector) query(tried ...membership.Candidate) entry.Query {
	return entry.Query{Directory: b.directory, Service: "s", Tried: tried, Repeatable: true}
}

const (
	active   = membership.Active
	warming  = membership.Warming
	draining = membership.Draining
	ejected  = membership.Ejected
)

// TestSelectRespectsStates counts the endpoints of 400 requests that end immediately, for each policy.
func TestSelectRespectsStates(t *testing.T) {
	for name, c := range map[string]struct {
		floor  float64
		states []membership.EndpointState
		none   []int // endpoints that get no request
		few    []int // endpoints that get fewer than 40 requests
	}{
		"draining":                      {0, []membership.EndpointState{active, draining, active}, []int{1}, nil},
		"ejected gets trials only":      {0.3, []membership.EndpointState{active, active, ejected}, nil, []int{2}},
		"floor keeps the least bad":     {0.6, []membership.EndpointState{active, ejected, ejected}, nil, []int{2}},
		"all ejected without a floor":   {0, []membership.EndpointState{ejected}, nil, []int{0}},
		"all ejected, the floor is one": {1, []membership.EndpointState{ejected, draining}, []int{1}, nil},
	} {
		for _, p := range []balancer.Policy{balancer.IdleFirst, balancer.TwoChoices, balancer.LeastLoaded, balancer.RoundRobin} {
			t.Run(fmt.Sprint(name, p), func(t *testing.T) {
				is := is.New(t)
				b := newTestSelector(1, p, c.floor, c.states...)
				got := make(map[string]int)
				for range 400 {
					b.now = b.now.Add(10 * time.Millisecond)
					if x, ok := b.Select(b.query()); ok {
						got[x.Backend]++
						b.Done(x, entry.AttemptResult{Load: "1,0,2"})
					}
				}
				for _, i := range c.none {
					is.Equal(got[fmt.Sprint("b", i)], 0)
				}
				for _, i := range c.few {
					is.True(got[fmt.Sprint("b", i)] < 40)
				}
			})
		}
	}
}

func TestWarmingEndpointComesLast(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active, active, warming)
	got := 0
	for range 3 { // the active endpoints have free slots for three concurrent requests
		x, _ := b.Select(b.query())
		if x.State == warming {
			got++
		}
	}
	is.Equal(got, 0)
}

func TestLocalDomainFirst(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active, active, active, active)
	domains := make(map[string]int)
	for range 8 {
		x, ok := b.Select(b.query())
		is.True(ok)
		domains[x.Instance.Domain]++
		if domains["sur"] > 0 {
			is.Equal(domains["norte"], 4) // all slots of the local domain are taken
		}
	}
	is.Equal(domains["sur"], 4)
}

// TestRemoteSelectionsSpread checks that instances with the same view of the load don't all select the same remote
// endpoint.
func TestRemoteSelectionsSpread(t *testing.T) {
	is := is.New(t)
	got := make(map[string]int)
	for seed := range uint64(100) {
		b := newTestSelector(
			seed, balancer.IdleFirst, 0, draining, active, draining, active, draining, active, draining, active,
		)
		x, _ := b.Select(b.query())
		got[x.Backend]++
	}
	for _, n := range got {
		is.True(n < 50)
	}
	is.Equal(len(got), 4)
}

func TestEveryEndpointIsTriedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active, active, active)
	var tried []membership.Candidate
	for range 3 {
		x, ok := b.Select(b.query(tried...))
		is.True(ok)
		for _, y := range tried {
			is.True(x.Backend != y.Backend)
		}
		tried = append(tried, x)
	}
	_, ok := b.Select(b.query(tried...))
	is.True(!ok)
}

// TestLinkBreakerIsLocal checks that a failing link excludes its endpoint in this instance only, and that a successful
// trial ends the exclusion.
func TestLinkBreakerIsLocal(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active, active)
	requestFails := func() bool {
		x, _ := b.Select(b.query())
		if x.Backend != "b0" {
			b.Done(x, entry.AttemptResult{Load: "1,0,2"})
			return false
		}
		b.Done(x, entry.AttemptResult{Err: result.Wrap(result.LinkUnreachable, context.DeadlineExceeded, "link cut")})
		return true
	}
	failed := 0
	for range 100 {
		b.now = b.now.Add(time.Millisecond)
		if requestFails() {
			failed++
		}
	}
	is.Equal(failed, 3)
	is.Equal(b.Stats().LinksOut, uint64(1))
	is.Equal(b.directory.Endpoints("s")[0].State, active) // the directory does not change
	b.now = b.now.Add(time.Minute)
	for b.Stats().LinkTrials == 0 {
		x, _ := b.Select(b.query())
		b.Done(x, entry.AttemptResult{Load: "1,0,2"})
	}
	x, _ := b.Select(b.query())
	is.Equal(x.Backend, "b0") // in the local failure domain
}

func TestLinkOutOfUseIsLastResort(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active)
	for range 20 {
		x, ok := b.Select(b.query())
		is.True(ok) // a link out of use is better than no endpoint
		b.Done(x, entry.AttemptResult{Err: result.New(result.LinkBroken, "link cut")})
	}
}

// TestSelectorConcurrentUse runs concurrent requests while the directory changes, for the race detector.
func TestSelectorConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0.5, active, active, active)
	other := newTestSelector(1, balancer.IdleFirst, 0.5, active, ejected, warming, active).directory
	s := balancer.New(balancer.Options{
		Domain: "norte", Floor: func(string) float64 { return 0.5 }, Now: time.Now, Rand: rand.Uint64,
	})
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			for i := range 200 {
				q := b.query()
				if (n+i)%3 == 0 {
					q.Directory = other
				}
				if x, ok := s.Select(q); ok {
					s.Done(x, entry.AttemptResult{Load: backend.Load{Running: 1, Slots: 2}.String()})
				}
			}
		})
	}
	all.Wait()
	is.Equal(s.Stats().Local+s.Stats().Remote+s.Stats().Trials, uint64(1600))
}

func TestSelectAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := newTestSelector(1, balancer.IdleFirst, 0, active, active, active, active)
	q := b.query()
	is.Equal(testing.AllocsPerRun(100, func() {
		x, _ := b.Select(q)
		b.Done(x, entry.AttemptResult{Load: "1,0,2"})
	}), 0.0)
}

func FuzzParseLoad(f *testing.F) {
	f.Add("1,2,3")
	f.Add("1,,3")
	f.Add("-1,99999999999,3")
	f.Fuzz(func(t *testing.T, s string) {
		if l, ok := backend.ParseLoad(s); ok && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0) {
			t.Fatal(l)
		}
	})
}

func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{15, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := make([]membership.EndpointState, n)
			for i := range list {
				list[i] = active
			}
			x := newTestSelector(1, balancer.IdleFirst, 0.5, list...)
			s := balancer.New(balancer.Options{
				Domain: "norte", Floor: func(string) float64 { return 0.5 }, Now: time.Now, Rand: rand.Uint64,
			})
			q := x.query()
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					c, _ := s.Select(q)
					s.Done(c, entry.AttemptResult{Load: "1,0,2"})
				}
			})
		})
	}
}
