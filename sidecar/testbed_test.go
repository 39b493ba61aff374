package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// memoryStore is an in-memory sidecar.Store with injected faults.
type memoryStore struct {
	sidecar.Store // the calls about evacuations, which are disabled
	mu            sync.Mutex
	stored        sidecar.StoredConfiguration
	contacts      map[string]sidecar.Contact
	changed       chan struct{}
	watchesHang   bool
	divided       bool // each half of the fleet sees only its own contacts; see halfStore
	unavailable   bool
	reads         atomic.Int64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{contacts: make(map[string]sidecar.Contact), changed: make(chan struct{})}
}

// put stores the next configuration.
func (m *memoryStore) put(t *testing.T, c *sidecar.Configuration) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored.Specification = data
	m.stored.Position.Revision++
	close(m.changed)
	m.changed = make(chan struct{})
}

// copy returns the configuration that the store holds, for restore.
func (m *memoryStore) copy() sidecar.StoredConfiguration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored
}

// restore lets the store come back from a copy of its configuration.
func (m *memoryStore) restore(copied sidecar.StoredConfiguration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied.Position.Generation = m.stored.Position.Generation + 1
	m.stored = copied
	close(m.changed)
	m.changed = make(chan struct{})
}

// setFaults replaces the faults.
func (m *memoryStore) setFaults(watchesHang, unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchesHang, m.unavailable = watchesHang, unavailable
}

// Configuration implements sidecar.Store.
func (m *memoryStore) Configuration(context.Context) (sidecar.StoredConfiguration, error) {
	m.reads.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return sidecar.StoredConfiguration{}, result.New(result.PlatformUnavailable, "the store is unavailable")
	}
	if m.stored.Position.Revision == 0 {
		return sidecar.StoredConfiguration{}, result.New(result.PlatformNotFound, "no configuration")
	}
	return m.stored, nil
}

// AwaitConfiguration implements sidecar.Store.
func (m *memoryStore) AwaitConfiguration(ctx context.Context, after sidecar.Position, wait time.Duration) (sidecar.StoredConfiguration, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		s, watchesHang, unavailable, changed := m.stored, m.watchesHang, m.unavailable, m.changed
		m.mu.Unlock()
		if s.Position.Generation != after.Generation {
			return s, false, result.New(result.PlatformHistoryGone, "the generation is over")
		}
		if unavailable {
			return s, false, result.New(result.PlatformUnavailable, "the store is unavailable")
		}
		if !watchesHang && after.Before(s.Position) {
			return s, true, nil
		}
		if watchesHang {
			<-ctx.Done()
			return s, false, result.Wrap(result.PlatformUnavailable, ctx.Err(), "the watch call got no response")
		}
		select {
		case <-changed:
		case <-timer.C:
			return s, false, nil
		case <-ctx.Done():
			return s, false, result.Wrap(result.PlatformUnavailable, ctx.Err(), "the watch call was cancelled")
		}
	}
}

// halfStore is the store as one half of a divided fleet sees it: it lists only the contacts with the given names.
type halfStore struct {
	*memoryStore
	names map[string]bool
}

// Contacts implements sidecar.Store.
func (h halfStore) Contacts(ctx context.Context, after string, fresh bool) (sidecar.ContactPage, error) {
	all, err := h.memoryStore.Contacts(ctx, after, fresh)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.divided {
		return all, err
	}
	all.Contacts = slices.DeleteFunc(all.Contacts, func(c sidecar.Contact) bool { return !h.names[c.Name] })
	return all, err
}

// contactsPerPage is the size of a page of contacts, small enough that a fleet of a test has several.
const contactsPerPage = 2

// Contacts implements sidecar.Store.
func (m *memoryStore) Contacts(_ context.Context, after string, _ bool) (out sidecar.ContactPage, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return out, result.New(result.PlatformUnavailable, "the store is unavailable")
	}
	for _, name := range slices.Sorted(maps.Keys(m.contacts)) {
		if name <= after {
			continue
		}
		if len(out.Contacts) == contactsPerPage {
			out.Next = out.Contacts[contactsPerPage-1].Name
			break
		}
		out.Contacts = append(out.Contacts, m.contacts[name])
	}
	return out, nil
}

