package entry_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/entry"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// newError returns an error with a result code.
func newError(code result.Code) error { return result.New(code, "by the test") }

// hang never responds.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncated ends the response in the middle of its body.
func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "9")
	_, _ = w.Write([]byte("half"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// refusals lists all result codes that a client can get, each with a way to provoke it. The default request is
// "POST /open".
var refusals = []struct {
	name    string
	setup   func(p *pipeline)
	handler http.HandlerFunc
	raw     string
	target  string
	header  []string
	code    result.Code
	// alternative is the code if the entry side's own timer for the same deadline fires first.
	alternative result.Code
	run         result.RunStatus
}{
	{name: "internal", setup: func(p *pipeline) { p.options.Admitter = &stubAdmitter{errors.New("x")} }, target: "/keyed", header: authHeader, code: result.Internal, run: result.NotRun},
	{name: "no route", target: "/absent", code: result.RouteNotFound, run: result.NotRun},
	{name: "no key", target: "/keyed", code: result.KeyMissing, run: result.NotRun},
	{name: "wrong key", target: "/keyed", header: []string{"Authorization", "Bearer x"}, code: result.KeyRejected, run: result.NotRun},
	{name: "rate", setup: func(p *pipeline) { p.options.Admitter = &stubAdmitter{newError(result.RateExceeded)} }, target: "/keyed", header: authHeader, code: result.RateExceeded, run: result.NotRun},
	{name: "key revoked while waiting", setup: revokeKeyWhileWaiting, target: "/keyed", header: authHeader, code: result.KeyRejected, run: result.NotRun},
	{name: "no endpoint", target: "/none", code: result.NoEndpoint, run: result.NotRun},
	{name: "deadline", setup: func(p *pipeline) { p.options.Forwarder = slowLink{} }, target: "/quick", code: result.DeadlinePassed, run: result.MayHaveRun},
	{name: "bad chunk", raw: "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", code: result.RequestInvalid, run: result.NotRun},
	{name: "declared too large", raw: "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", code: result.RequestTooLarge, run: result.NotRun},
	{name: "headers", target: "/open", header: []string{"X", strings.Repeat("x", 40<<10)}, code: result.HeadersTooLarge, run: result.NotRun},
	{name: "no standing", setup: func(p *pipeline) { p.options.CheckAuthority = func() error { return newError(result.NoStanding) } }, target: "/keyed", header: authHeader, code: result.NoStanding, run: result.NotRun},
	{name: "queue", setup: func(p *pipeline) { p.gate.err = newError(result.QueueFull) }, code: result.QueueFull, run: result.NotRun},
	{name: "not ready", setup: func(p *pipeline) { p.options.Config = func() *entry.Config { return nil } }, code: result.NotReady, run: result.NotRun},
	{name: "path", target: "/open/%2e%2e/keyed", code: result.PathAmbiguous, run: result.NotRun},
	{name: "method", raw: "TRACE /open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", code: result.MethodRefused, run: result.NotRun},
	{name: "key form", target: "/keyed", header: append([]string{"Idempotency-Key", "a1.no-homes"}, authHeader...), code: result.IdempotencyKeyForm, run: result.NotRun},
	{name: "unreachable", setup: func(p *pipeline) { p.backends[0]["0"].Address = netip.MustParseAddrPort("127.0.0.1:1") }, code: result.BackendUnreachable, run: result.NotRun},
	{name: "hang", handler: hang, target: "/quick", code: result.BackendTimeout, alternative: result.DeadlinePassed, run: result.MayHaveRun},
	{name: "truncated", handler: truncated, code: result.AnswerTruncated, run: result.Ran},
	{name: "crossed", handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Amaranth-Exchange", "other") }, code: result.AnswerCrossed, run: result.Ran},
	{name: "switching", handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Upgrade", "x")
		w.WriteHeader(http.StatusSwitchingProtocols)
	}, code: result.AnswerProtocol, run: result.Ran},
	{name: "impossible status", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(999) }, code: result.AnswerProtocol, run: result.MayHaveRun},
	{name: "impossible status from an older instance", setup: func(p *pipeline) { p.records["0"].Link = olderExitAddress }, code: result.AnswerProtocol, run: result.MayHaveRun},
	{name: "malformed field name over the link", setup: func(p *pipeline) { p.records["0"].Link = malformedExitAddress }, code: result.LinkBroken, run: result.MayHaveRun},
	{
		name: "no end in HTTP/1.0", handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 200<<10)) },
		raw: "GET /open HTTP/1.0\r\nHost: h\r\n\r\n", code: result.AnswerEndUnseen, run: result.Ran,
	},
	{name: "draining", setup: func(p *pipeline) { p.backends[0]["0"].State = membership.Draining }, code: result.BackendDraining, run: result.NotRun},
	{name: "unknown", setup: func(p *pipeline) { delete(p.backends[0], "0") }, code: result.BackendUnknown, run: result.NotRun},
	{name: "busy", setup: func(p *pipeline) { p.gate.err = newError(result.BackendBusy) }, code: result.BackendBusy, run: result.NotRun},
	{name: "limited", setup: func(p *pipeline) { p.gate.err = newError(result.BackendLimited) }, code: result.BackendLimited, run: result.NotRun},
	{name: "cold", setup: func(p *pipeline) { p.gate.err = newError(result.BackendCold) }, code: result.BackendCold, run: result.NotRun},
	{name: "evacuated", setup: func(p *pipeline) { p.gate.err = newError(result.DomainEvacuated) }, code: result.DomainEvacuated, run: result.NotRun},
	{name: "ejected", setup: func(p *pipeline) { p.gate.err = newError(result.BackendEjected) }, code: result.BackendEjected, run: result.NotRun},
	{name: "aborted", handler: abort, code: result.BackendAborted, run: result.MayHaveRun},
	{name: "repeated", setup: func(p *pipeline) { p.options.NewExchangeID = func() string { return "same" } }, code: result.ExchangeRepeated, run: result.MayHaveRun},
	{name: "no link", setup: func(p *pipeline) { p.records["0"].Link = netip.MustParseAddrPort("127.0.0.1:1") }, code: result.LinkUnreachable, run: result.NotRun},
	{name: "link broken", setup: func(p *pipeline) { p.records["0"].Link = closingAddress }, code: result.LinkBroken, run: result.MayHaveRun},
}

