// Package fleet runs a small fleet in one process, with embedded stand-ins for the platform and the backend
// servers, on loopback addresses. The demo, the tests and the measurements use it.
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
	"amaranthstile/internal/trialkeys"
	"amaranthstile/settings"
	"amaranthstile/store"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

// OperatorKey opens the administration addresses of the fleet's instances.
const OperatorKey = "operator-key-of-a-trial-fleet"

// Options are the options of a fleet.
type Options struct {
	// Domains are the failure domains; instances are spread over them in turn.
	Domains []string
	Region  string
	// Instances is the number of instances.
	Instances int
	// Peers gives each instance the control addresses of up to three earlier ones, for when the platform is away.
	Peers bool
	// KeyDir holds the files of the links\' keys, as trialkeys.In names them; "" for plain links.
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
	// Partitions are the partitions between the instances, by their index.
	Partitions *Partitions

	mu          sync.Mutex // guards Instances while the fleet runs
	platformURL string
	servers     []*http.Server
}

// Backend is a running stand-in of a backend server.
type Backend struct {
	Server    *backendstandin.Server
	Announcer *backendstandin.Announcer
	Options   backendstandin.Options
	// Instance is the index of the instance beside it.
	Instance int
	address  netip.AddrPort
	stop     context.CancelFunc
	http     *http.Server
}

// Start starts the platform's stand-in and the instances.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{options: o, Store: store.NewMemory(), Partitions: newCuts()}
	f.Platform = standin.New(f.Store)
	l, s, err := listen(f.Platform)
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

// listen serves h on a loopback address.
func listen(h http.Handler) (netip.AddrPort, *http.Server, error) {
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
		Network:  network{cuts: f.Partitions, from: n},
	})
	if err != nil {
		return nil, err
	}
	at := i.Addresses()
	f.Partitions.place(n, at.Link.String(), at.Control.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Instances = append(f.Instances, i)
	return i, nil
}

// Running returns the instances that take requests: those that are ready and not stopping.
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

func (f *Fleet) settings(n int) *settings.Settings {
	any0 := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	domain := f.options.Domains[n%len(f.options.Domains)]
	return &settings.Settings{
		Name:         domain,
		Domain:       domain,
		Region:       f.options.Region,
		Listen:       settings.ListenAddresses{Clients: any0, Admin: any0, Backends: any0, Link: any0, Control: any0},
		Platform:     f.platformURL,
		OperatorKeys: []ticket.Hash{ticket.HashKey(OperatorKey)},
		LogLevel:     "warn",
		Peers:        f.peers(),
		TLS:          f.keys(),
	}
}

func (f *Fleet) keys() *settings.TLS {
	if f.options.KeyDir == "" {
		return nil
	}
	k := settings.TLS(trialkeys.FilesIn(f.options.KeyDir))
	return &k
}

const maxPeers = 3

// peers are control addresses of instances that run.
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

// AddBackend starts a backend server's stand-in beside an instance and announces it.
func (f *Fleet) AddBackend(instance int, o backendstandin.Options) (*Backend, error) {
	b := &Backend{Server: backendstandin.New(o), Options: o, Instance: instance}
	address, server, err := listen(b.Server)
	if err != nil {
		return nil, err
	}
	b.http, b.address = server, address
	f.Backends = append(f.Backends, b)
	return b, f.announce(b)
}

// announce announces a backend server at the instance beside it and keeps the lease.
func (f *Fleet) announce(b *Backend) error {
	slot := f.Instances[b.Instance].Addresses().Backends.AddrPort
	b.Announcer = backendstandin.NewAnnouncer(slot, b.Options.Announcement(b.address))
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	err := b.Announcer.Announce(ctx)
	go b.Announcer.Run(ctx)
	return err
}

// MoveBackends announces the backend servers beside one instance at another, which replaces it. An announcement that is not
// answered in time gives an error and is made again until it is.
func (f *Fleet) MoveBackends(from, to int) error {
	var failed error
	for _, b := range f.Backends {
		if b.Instance != from {
			continue
		}
		b.stop()
		b.Instance = to
		failed = errors.Join(failed, f.announce(b))
	}
	return failed
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.stop()
		_ = b.http.Close()
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

const waitStep = 10 * time.Millisecond

// Wait waits until the state of every running instance satisfies ok.
func (f *Fleet) Wait(ctx context.Context, ok func(instance.State) bool) error {
	for _, i := range f.Instances {
		for s := i.State(); !s.Stopping && !ok(s); s = i.State() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(waitStep):
			}
		}
	}
	return nil
}
