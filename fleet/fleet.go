// Package fleet runs a small fleet of instances in one process on loopback addresses, with embedded stand-ins for the
// platform and the backend servers. The demo, the tests and the measurements use it.
package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/event"
	"amaranthstile/instance"
	"amaranthstile/internal/testcerts"
	"amaranthstile/settings"
	"amaranthstile/store"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

// OperatorKey is the operator key that the fleet's instances accept at their administration addresses.
const OperatorKey = "operator-key-of-a-trial-fleet"

// Options configure a fleet.
type Options struct {
	// Domains are the failure domains. Instances are assigned to them in rotation.
	Domains []string
	Region  string
	// Instances is the number of instances at the start.
	Instances int
	// Peers gives each instance the control addresses of up to three earlier instances, which it uses while the
	// platform is unavailable.
	Peers bool
	// KeyDir is the directory of the TLS key files, named as in testcerts.FilesIn. If it is empty, the links between
	// instances are plain TCP.
	KeyDir string
	Events *event.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	options   Options
	Store     *store.Memory
	Platform  *standin.Server
	Instances []*instance.Instance
	Backends  []*Backend
	// Partitions are the network partitions between the instances, which are identified by their index.
	Partitions *Partitions

	mu          sync.Mutex // guards Instances while the fleet runs
	platformURL string
	servers     []*http.Server
}

// Backend is a running stand-in for a backend server.
type Backend struct {
	Server    *backendstandin.Server
	Announcer *backendstandin.Announcer
	Options   backendstandin.Options
	// Instance is the index of the instance at which the backend server is registered.
	Instance   int
	address    netip.AddrPort
	cancel     context.CancelFunc
	httpServer *http.Server
}

// Start starts the stand-in for the platform and the instances.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o, Store: store.NewMemory(), Partitions: newPartitions()}
	f.Platform = standin.New(f.Store)
	l, s, err := serveOnLoopback(f.Platform)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	f.platformURL = "http://" + l.String()
	for range o.Instances {
		if _, err := f.AddInstance(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// serveOnLoopback serves h on a free port of the loopback address.
func serveOnLoopback(h http.Handler) (netip.AddrPort, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), s, nil
}

// AddInstance starts one more instance.
func (f *Fleet) AddInstance() (*instance.Instance, error) {
	n := len(f.Instances)
	i, err := instance.Start(instance.Options{
		Settings: f.settings(n),
		Events:   f.options.Events,
		Network:  partitionedNetwork{partitions: f.Partitions, from: n},
	})
	if err != nil {
		return nil, err
	}
	addresses := i.Addresses()
	f.Partitions.register(n, addresses.Link.String(), addresses.Control.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Instances = append(f.Instances, i)
	return i, nil
}

// Running returns the instances that accept requests, that is, those that are ready and not stopping.
func (f *Fleet) Running() []*instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*instance.Instance
	for _, i := range f.Instances {
		if i.Serving() {
			out = append(out, i)
		}
	}
	return out
}

// settings returns the settings of instance n.
func (f *Fleet) settings(n int) *settings.Settings {
	anyPort := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	domain := f.options.Domains[n%len(f.options.Domains)]
	return &settings.Settings{
		Name:         domain,
		Domain:       domain,
		Region:       f.options.Region,
		Listen:       settings.ListenAddresses{Clients: anyPort, Admin: anyPort, Backends: anyPort, Link: anyPort, Control: anyPort},
		Platform:     f.platformURL,
		OperatorKeys: []ticket.Hash{ticket.HashKey(OperatorKey)},
		LogLevel:     "warn",
		Peers:        f.peers(),
		TLS:          f.tlsSettings(),
	}
}

// tlsSettings returns the TLS settings, or nil for plain links.
func (f *Fleet) tlsSettings() *settings.TLS {
	if f.options.KeyDir == "" {
		return nil
	}
	k := settings.TLS(testcerts.FilesIn(f.options.KeyDir))
	return &k
}

// maxPeers is the largest number of peers that an instance is configured with.
const maxPeers = 3

// peers returns the control addresses of up to maxPeers running instances, or none if Options.Peers is false.
func (f *Fleet) peers() []settings.Address {
	if !f.options.Peers {
		return nil
	}
	var out []settings.Address
	for _, i := range f.Running() {
		if len(out) < maxPeers {
			out = append(out, i.Addresses().Control)
		}
	}
	return out
}

// AddBackend starts a stand-in for a backend server and registers it at an instance.
func (f *Fleet) AddBackend(instance int, o backendstandin.Options) (*Backend, error) {
	b := &Backend{Server: backendstandin.New(o), Options: o, Instance: instance}
	address, server, err := serveOnLoopback(b.Server)
	if err != nil {
		return nil, err
	}
	b.httpServer, b.address = server, address
	f.Backends = append(f.Backends, b)
	return b, f.registerBackend(b)
}

// registerBackend registers a backend server at its instance and renews the lease in the background.
func (f *Fleet) registerBackend(b *Backend) error {
	slotAddress := f.Instances[b.Instance].Addresses().Backends.AddrPort
	b.Announcer = backendstandin.NewAnnouncer(slotAddress, b.Options.Announcement(b.address))
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	err := b.Announcer.Announce(ctx)
	go b.Announcer.Run(ctx)
	return err
}

// MoveBackends registers the backend servers of instance from at instance to, which replaces it. If a registration
// fails, for example because no response arrives in time, MoveBackends returns an error and the registration is retried
// in the background until it succeeds.
func (f *Fleet) MoveBackends(from, to int) error {
	var errs error
	for _, b := range f.Backends {
		if b.Instance != from {
			continue
		}
		b.cancel()
		b.Instance = to
		errs = errors.Join(errs, f.registerBackend(b))
	}
	return errs
}

// Close terminates all backend servers, instances and stand-ins immediately.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.cancel()
		_ = b.httpServer.Close()
	}
	for _, i := range f.Instances {
		i.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// WaitReady waits until every instance is ready and sees the given number of endpoints.
func (f *Fleet) WaitReady(ctx context.Context, endpoints int) error {
	return f.Wait(ctx, func(s instance.State) bool {
		n := 0
		for _, r := range s.Instances {
			n += len(r.Endpoints)
		}
		return s.Ready && n == endpoints
	})
}

// pollInterval is the time between two checks of an instance's state.
const pollInterval = 10 * time.Millisecond

// Wait waits until the state of every running instance satisfies ok.
func (f *Fleet) Wait(ctx context.Context, ok func(instance.State) bool) error {
	for _, i := range f.Instances {
		for s := i.State(); !s.Stopping && !ok(s); s = i.State() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}
