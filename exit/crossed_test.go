package exit_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// headerID holds the ID of a request, and in a response that of the request that it belongs to.
	headerID = "Test-Id"
	// headerRefused marks responses to requests that were not run.
	headerRefused = "Test-Refused"
)

// refusingDialect is a dialect with IDs and refusals.
type refusingDialect struct{ exit.NativeDialect }

// ReadResponse implements exit.Dialect.
func (refusingDialect) ReadResponse(resp *http.Response, r *http.Request, _ *backend.Upstream) exit.ResponseInfo {
	return exit.ResponseInfo{
		Crossed:  resp.Header.Get(headerID) != r.Header.Get(headerID),
		NotRun:   resp.Header.Get(headerRefused) != "",
		Replaced: resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// startRepeatingServer starts a backend server that refuses the first request, and writes that refusal once more in
// place of the response to each later request, which it runs.
func startRepeatingServer(t *testing.T, status int, run func(id string)) netip.AddrPort {
	t.Helper()
	first := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first == "" {
			first = r.Header.Get(headerID)
		} else {
			run(r.Header.Get(headerID))
		}
		w.Header().Set(headerID, first)
		if status != http.StatusMisdirectedRequest {
			w.Header().Set(headerRefused, "1")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "refused")
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestRepeatedRefusalIsNotTakenForOneOfTheNextRequest sends two requests to a backend server that answers the second one
// with its refusal of the first one.
func TestRepeatedRefusalIsNotTakenForOneOfTheNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			var runs []string
			address := startRepeatingServer(t, status, func(id string) { runs = append(runs, id) })
			a := backend.Announcement{ID: "b", Service: "s", Address: address, Slots: 3, State: membership.Active}
			set := backend.UpstreamSet{}.WithServers([]backend.Server{{Announcement: a}}, func() *http.Transport { return link.NewTransport(1, time.Minute) })
			replaced := 0
			exitSide := exit.New(exit.Options{
				Backends: func() backend.UpstreamSet { return set }, Dialect: refusingDialect{}, OnReplaced: func(string) { replaced++ },
			})
			send := func(id string) error {
				r := httptest.NewRequest(http.MethodPost, "/", nil)
				r.Header.Set(link.HeaderBackend, "b")
				r.Header.Set(link.HeaderExchange, id)
				r.Header.Set(headerID, id)
				w := httptest.NewRecorder()
				exitSide.ServeHTTP(w, r)
				return link.ReadError(w.Header())
			}
			is.Equal(result.RunOf(send("first")), result.NotRun)
			err := send("second")
			is.Equal(runs, []string{"second"})
			is.Equal(result.CodeOf(err), result.AnswerCrossed)
			is.True(result.RunOf(err) != result.NotRun)
			is.True(replaced <= 1)
		})
	}
}
