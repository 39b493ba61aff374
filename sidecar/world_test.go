package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthstile/backend"
	"amaranthstile/event"
	"amaranthstile/exit"
	"amaranthstile/internal/freeport"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/sidecar"
)

// memoryStore is a sidecar.Store in memory with faults.
type memoryStore struct {
	mu       sync.Mutex
	stored   sidecar.StoredConfiguration
	contacts map[string]sidecar.Contact
	changed  chan struct{}
	mute     bool // waits hear nothing
	halves   bool // a listing shows only the instances of the asking one's half
	away     bool
	reads    atomic.Int64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{contacts: make(map[string]sidecar.Contact), changed: make(chan struct{})}
}

func (m *memoryStore) put(t *testing.T, c *sidecar.Configuration) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored = sidecar.StoredConfiguration{Specification: data, Revision: m.stored.Revision + 1}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) set(mute, away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mute, m.away = mute, away
}

func (m *memoryStore) Configuration(context.Context) (sidecar.StoredConfiguration, error) {
	m.reads.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return sidecar.StoredConfiguration{}, result.New(result.PlatformUnavailable, "away")
	}
	if m.stored.Revision == 0 {
		return sidecar.StoredConfiguration{}, result.New(result.PlatformNotFound, "none")
	}
	return m.stored, nil
}

func (m *memoryStore) AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (sidecar.StoredConfiguration, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		s, mute, away, changed := m.stored, m.mute, m.away, m.changed
		m.mu.Unlock()
		if away {
			return s, false, result.New(result.PlatformUnavailable, "away")
		}
		if !mute && s.Revision > after {
			return s, true, nil
		}
		if mute {
			<-ctx.Done()
			return s, false, result.Wrap(result.PlatformUnavailable, ctx.Err(), "silent")
		}
		select {
		case <-changed:
		case <-timer.C:
			return s, false, nil
		case <-ctx.Done():
			return s, false, result.Wrap(result.PlatformUnavailable, ctx.Err(), "cut")
		}
	}
}

// half is the store as one half of a fleet sees it.
type half struct {
	*memoryStore
	names map[string]bool
}

// Contacts implements sidecar.Store.
func (h half) Contacts(ctx context.Context) ([]sidecar.Contact, error) {
	all, err := h.memoryStore.Contacts(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.halves {
		return all, err
	}
	return slices.DeleteFunc(all, func(c sidecar.Contact) bool { return !h.names[c.Name] }), err
}

func (m *memoryStore) Contacts(context.Context) ([]sidecar.Contact, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return nil, result.New(result.PlatformUnavailable, "away")
	}
	var out []sidecar.Contact
	for _, c := range m.contacts {
		out = append(out, c)
	}
	return out, nil
}

func (m *memoryStore) Register(_ context.Context, c sidecar.Contact) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacts[c.Name] = c
	return nil
}

func decode(data []byte) (*sidecar.Configuration, error) {
	c := &sidecar.Configuration{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, result.Wrap(result.TicketUnreadable, err, "configuration")
	}
	return c, nil
}

// node is one instance with the backend server beside it.
type node struct {
	*sidecar.Instance
	settings *sidecar.Settings
	reporter sidecar.Reporter
	backend  *backendServer
	client   *http.Client
	network  *cutNetwork
}

// cutNetwork refuses connections to addresses that were cut off.
type cutNetwork struct {
	link.SystemNetwork
	cut sync.Map // by address
}

// DialContext implements link.Network.
func (n *cutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if _, ok := n.cut.Load(address); ok {
		<-ctx.Done() // as a cut does
		return nil, ctx.Err()
	}
	c, err := n.SystemNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, network: n, address: address}, nil
}

// cutConn goes silent once its address is cut off.
type cutConn struct {
	net.Conn
	network *cutNetwork
	address string
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if _, ok := c.network.cut.Load(c.address); ok {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// backendServer is a backend server with faults.
type backendServer struct {
	id       string
	listener net.Listener
	runs     atomic.Int64
	handle   atomic.Pointer[http.HandlerFunc]
}

func newBackendServer(t *testing.T, id string) *backendServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backendServer{id: id, listener: l}
	b.answer(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		(*b.handle.Load())(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return b
}

func (b *backendServer) answer(h http.HandlerFunc) { b.handle.Store(&h) }

// reset breaks every exchange, as a gray backend server does.
func reset(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func (b *backendServer) address() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// headerNotRun is the sign by which a backend server of these tests says that it did not run a request.
const headerNotRun = "Test-Not-Run"

// testDialect is the product's own dialect with a sign for requests that were not run.
type testDialect struct{ exit.NativeDialect }

// ReadResponse implements exit.Dialect.
func (d testDialect) ReadResponse(resp *http.Response, r *http.Request, u *backend.Upstream) exit.ResponseInfo {
	facts := d.NativeDialect.ReadResponse(resp, r, u)
	facts.NotRun = resp.Header.Get(headerNotRun) != ""
	return facts
}

// serviceName is the service of all backend servers of these tests.
const serviceName = "s"

// start starts an instance with a backend server beside it.
func start(t *testing.T, store sidecar.Store, n int, domain string) *node {
	t.Helper()
	return startWith(t, store, n, domain, sidecar.DefaultBounds())
}

// startWith is start with bounds of the platform's.
func startWith(t *testing.T, store sidecar.Store, n int, domain string, bounds sidecar.Bounds) *node {
	t.Helper()
	out := &node{backend: newBackendServer(t, fmt.Sprintf("b%d", n)), client: &http.Client{Transport: &http.Transport{}}, network: &cutNetwork{}}
	out.settings = &sidecar.Settings{
		Name: "node" + strconv.Itoa(n), Domain: domain, Region: "region", Service: serviceName,
		Clients: freeport.Address(t), Link: freeport.Address(t), Ready: freeport.Address(t), Reports: freeport.Address(t), Control: freeport.Address(t),
		Backend: out.backend.address(), Bounds: bounds,
	}
	var err error
	out.Instance, err = sidecar.Start(sidecar.Options{
		Settings: out.settings, Store: store, Decode: decode,
		ClientMiddleware: func(next http.Handler) http.Handler { return next },
		WriteError:       link.WriteClientError,
		RequestID:        func(r *http.Request) string { return r.Header.Get("Request-Id") },
		Dialect:          testDialect{},
		NewReportHandler: func(to sidecar.Reporter) http.Handler {
			out.reporter = to
			return http.NotFoundHandler()
		},
		ReadinessPattern: "GET /ready",
		Events:           event.Discard(),
		Network:          out.network,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(out.Kill)
	out.report(1, false)
	return out
}

// report tells the instance of its backend server.
func (n *node) report(sequence uint64, draining bool) {
	n.reporter.Report(sidecar.Report{
		ID: n.backend.id, StartTime: time.UnixMilli(1000), Sequence: sequence, Service: n.settings.Service,
		Address: n.backend.address(), Slots: 3, Draining: draining,
	})
}

// get sends a request to the entry side and returns the status.
func (n *node) do(t *testing.T, method, path, key string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+n.settings.Clients.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := n.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// eventually waits until ok holds.
func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}
