package entry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/result"
)

// crowdedGate has a slot only for requests that wait for it.
type crowdedGate struct{ gate }

func (g *crowdedGate) Acquire(ctx context.Context, c backend.SlotRequest) (func(), error) {
	if c.NoWait {
		return nil, result.New(result.BackendBusy, "no slot is free")
	}
	return g.gate.Acquire(ctx, c)
}

// TestRestingEndpointsAreNoWaits lets a request find some endpoints crowded and the others resting: it waits at a crowded one,
// however many rest.
func TestRestingEndpointsAreNoWaits(t *testing.T) {
	is := is.New(t)
	p := newPath(t, nil, ok, ok, ok, ok, ok, ok, ok, ok)
	for n, set := range p.units {
		for _, u := range set {
			if n < 3 {
				u.Gate = &crowdedGate{}
			} else {
				u.Gate = &gate{err: result.New(result.BackendEjected, "by the test")}
			}
		}
	}
	for range 16 {
		is.Equal(p.do("POST", "/open", "").status, 200)
	}
}

// TestHungTryIsJoinedWhileThereIsTime sends requests that may be repeated, with little time, to endpoints of which one hangs:
// a second try answers them, though nobody knows yet how long a try usually takes.
func TestHungTryIsJoinedWhileThereIsTime(t *testing.T) {
	is := is.New(t)
	p := newPath(t, nil, hang, after(100*time.Millisecond), after(100*time.Millisecond))
	for range 9 {
		is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	}
}

// TestTryThatWaitsIsNotJoinedEarly keeps crowds from growing: a try that waits for a slot is joined only when it takes far
// longer than usual.
func TestTryThatWaitsIsNotJoinedEarly(t *testing.T) {
	is := is.New(t)
	slow := after(400 * time.Millisecond)
	p := newPath(t, nil, slow, slow, slow, slow, slow)
	for _, set := range p.units {
		for _, u := range set {
			u.Gate = &crowdedGate{}
		}
	}
	is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	is.Equal(p.runs.Load(), int32(1))
}

// TestJoiningTryCountsAsARepeat lets the exit side count a second try, since the first may have arrived.
func TestJoiningTryCountsAsARepeat(t *testing.T) {
	is := is.New(t)
	slow := after(400 * time.Millisecond)
	p := newPath(t, nil, slow, slow)
	var gates []*claimGate
	for _, set := range p.units {
		for _, u := range set {
			gates = append(gates, &claimGate{})
			u.Gate = gates[len(gates)-1]
		}
	}
	is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	repeats := 0
	for _, g := range gates {
		if g.last().Retry {
			repeats++
		}
	}
	is.Equal(repeats, 1)
}

// after answers well after a while.
func after(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		ok(w, r)
	}
}

// claimGate keeps the last claim.
type claimGate struct {
	gate
	claim atomic.Pointer[backend.SlotRequest]
}

func (g *claimGate) Acquire(ctx context.Context, c backend.SlotRequest) (func(), error) {
	g.claim.Store(&c)
	return g.gate.Acquire(ctx, c)
}

func (g *claimGate) last() backend.SlotRequest {
	if c := g.claim.Load(); c != nil {
		return *c
	}
	return backend.SlotRequest{}
}