// revokeKeyWhileWaiting revokes the API key while the request waits for its account's quota.
func revokeKeyWhileWaiting(p *pipeline) {
	before, after := testConfig(), testConfig()
	after.Accounts = quota.NewIndex(nil)
	var now atomic.Pointer[entry.Config]
	now.Store(before)
	p.options.Config = now.Load
	p.options.Admitter = admitFunc(func() { now.Store(after) })
}

type admitFunc func()

func (f admitFunc) Admit(context.Context, *quota.Account) error {
	f()
	return nil
}

// coveredElsewhere are the result codes in the range of requests that no row of refusals has, with the reason or the
// test that covers them.
var coveredElsewhere = map[result.Code]string{
	result.ShuttingDown:        "TestLateRequestOfAPlannedStopIsFinishedOrRefused in sidecar",
	result.CallerGone:          "the client has disconnected and cannot read it",
	result.RetryBudgetSpent:    "TestRetriesStayWithinTheBudget",
	result.RequestTimeout:      "TestSlowHeadGetsRequestTimeout",
	result.MemoryShort:         "TestRequestWithoutRoomInTheBudgetIsRefused",
	result.TryGivenUp:          "reported to the selector only",
	result.IdempotencyMismatch: "TestAttemptsWithOneKeyRunOnce in instance",
	result.IdempotencyUnknown:  "TestAttemptsWithOneKeyRunOnce in instance",
	result.AnswerTooLarge:      "never in a response: such a response is reported as aborted",
	result.WitnessesMissing:    "to operators",
	result.WitnessGone:         "between instances",
	result.BackendShed:         "reported by dialects that have a header for it: TestShedRequestIsRetriedElsewhere in sidecar",
	result.AnnounceInvalid:     "to backend servers",
	result.LeaseUnknown:        "to backend servers",
	result.IdentityDraining:    "to backend servers",
	result.IdentityTaken:       "to backend servers",
	result.ReportOutdated:      "to backend servers",
	result.ReportUnconfirmed:   "to backend servers",
	result.DepartureUnrecorded: "to backend servers",
	result.LinkRefused:         "between instances",
	result.LinkVersion:         "between instances",
	result.PeerUnknown:         "between instances",
	result.LinkBusy:            "between instances",
	result.LinkTooLarge:        "between instances",
	result.LinkTimeout:         "between instances",
	result.KeysInvalid:         "at the start of an instance",
	result.MessageInvalid:      "between instances",
	result.StateInvalid:        "between instances",
}

