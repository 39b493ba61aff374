package standin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/backend/standin"
)

// TestAnnouncerIsSafeForConcurrentUse announces and drains at the same time, for the race detector.
func TestAnnouncerIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	slot := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(backend.Lease{ID: "lease"})
	}))
	defer slot.Close()
	a := standin.NewAnnouncer(netip.MustParseAddrPort(strings.TrimPrefix(slot.URL, "http://")), backend.Announcement{ID: "b"})
	var calls sync.WaitGroup
	for range 10 {
		calls.Go(func() { is.NoErr(a.Announce(t.Context())) })
		calls.Go(func() { is.NoErr(a.Drain(t.Context())) })
	}
	calls.Wait()
}