// Register implements sidecar.Store.
func (m *memoryStore) Register(_ context.Context, c sidecar.Contact, _ uint64) (sidecar.Registration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	earlier, registered := m.contacts[c.Name]
	m.contacts[c.Name] = c.WithEarlierDepartures(earlier.Departed)
	return sidecar.Registration{Contact: m.contacts[c.Name], Position: m.stored.Position, Created: !registered}, nil
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
	network  *partitionedNetwork
}

// partitionedNetwork lets connections to partitioned addresses hang.
type partitionedNetwork struct {
	link.SystemNetwork
	partitioned sync.Map // by address
	// reachable are the only addresses that connections are not partitioned to; nil means all others.
	reachable atomic.Pointer[map[string]bool]
	link      atomic.Pointer[narrowLink] // over which the instance receives; nil means without a limit
}

// isPartitioned reports whether an address can't be reached.
func (n *partitionedNetwork) isPartitioned(address string) bool {
	if r := n.reachable.Load(); r != nil && !(*r)[address] {
		return true
	}
	_, ok := n.partitioned.Load(address)
	return ok
}

// DialContext implements link.Network.
func (n *partitionedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.isPartitioned(address) {
		<-ctx.Done() // a partition gives no response either
		return nil, ctx.Err()
	}
	c, err := n.SystemNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if l := n.link.Load(); l != nil {
		c = narrowConn{Conn: c, link: l}
	}
	return &partitionedConn{Conn: c, network: n, address: address}, nil
}

// partitionedConn drops what is written once its address is partitioned.
type partitionedConn struct {
	net.Conn
	network *partitionedNetwork
	address string
}

// Write implements net.Conn.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.network.isPartitioned(c.address) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// backendServer is a backend server with injected faults.
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
	b.setHandler(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		(*b.handle.Load())(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return b
}

// setHandler replaces the handler of requests.
func (b *backendServer) setHandler(h http.HandlerFunc) { b.handle.Store(&h) }

// abortConnection closes the connection without a response, as a backend server in gray failure does.
func abortConnection(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func (b *backendServer) address() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// headerNotRun marks responses by which a backend server of these tests reports that it did not run the request.
const headerNotRun = "Test-Not-Run"

// testDialect extends exit.NativeDialect by a header for requests that were not run.
type testDialect struct{ exit.NativeDialect }

// ReadResponse implements exit.Dialect.
func (d testDialect) ReadResponse(resp *http.Response, r *http.Request, u *backend.Upstream) exit.ResponseInfo {
	info := d.NativeDialect.ReadResponse(resp, r, u)
	info.NotRun = resp.Header.Get(headerNotRun) != ""
	return info
}

// serviceName is the service of all backend servers of these tests.
const serviceName = "s"

// start starts an instance with a backend server beside it.
func start(t *testing.T, store sidecar.Store, n int, domain string) *node {
	t.Helper()
	return startWith(t, store, n, domain, sidecar.DefaultBounds())
}

// startWith starts an instance with the given bounds.
func startWith(t *testing.T, store sidecar.Store, n int, domain string, bounds sidecar.Bounds) *node {
	t.Helper()
	out := &node{backend: newBackendServer(t, fmt.Sprintf("b%d", n)), client: &http.Client{Transport: &http.Transport{}}, network: &partitionedNetwork{}}
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

// report sends the instance a report of its backend server.
func (n *node) report(sequence uint64, draining bool) {
	_ = n.reporter.Report(context.Background(), sidecar.Report{
		ID: n.backend.id, StartTime: time.UnixMilli(1000), Sequence: sequence, Service: n.settings.Service,
		Address: n.backend.address(), Slots: 3, Draining: draining,
	})
}

// do sends a request to the entry side and returns the status, or 0 without a response.
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

// eventually fails the test unless ok returns true within a time.
func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not true within %v: %s", within, what)
}
