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
	"amaranthstile/contract"
	"amaranthstile/entry"
	"amaranthstile/exit"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/route"
	"amaranthstile/ticket"
)

const key = "the-key-of-an-account"

// path is an entry side, one exit side for each backend server, and the backend servers, on loopback.
type path struct {
	options entry.Options
	records map[membership.ID]*membership.Record
	gate    *gate
	units   []backend.UpstreamSet
	runs    atomic.Int32 // requests that reached a backend server
	queries sync.Map     // *atomic.Int32, the same by query
	servers []*http.Server
	address string
	handler *entry.Handler
	// stretch wraps the address of a hop, to cut it.
	stretch func(hop string, a netip.AddrPort) netip.AddrPort
}

type gate struct{ err error }

func (g *gate) Acquire(context.Context, backend.SlotRequest) (func(), error) { return func() {}, g.err }

func (g *gate) Load() backend.Load { return backend.Load{} }

type admit struct{ err error }

func (a *admit) Admit(context.Context, *contract.Account) error { return a.err }

func serve(t testing.TB, s *http.Server, wrap func(net.Listener) net.Listener) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(wrap(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func plain(l net.Listener) net.Listener { return l }

func view() *entry.Config {
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
		"a": {Value: &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(key)}, Rate: 1e6, Burst: 1e6}},
	}
	return &entry.Config{Routes: route.NewTable(routes), Accounts: contract.NewIndex(accounts)}
}

func newPath(t testing.TB, stretch func(hop string, a netip.AddrPort) netip.AddrPort, handlers ...http.HandlerFunc) *path {
	if stretch == nil {
		stretch = func(_ string, a netip.AddrPort) netip.AddrPort { return a }
	}
	p := &path{records: make(map[membership.ID]*membership.Record), gate: &gate{}, stretch: stretch}
	for i, h := range handlers {
		p.addBackend(t, strconv.Itoa(i), h)
	}
	var exchange atomic.Uint64
	v, forwarder := view(), link.NewForwarder(link.SystemNetwork{}, nil)
	t.Cleanup(forwarder.Close)
	p.options = entry.Options{
		Config:         func() *entry.Config { return v },
		Directory:      func() *membership.Directory { return membership.NewDirectory(p.records) },
		Admitter:       &admit{},
		Selector:       &entry.RoundRobin{},
		Forwarder:      forwarder,
		NewExchangeID:  func() string { return "x" + strconv.FormatUint(exchange.Add(1), 10) },
		CheckAuthority: func() error { return nil },
	}
	p.listen(t)
	return p
}

// listen starts an entry side with the present options.
func (p *path) listen(t testing.TB) {
	p.handler = entry.New(p.options)
	p.address = serve(t, entry.NewServer(p.handler), entry.Listen).String()
}

// runsOf returns how often a request with this query reached a backend server.
func (p *path) runsOf(query string) int {
	if count, ok := p.queries.Load(query); ok {
		return int(count.(*atomic.Int32).Load())
	}
	return 0
}

// end waits until the exit sides and backend servers have nothing more to do.
func (p *path) end(t testing.TB) {
	for _, s := range p.servers {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (p *path) addBackend(t testing.TB, id string, h http.HandlerFunc) {
	counted := func(w http.ResponseWriter, r *http.Request) {
		p.runs.Add(1)
		count, _ := p.queries.LoadOrStore(r.URL.RawQuery, new(atomic.Int32))
		count.(*atomic.Int32).Add(1)
		w.Header().Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
		h(w, r)
	}
	server := &http.Server{Handler: http.HandlerFunc(counted), ReadHeaderTimeout: time.Minute}
	address := serve(t, server, plain)
	unit := &backend.Upstream{
		Announcement: backend.Announcement{ID: id, Address: p.stretch("backend", address), EchoesExchange: true},
		Gate:         p.gate,
		Transport:    link.NewTransport(4, time.Minute),
	}
	set := backend.UpstreamSet{id: unit}
	p.units = append(p.units, set)
	exitSide := exit.New(exit.Options{Backends: func() backend.UpstreamSet { return set }})
	linkServer := &http.Server{Handler: exitSide, ReadHeaderTimeout: time.Minute}
	linkAddress := serve(t, linkServer, plain)
	p.servers = append(p.servers, linkServer, server)
	p.records[membership.ID(id)] = &membership.Record{
		ID:        membership.ID(id),
		Link:      p.stretch("link", linkAddress),
		Endpoints: []membership.Endpoint{{Backend: id, Service: "s", Slots: 1, State: membership.Active}},
	}
}

// outcome is an answer as a caller sees it.
type outcome struct {
	status int
	code   result.Code
	run    result.RunStatus
	header http.Header
	body   string
	err    error // the answer did not come whole
}

// raw sends bytes on a new connection and reads all answers to its end.
func (p *path) raw(request string) []outcome {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return []outcome{{err: err}}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, request)
	var out []outcome
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return out
		}
		out = append(out, read(resp))
	}
}

func read(resp *http.Response) outcome {
	body, err := io.ReadAll(resp.Body)
	n, _ := strconv.Atoi(resp.Header.Get(link.HeaderCode))
	return outcome{
		status: resp.StatusCode, code: result.Code(n), run: result.RunStatus(resp.Header.Get(link.HeaderRun)),
		header: resp.Header, body: string(body), err: err,
	}
}

// client sends each request on a connection of its own, so that it never sends one twice.
var client = &http.Transport{DisableKeepAlives: true}

// do makes one request.
func (p *path) do(method, target, body string, headers ...string) outcome {
	r, err := http.NewRequest(method, "http://"+p.address+target, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.RoundTrip(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp)
}

func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte(r.Method+" "+r.RequestURI+" "), body...))
}
