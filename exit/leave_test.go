package exit_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/result"
)

// patientGate grants a slot after a wait, or refuses if the context ends first.
type patientGate struct {
	slowGate
	gaveUp atomic.Bool
}

// Acquire implements backend.Gate.
func (g *patientGate) Acquire(ctx context.Context, _ backend.SlotRequest) (func(), error) {
	select {
	case <-ctx.Done():
		g.gaveUp.Store(true)
		return nil, result.New(result.BackendBusy, "the context ended")
	case <-time.After(g.wait):
		return func() {}, nil
	}
}

// TestRequestWithABodyLeavesTheQueueWhenTheClientDisconnects disconnects the entry side while its request waits for a
// slot: the request must not reach the backend server afterwards.
func TestRequestWithABodyLeavesTheQueueWhenTheClientDisconnects(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	gate := &patientGate{slowGate: slowGate{wait: time.Second}}
	upstream := &backend.Upstream{
		Announcement: backend.Announcement{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Gate:         gate,
		Transport:    link.NewTransport(1, time.Minute),
	}
	defer upstream.Transport.CloseIdleConnections()
	exitSide := httptest.NewServer(exit.New(exit.Options{Backends: func() backend.UpstreamSet { return backend.UpstreamSet{"b": upstream} }}))
	defer exitSide.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, exitSide.URL, strings.NewReader("a body"))
	is.NoErr(err)
	r.Header.Set(link.HeaderBackend, "b")
	r.Header.Set(link.HeaderExchange, "x")
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil) // the entry side disconnected
	time.Sleep(gate.wait + 200*time.Millisecond)
	is.True(gate.gaveUp.Load())
	is.Equal(runs.Load(), int32(0))
}

// TestIncompleteShortBodyIsNotForwarded ends a short body early on the entry side: the request must not reach the
// backend server.
func TestIncompleteShortBodyIsNotForwarded(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	upstream := &backend.Upstream{
		Announcement: backend.Announcement{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Gate:         slowGate{},
		Transport:    link.NewTransport(1, time.Minute),
	}
	defer upstream.Transport.CloseIdleConnections()
	r := httptest.NewRequest(http.MethodPost, "/", brokenBody{strings.NewReader("part")})
	r.ContentLength = 100
	r.Header.Set(link.HeaderBackend, "b")
	r.Header.Set(link.HeaderExchange, "x")
	w := httptest.NewRecorder()
	exit.New(exit.Options{Backends: func() backend.UpstreamSet { return backend.UpstreamSet{"b": upstream} }}).ServeHTTP(w, r)
	is.Equal(w.Header().Get(link.HeaderRun), string(result.NotRun))
	is.Equal(runs.Load(), int32(0))
}
