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

// busyGate grants slots only to requests that wait for one.
type busyGate struct{ stubGate }

func (g *busyGate) Acquire(ctx context.Context, r backend.SlotRequest) (func(), error) {
	if r.NoWait {
		return nil, result.New(result.BackendBusy, "no slot is free")
	}
	return g.stubGate.Acquire(ctx, r)
}

// TestEjectedEndpointsDoNotCountAsWaits makes some endpoints busy and the others ejected: a request waits at a busy
// one, however many are ejected. Refusals by ejected endpoints must not use up the bound on waits.
func TestEjectedEndpointsDoNotCountAsWaits(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok, ok, ok, ok, ok, ok, ok, ok)
	for n, set := range p.backends {
		for _, u := range set {
			if n < 3 {
				u.Gate = &busyGate{}
			} else {
				u.Gate = &stubGate{err: result.New(result.BackendEjected, "by the test")}
			}
		}
	}
	for range 16 {
		is.Equal(p.do("POST", "/open", "").status, 200)
	}
}

// TestHungAttemptIsHedgedBeforeTheDeadline sends repeatable requests with short deadlines to endpoints of which one
// hangs: a second attempt gets the response, although there are no latency samples yet to tell which attempts are slow.
func TestHungAttemptIsHedgedBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, hang, respondAfter(100*time.Millisecond), respondAfter(100*time.Millisecond))
	for range 9 {
		is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	}
}

// TestAttemptThatWaitsIsNotHedgedEarly checks that hedging does not add to an overload: an attempt that waits for a
// slot is hedged only when it takes far longer than usual.
func TestAttemptThatWaitsIsNotHedgedEarly(t *testing.T) {
	is := is.New(t)
	slow := respondAfter(400 * time.Millisecond)
	p := newPipeline(t, nil, slow, slow, slow, slow, slow)
	for _, set := range p.backends {
		for _, u := range set {
			u.Gate = &busyGate{}
		}
	}
	is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	is.Equal(p.runs.Load(), int32(1))
}

// TestHedgeIsMarkedAsARepeat checks that the exit side sees a second attempt as a retry, since the first one may have
// reached a backend server.
func TestHedgeIsMarkedAsARepeat(t *testing.T) {
	is := is.New(t)
	slow := respondAfter(400 * time.Millisecond)
	p := newPipeline(t, nil, slow, slow)
	var gates []*recordingGate
	for _, set := range p.backends {
		for _, u := range set {
			gates = append(gates, &recordingGate{})
			u.Gate = gates[len(gates)-1]
		}
	}
	is.Equal(p.do("GET", "/open", "", "Amaranth-Timeout-Ms", "600").status, 200)
	retries := 0
	for _, g := range gates {
		if g.last().Retry {
			retries++
		}
	}
	is.Equal(retries, 1)
}

// respondAfter returns a handler that responds like ok after a delay.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		ok(w, r)
	}
}

// recordingGate records the last slot request.
type recordingGate struct {
	stubGate
	request atomic.Pointer[backend.SlotRequest]
}

func (g *recordingGate) Acquire(ctx context.Context, r backend.SlotRequest) (func(), error) {
	g.request.Store(&r)
	return g.stubGate.Acquire(ctx, r)
}

func (g *recordingGate) last() backend.SlotRequest {
	if r := g.request.Load(); r != nil {
		return *r
	}
	return backend.SlotRequest{}
}