var authHeader = []string{"Authorization", "Bearer " + apiKey}

// closingAddress is the address of a listener that closes each connection after the first byte.
var closingAddress = func() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}()

// olderExitAddress is the address of an exit side that passes on the status 600, as versions that did not check it do.
var olderExitAddress = netip.MustParseAddrPort(httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(link.HeaderOrigin, link.OriginBackend)
	w.Header().Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
	w.WriteHeader(600)
})).Listener.Addr().String())

// malformedExitAddress is the address of an exit side that passes on a head in which the name of a field has a blank.
var malformedExitAddress = netip.MustParseAddrPort(httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
		link.HeaderOrigin, link.OriginBackend, link.HeaderExchange, r.Header.Get(link.HeaderExchange))
})).Listener.Addr().String())

func TestEveryRefusalStatesTheRun(t *testing.T) {
	seen := make(map[result.Code]bool)
	for _, c := range refusals {
		seen[c.code] = true
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			handler := c.handler
			if handler == nil {
				handler = ok
			}
			p := newPipeline(t, nil, handler)
			if c.setup != nil {
				c.setup(p)
				p.listen(t)
			}
			target := "/open"
			if c.target != "" {
				target = c.target
			}
			first := clientResponse{}
			switch {
			case c.raw != "":
				first = p.sendRaw(c.raw)[0]
			case c.code == result.ExchangeRepeated:
				is.Equal(p.do("POST", target, "").status, 200)
				p.runs.Store(0)
				fallthrough
			default:
				first = p.do("POST", target, "body", c.header...)
			}
			is.NoErr(first.err)
			is.True(slices.Contains([]result.Code{c.code, cmp.Or(c.alternative, c.code)}, first.code))
			is.Equal(first.run, c.run)
			is.Equal(first.status, first.code.HTTPStatus())
			is.True(strings.Contains(first.body, `"run":"`+string(c.run)+`"`)) // the JSON body states the same
			is.True(!strings.Contains(first.body, "127.0.0.1"))                // and shows no address
			if c.run == result.NotRun {
				is.Equal(p.runs.Load(), int32(0))
			}
			if c.run == result.Ran {
				is.Equal(p.runs.Load(), int32(1))
			}
		})
	}
	for _, e := range result.Table() {
		reaches := e.Code >= 4000 && e.Code < 7000
		if reaches && !seen[e.Code] && coveredElsewhere[e.Code] == "" {
			t.Errorf("code %d %s: add a row, or say in coveredElsewhere why it reaches no client", e.Code, e.Name)
		}
	}
}

// slowLink is a Forwarder that hangs until the request's deadline.
type slowLink struct{}

func (slowLink) Send(ctx context.Context, _ string, _ *http.Request) (*link.Exchange, error) {
	<-ctx.Done()
	return nil, result.WithRun(newError(result.LinkBroken), result.MayHaveRun)
}

