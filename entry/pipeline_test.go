package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthstile/backend"
	"amaranthstile/entry"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
	"amaranthstile/route"
	"amaranthstile/ticket"
)

// apiKey is the API key of the client account "a".
const apiKey = "the-key-of-an-account"

// pipeline consists of an entry side, backend servers and one exit side for each of them, all on the loopback
// interface.
type pipeline struct {
	options     entry.Options
	records     map[membership.ID]*membership.Record
	gate        *stubGate
	backends    []backend.UpstreamSet
	runs        atomic.Int32 // requests that reached a backend server
	runsByQuery sync.Map     // from query to *atomic.Int32: requests that reached a backend server
	servers     []*http.Server
	address     string
	handler     *entry.Handler
	// wrapAddress returns the address to use instead of that of a hop, so that a test can break its connections.
	wrapAddress func(hop string, a netip.AddrPort) netip.AddrPort
}

// stubGate grants a slot to every request, or refuses them all with err.
type stubGate struct{ err error }

func (g *stubGate) Acquire(context.Context, backend.SlotRequest) (func(), error) {
	return func() {}, g.err
}

func (g *stubGate) Load() backend.Load { return backend.Load{} }

// stubAdmitter admits every request, or refuses them all with err.
type stubAdmitter struct{ err error }

func (a *stubAdmitter) Admit(context.Context, *quota.Account) error { return a.err }

// serve runs an HTTP server on a loopback port until the test ends and returns its address.
func serve(t testing.TB, s *http.Server, wrap func(net.Listener) net.Listener) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(wrap(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func unwrapped(l net.Listener) net.Listener { return l }

// testConfig returns a configuration with four routes and one client account.
func testConfig() *entry.Config {
	routes := make(map[string]ticket.Object[ticket.Route])
	for name, r := range map[string]*ticket.Route{
		"open":  {Prefix: "/open", Service: "s", Open: true, MaxBodyBytes: 1 << 20, TimeLimitMillis: 5000},
		"keyed": {Prefix: "/keyed", Service: "s"},
		"quick": {Prefix: "/quick", Service: "s", Open: true, TimeLimitMillis: 60},
		"none":  {Prefix: "/none", Service: "absent", Open: true},
	} {
		routes[name] = ticket.Object[ticket.Route]{Value: r}
	}
	accounts := map[string]ticket.Object[ticket.Account]{
		"a": {Value: &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(apiKey)}, Rate: 1e6, Burst: 1e6}},
	}
	return &entry.Config{Routes: route.NewTable(routes), Accounts: quota.NewIndex(accounts)}
}

// newPipeline starts a pipeline with one backend server for each handler. A nil wrapAddress leaves all addresses as
// they are.
func newPipeline(t testing.TB, wrapAddress func(hop string, a netip.AddrPort) netip.AddrPort, handlers ...http.HandlerFunc) *pipeline {
	if wrapAddress == nil {
		wrapAddress = func(_ string, a netip.AddrPort) netip.AddrPort { return a }
	}
	p := &pipeline{records: make(map[membership.ID]*membership.Record), gate: &stubGate{}, wrapAddress: wrapAddress}
	for i, h := range handlers {
		p.addBackend(t, strconv.Itoa(i), h)
	}
	var exchange atomic.Uint64
	config, forwarder := testConfig(), link.NewForwarder(link.SystemNetwork{}, nil)
	t.Cleanup(forwarder.Close)
	p.options = entry.Options{
		Config:         func() *entry.Config { return config },
		Directory:      func() *membership.Directory { return membership.NewDirectory(p.records) },
		Admitter:       &stubAdmitter{},
		Selector:       &entry.RoundRobin{},
		Forwarder:      forwarder,
		NewExchangeID:  func() string { return "x" + strconv.FormatUint(exchange.Add(1), 10) },
		CheckAuthority: func() error { return nil },
	}
	p.listen(t)
	return p
}

// listen starts an entry side with the current options.
func (p *pipeline) listen(t testing.TB) {
	p.handler = entry.New(p.options)
	p.address = serve(t, entry.NewServer(p.handler, p.handler.MayRunTwice), entry.Listen).String()
}

// runsOf returns how often a request with this query reached a backend server.
func (p *pipeline) runsOf(query string) int {
	if count, ok := p.runsByQuery.Load(query); ok {
		return int(count.(*atomic.Int32).Load())
	}
	return 0
}

// shutDown stops the exit sides and backend servers after their last request.
func (p *pipeline) shutDown(t testing.TB) {
	for _, s := range p.servers {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// addBackend starts a backend server that counts its requests, and an exit side for it.
func (p *pipeline) addBackend(t testing.TB, id string, h http.HandlerFunc) {
	counted := func(w http.ResponseWriter, r *http.Request) {
		p.runs.Add(1)
		count, _ := p.runsByQuery.LoadOrStore(r.URL.RawQuery, new(atomic.Int32))
		count.(*atomic.Int32).Add(1)
		w.Header().Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
		h(w, r)
	}
	server := &http.Server{Handler: http.HandlerFunc(counted), ReadHeaderTimeout: time.Minute}
	address := serve(t, server, unwrapped)
	upstream := &backend.Upstream{
		Announcement: backend.Announcement{ID: id, Address: p.wrapAddress("backend", address), EchoesExchange: true},
		Gate:         p.gate,
		Transport:    link.NewTransport(4, time.Minute),
	}
	set := backend.UpstreamSet{id: upstream}
	p.backends = append(p.backends, set)
	exitSide := exit.New(exit.Options{Backends: func() backend.UpstreamSet { return set }})
	linkServer := &http.Server{Handler: exitSide, ReadHeaderTimeout: time.Minute}
	linkAddress := serve(t, linkServer, unwrapped)
	p.servers = append(p.servers, linkServer, server)
	p.records[membership.ID(id)] = &membership.Record{
		ID:        membership.ID(id),
		Link:      p.wrapAddress("link", linkAddress),
		Endpoints: []membership.Endpoint{{Backend: id, Service: "s", Slots: 1, State: membership.Active}},
	}
}

// clientResponse is a response as a client gets it.
type clientResponse struct {
	status int
	code   result.Code
	run    result.RunStatus
	header http.Header
	body   string
	err    error // the response did not arrive whole
}

// sendRaw sends bytes on a new connection and reads responses until the connection ends.
func (p *pipeline) sendRaw(request string) []clientResponse {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return []clientResponse{{err: err}}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, request)
	var out []clientResponse
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return out
		}
		out = append(out, readResponse(resp))
	}
}

// readResponse reads a response whole.
func readResponse(resp *http.Response) clientResponse {
	body, err := io.ReadAll(resp.Body)
	n, _ := strconv.Atoi(resp.Header.Get(link.HeaderCode))
	return clientResponse{
		status: resp.StatusCode, code: result.Code(n), run: result.RunStatus(resp.Header.Get(link.HeaderRun)),
		header: resp.Header, body: string(body), err: err,
	}
}

// client sends each request on a new connection, so that it never retries one.
var client = &http.Transport{DisableKeepAlives: true}

// do sends one request. The headers are names and values in turn.
func (p *pipeline) do(method, target, body string, headers ...string) clientResponse {
	r, err := http.NewRequest(method, "http://"+p.address+target, strings.NewReader(body))
	if err != nil {
		return clientResponse{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.RoundTrip(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp)
}

// ok responds with the method, the target and the body of the request.
func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte(r.Method+" "+r.RequestURI+" "), body...))
}
