package exit_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// recorder keeps what the exit side tells of one exchange.
type recorder struct {
	mu         sync.Mutex
	sent, head bool
	outcome    backend.Outcome
	ended      chan struct{}
}

func (r *recorder) Begin(string, string, time.Time) backend.Exchange { return r }

func (r *recorder) Sent(time.Time) { r.set(func() { r.sent = true }) }

func (r *recorder) Head(time.Time) { r.set(func() { r.head = true }) }

func (r *recorder) End(_ time.Time, o backend.Outcome) {
	r.set(func() { r.outcome = o })
	close(r.ended)
}

func (r *recorder) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// brokenBody breaks off after a few bytes, as a caller that leaves while it sends.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestOutcomes lists how an exchange can end and what the judgement of the backend server is told.
func TestOutcomes(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			echo(w, r)
			w.WriteHeader(code)
		}
	}
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	cut := func(length string, sent int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set("Content-Length", length)
			_, _ = io.WriteString(w, strings.Repeat("x", sent))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	for name, c := range map[string]struct {
		backend    http.HandlerFunc // nil for none
		body       io.Reader
		timeout    string
		cancel     bool
		want       backend.Outcome
		sent, head bool
	}{
		"answered":             {status(200), strings.NewReader("body"), "", false, backend.OutcomeAnswered, true, true},
		"client error":         {status(404), nil, "", false, backend.OutcomeAnswered, true, true},
		"error":                {status(500), nil, "", false, backend.OutcomeError, true, true},
		"shed":                 {status(503), nil, "", false, backend.OutcomeShed, true, true},
		"crossed":              {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(link.HeaderExchange, "other") }, nil, "", false, backend.OutcomeCrossed, true, true},
		"short, truncated":     {cut("10", 5), nil, "", false, backend.OutcomeTruncated, true, true},
		"long, truncated":      {cut("1000000", 500_000), nil, "", false, backend.OutcomeTruncated, true, true},
		"aborted":              {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, "", false, backend.OutcomeAborted, true, false},
		"no connection":        {nil, nil, "", false, backend.OutcomeUnreachable, true, false},
		"time limit":           {hang, nil, "20", false, backend.OutcomeTimeout, true, false},
		"caller left":          {hang, nil, "", true, backend.OutcomeCancelled, true, false},
		"caller's body broken": {hang, brokenBody{strings.NewReader("part")}, "", false, backend.OutcomeCancelled, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := netip.MustParseAddrPort("127.0.0.1:1") // nobody listens
			if c.backend != nil {
				s := httptest.NewServer(c.backend)
				defer s.Close()
				address = netip.MustParseAddrPort(s.Listener.Addr().String())
			}
			a := backend.Announcement{ID: "b", Service: "s", Address: address, Slots: 3, State: membership.Active, EchoesExchange: true}
			transport := func() *http.Transport { return link.NewTransport(1, time.Minute) }
			set := backend.UpstreamSet{}.WithServers([]backend.Server{{Announcement: a}}, transport)
			seen := &recorder{ended: make(chan struct{})}
			h := exit.New(exit.Options{Backends: func() backend.UpstreamSet { return set }, Observer: seen})

			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", c.body)
			if _, broken := c.body.(brokenBody); broken {
				r.ContentLength = 100_000 // a short body is read before it is handed over: TestShortBrokenBodyIsNotHandedOver
			}
			r.Header.Set(link.HeaderBackend, "b")
			r.Header.Set(link.HeaderExchange, "e1")
			if c.timeout != "" {
				r.Header.Set(link.HeaderTimeout, c.timeout)
			}
			if c.cancel {
				time.AfterFunc(20*time.Millisecond, cancel)
			}
			w := httptest.NewRecorder()
			func() {
				defer func() { _ = recover() }() // a long answer that breaks off breaks the link's connection
				h.ServeHTTP(w, r)
			}()
			<-seen.ended
			is.Equal(seen.outcome, c.want)
			is.Equal(seen.sent, c.sent)
			is.Equal(seen.head, c.head)
			_, ok := backend.ParseLoad(w.Header().Get(link.HeaderLoad))
			is.True(ok) // every answer tells the load
		})
	}
}
