package exit_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// slowGate grants each slot after a wait.
type slowGate struct {
	backend.Gate
	wait time.Duration
}

// Acquire implements backend.Gate.
func (g slowGate) Acquire(context.Context, backend.SlotRequest) (func(), error) {
	time.Sleep(g.wait)
	return func() {}, nil
}

// Load implements backend.Gate.
func (slowGate) Load() backend.Load { return backend.Load{} }

func TestKeyIsCheckedAgainAfterAWaitForASlot(t *testing.T) {
	const long = 150 * time.Millisecond
	hash, _ := ticket.HashKey("k").MarshalText()
	for _, c := range []struct {
		name, account, hash string
		revoked             bool
		code                result.Code
		runs                int32
	}{
		{"revoked while it waited", "a", string(hash), true, result.KeyRejected, 0},
		{"still valid", "a", string(hash), false, result.OK, 1},
		{"no hash", "a", "", false, result.KeyRejected, 0},
		{"open route", "", "", true, result.OK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			defer server.Close()
			upstream := &backend.Upstream{
				Announcement: backend.Announcement{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
				Gate:         slowGate{wait: long},
				Transport:    link.NewTransport(1, time.Minute),
			}
			defer upstream.Transport.CloseIdleConnections()
			h := exit.New(exit.Options{
				Backends: func() backend.UpstreamSet { return backend.UpstreamSet{"b": upstream} },
				CheckKey: func(use exit.KeyUse) error {
					is.Equal(use, exit.KeyUse{Account: c.account, Hash: ticket.HashKey("k"), AcceptedBy: 7})
					if c.revoked {
						return result.New(result.KeyRejected, "revoked")
					}
					return nil
				},
			})
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header.Set(link.HeaderBackend, "b")
			r.Header.Set(link.HeaderExchange, "x")
			r.Header.Set(link.HeaderAccount, c.account)
			r.Header.Set(link.HeaderKeyHash, c.hash)
			r.Header.Set(link.HeaderRevision, "7")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			is.Equal(runs.Load(), c.runs)
			if c.code != result.OK {
				err := link.ReadError(w.Header())
				is.Equal(result.CodeOf(err), c.code)
				is.Equal(result.RunOf(err), result.NotRun)
			}
		})
	}
}
