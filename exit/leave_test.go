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

// patientGate waits until its context ends or a time has passed.
type patientGate struct {
	slowGate
	gaveUp atomic.Bool
}

// Acquire implements backend.Gate.
func (g *patientGate) Acquire(ctx context.Context, _ backend.SlotRequest) (func(), error) {
	select {
	case <-ctx.Done():
		g.gaveUp.Store(true)
		return nil, result.New(result.BackendBusy, "left")
	case <-time.After(g.wait):
		return func() {}, nil
	}
}

// TestRequestWithABodyLeavesTheQueueWithItsCaller lets the entry side leave while its request waits for a slot: the request
// must not reach the backend server afterwards.
func TestRequestWithABodyLeavesTheQueueWithItsCaller(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	gate := &patientGate{slowGate: slowGate{wait: time.Second}}
	unit := &backend.Upstream{
		Announcement: backend.Announcement{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Gate:         gate,
		Transport:    link.NewTransport(1, time.Minute),
	}
	defer unit.Transport.CloseIdleConnections()
	side := httptest.NewServer(exit.New(exit.Options{Backends: func() backend.UpstreamSet { return backend.UpstreamSet{"b": unit} }}))
	defer side.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, side.URL, strings.NewReader("a body"))
	is.NoErr(err)
	r.Header.Set(link.HeaderBackend, "b")
	r.Header.Set(link.HeaderExchange, "x")
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil) // the caller left
	time.Sleep(gate.wait + 200*time.Millisecond)
	is.True(gate.gaveUp.Load())
	is.Equal(runs.Load(), int32(0))
}

// TestShortBrokenBodyIsNotHandedOver breaks a short body off on the entry's side.
func TestShortBrokenBodyIsNotHandedOver(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	unit := &backend.Upstream{
		Announcement: backend.Announcement{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Gate:         slowGate{},
		Transport:    link.NewTransport(1, time.Minute),
	}
	defer unit.Transport.CloseIdleConnections()
	r := httptest.NewRequest(http.MethodPost, "/", brokenBody{strings.NewReader("part")})
	r.ContentLength = 100
	r.Header.Set(link.HeaderBackend, "b")
	r.Header.Set(link.HeaderExchange, "x")
	w := httptest.NewRecorder()
	exit.New(exit.Options{Backends: func() backend.UpstreamSet { return backend.UpstreamSet{"b": unit} }}).ServeHTTP(w, r)
	is.Equal(w.Header().Get(link.HeaderRun), string(result.NotRun))
	is.Equal(runs.Load(), int32(0))
}