func (slowLink) AwaitPath(context.Context, string) error { return newError(result.LinkUnreachable) }

// connectionCutter relays connections and closes them after a number of bytes in one direction.
type connectionCutter struct {
	to         netip.AddrPort
	upstream   bool         // count the bytes to the server, otherwise those from it
	limit      atomic.Int64 // bytes to pass before the connection is closed
	headPassed atomic.Bool  // the whole head of a request was passed to the server
	total      atomic.Int64 // bytes passed in the counted direction
}

func (c *connectionCutter) listen(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for in, err := l.Accept(); err == nil; in, err = l.Accept() {
			out, err := net.Dial("tcp", c.to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go c.relay(out, in, true)
			go c.relay(in, out, false)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (c *connectionCutter) relay(to, from net.Conn, up bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 4096)
	var last []byte
	for {
		n, err := from.Read(buf)
		if up == c.upstream {
			left := c.limit.Load() - c.total.Load()
			if int64(n) > left {
				n, err = int(max(left, 0)), errors.New("cut")
			}
			c.total.Add(int64(n))
		}
		if up && n > 0 {
			// The close of the previous connection may be read while the next request is already in flight.
			last = append(last, buf[:n]...)
			if bytes.Contains(last, []byte("\r\n\r\n")) {
				c.headPassed.Store(true)
			}
		}
		if _, e := to.Write(buf[:n]); e != nil || err != nil {
			return
		}
	}
}

// TestBrokenConnectionsStateTheRun closes the connections of each hop after each byte, in both directions: the
// execution status that the client gets must agree with what the backend server ran.
func TestBrokenConnectionsStateTheRun(t *testing.T) {
	const whole = 1 << 40
	for _, hop := range []string{"link", "backend"} {
		for _, up := range []bool{true, false} {
			t.Run(hop+map[bool]string{true: " up", false: " down"}[up], func(t *testing.T) {
				is := is.New(t)
				cut := &connectionCutter{upstream: up}
				p := newPipeline(t, func(at string, a netip.AddrPort) netip.AddrPort {
					if at != hop {
						return a
					}
					cut.to = a
					return cut.listen(t)
				}, ok)
				p.backends[0]["0"].Transport.DisableKeepAlives = true
				cut.limit.Store(whole)
				is.Equal(p.do("POST", "/open?full", "body").status, 200)
				length := cut.total.Load()
				statuses := make(map[result.RunStatus]int)
				notRun := []string{}
				for n := int64(0); n <= length; n++ {
					p.options.Forwarder = link.NewForwarder(link.SystemNetwork{}, nil)
					p.listen(t)
					cut.total.Store(0)
					cut.headPassed.Store(false)
					cut.limit.Store(n)
					name := fmt.Sprintf("%04d", n)
					got := p.do("POST", "/open?"+name, "body")
					is.NoErr(got.err)
					if got.code == result.OK {
						is.Equal(got.status, 200)
						is.Equal(got.body, "POST /open?"+name+" body")
						is.Equal(p.runsOf(name), 1)
						continue
					}
					statuses[got.run]++
					if got.run == result.NotRun {
						notRun = append(notRun, name)
						// A server that can't see the end of a request's head has not run it.
						is.True(hop != "backend" || !cut.headPassed.Load())
					}
					if got.run == result.Ran {
						is.Equal(p.runsOf(name), 1)
					}
				}
				p.shutDown(t)
				for _, name := range notRun {
					is.Equal(p.runsOf(name), 0)
				}
				for n := range length + 1 {
					is.True(p.runsOf(fmt.Sprintf("%04d", n)) <= 1)
				}
				t.Logf("%d bytes, execution statuses: %v", length, statuses)
				is.True(statuses[result.MayHaveRun] > 0)
			})
		}
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, abort, abort, abort, abort, abort)
	const n = 100
	last := clientResponse{}
	for range n {
		last = p.do("GET", "/open", "")
		is.Equal(last.run, result.MayHaveRun)
	}
	is.Equal(last.code, result.RetryBudgetSpent)
	is.True(p.runs.Load() > n)
	is.True(p.runs.Load() <= n+n/5+10) // retries may add a fifth, plus the 10 tokens of a full bucket
	is.Equal(p.handler.Stats().Retries, uint64(p.runs.Load()-n))
	is.True(p.handler.Stats().BudgetSpent > 0)
	before := p.runs.Load()
	is.Equal(p.do("POST", "/open", "").code, result.BackendAborted)
	is.Equal(p.runs.Load(), before+1) // never sent again
}

func TestRetriesHideOneGrayEndpoint(t *testing.T) {
	for name, gray := range map[string]http.HandlerFunc{
		"hang": hang, "abort": abort, "truncated": truncated, "half a head": halfHead,
		"error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"crossed": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Amaranth-Exchange", "other") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPipeline(t, nil, gray, ok, ok, ok, ok, ok, ok, ok)
			for range 80 {
				is.Equal(p.do("GET", "/open", "").status, 200)
			}
			for n := range 8 { // a request that is not repeatable is never sent twice, and its execution status is true
				name := fmt.Sprint("post", n)
				got := p.do("POST", "/open?"+name, "", "Amaranth-Timeout-Ms", "200")
				is.Equal(p.runsOf(name), 1)
				is.True(got.status == 200 || got.run == result.MayHaveRun || got.run == result.Ran || got.code == 0)
			}
		})
	}
}

// halfHead closes the connection in the middle of the response's head.
func halfHead(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = c.Write([]byte("HTTP/1.1 200 O"))
		_ = c.Close()
	}
}

func TestNotRunIsSentElsewhereUnlessBodyWasRead(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok, ok)
	delete(p.backends[0], "0") // refuses without reading the body
	body := strings.Repeat("x", 300<<10)
	for range 4 {
		got := p.do("POST", "/open", body)
		is.Equal(got.code, result.OK)
		is.Equal(got.status, 200)
		is.Equal(len(got.body), len("POST /open ")+len(body))
	}
	is.Equal(p.runs.Load(), int32(4))
	is.True(p.handler.Stats().Elsewhere > 0)
}

func TestClientThatDisconnectsCancelsTheRun(t *testing.T) {
	is := is.New(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	p := newPipeline(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+p.address+"/open", strings.NewReader("x"))
	go func() {
		<-begun
		cancel()
	}()
	_, err := client.RoundTrip(r)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the run at the backend server was not cancelled")
	}
}

// panickingForwarder panics for the first attempts and then forwards.
type panickingForwarder struct {
	entry.Forwarder
	panics atomic.Int32 // that are left
}

func (f *panickingForwarder) Send(ctx context.Context, addr string, req *http.Request) (*link.Exchange, error) {
	if f.panics.Add(-1) >= 0 {
		panic("planted")
	}
	return f.Forwarder.Send(ctx, addr, req)
}

// TestPanicInAnAttemptEndsOnlyTheAttempt lets attempts panic: a request that may run twice is sent again, any other one
// gets an error that does not state that it was not run, and the process goes on.
func TestPanicInAnAttemptEndsOnlyTheAttempt(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok, ok)
	var reported atomic.Int32
	f := &panickingForwarder{Forwarder: p.options.Forwarder}
	p.options.Forwarder = f
	p.options.OnPanic = func(_ *http.Request, reason any, stack []byte) {
		if reason == "planted" && len(stack) > 0 {
			reported.Add(1)
		}
	}
	p.listen(t)
	f.panics.Store(1)
	is.Equal(p.do("GET", "/open", "").status, http.StatusOK)
	f.panics.Store(1)
	got := p.do("POST", "/open", "")
	is.Equal(got.code, result.Internal)
	is.Equal(got.run, result.MayHaveRun)
	is.Equal(reported.Load(), int32(2))
	is.Equal(p.do("POST", "/open", "").status, http.StatusOK)
}
