package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"amaranthstile/backend"
	"amaranthstile/balancer"
	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/exit"
	"amaranthstile/gossip"
	"amaranthstile/idempotency"
	"amaranthstile/internal/bytebudget"
	"amaranthstile/internal/httpserver"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/settings"
	"amaranthstile/store"
)

const idBytes = 8

// Options configures an instance.
type Options struct {
	Settings *settings.Settings
	// Platform is the client of the platform's object API; the default is an HTTP client for the address in the
	// settings.
	Platform store.Client
	Events   *event.Logger
	// Network opens the connections to other instances; the default is the operating system's network.
	Network link.Network
}

// Instance is one running instance of the fleet.
type Instance struct {
	options      Options
	id           membership.ID
	lastExchange atomic.Uint64
	system       *actor.ActorSystem

	configuration  *configuration
	backends       *backends
	members        *gossip.Members
	discovery      *discovery
	replicator     *replicator
	authority      *authorityManager
	shares         *shareManager
	rosterProposer *rosterProposer
	keys           *link.Keys // nil if the links are not encrypted
	control        *link.ControlServer
	calls          *link.ControlClient
	forwarder      *link.Forwarder
	selector       *balancer.Selector
	entry          *entry.Handler
	idempotency    *idempotency.Service

	metrics   *metrics
	traffic   link.Traffic
	budget    *bytebudget.Budget // what clients use
	listeners listeners
	servers   []*http.Server
	requests  *httpserver.Requests
	cancel    context.CancelFunc
	running   sync.WaitGroup
	ready     chan struct{}
	stopping  atomic.Bool
}

// Start opens the sockets and starts the instance. The channel that Ready returns is closed once the instance takes
// requests.
func Start(o Options) (*Instance, error) {
	if o.Platform == nil {
		o.Platform = store.NewHTTP(store.HTTPOptions{Base: o.Settings.Platform})
	}
	if o.Events == nil {
		o.Events = event.Discard()
	}
	if o.Network == nil {
		o.Network = link.SystemNetwork{}
	}
	i := &Instance{options: o, id: membership.ID(randomID()), ready: make(chan struct{}), requests: httpserver.NewRequests()}
	if err := i.readKeys(); err != nil {
		return nil, err
	}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.buildParts()
	i.startServing()
	o.Events.Log(event.InstanceStarted, event.F("id", string(i.id)), event.F("callers", i.Addresses().Clients.String()))
	return i, nil
}

func randomID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (i *Instance) buildParts() {
	s := i.options.Settings
	i.budget = bytebudget.New(bytebudget.LimitsOf(s.MemoryMB<<20, httpserver.Descriptors(0)))
	i.system = owner.NewSystem()
	i.control = link.NewControlServer()
	i.control.SetLogger(i.options.Events)
	i.calls = link.NewControlClient(i.options.Network, i.clientTLS())
	i.control.Traffic, i.calls.Traffic = &i.traffic, &i.traffic
	i.forwarder = link.NewForwarder(i.options.Network, i.clientTLS())
	self := membership.Record{
		ID:      i.id,
		Name:    s.Name,
		Domain:  s.Domain,
		Region:  s.Region,
		Link:    addrPort(i.listeners.link),
		Control: addrPort(i.listeners.control),
	}
	i.members = gossip.New(owner.New(i.system), self, i.listeners.membership, i.calls, i.options.Events)
	i.members.Traffic = &i.traffic
	i.applySecrets()
	i.buildConfiguration(self)
	i.backends = newBackends(owner.New(i.system), randomID, i.options.Events, i.members)
	i.selector = i.newSelector()
	i.idempotency = i.newIdempotency()
	i.register()
	i.entry = i.newEntry()
	i.metrics = newMetrics(i)
}

// buildConfiguration creates the parts whose state the instances agree on: authority leases, rate shares, tickets and
// their replication.
func (i *Instance) buildConfiguration(self membership.Record) {
	s := i.options.Settings
	i.authority = newAuthorityManager(owner.New(i.system), self, i.members, i.calls, i.options.Events)
	i.shares = newShareManager(owner.New(i.system), i.authority, i.members, i.calls, i.id)
	i.configuration = newConfiguration(owner.New(i.system), i.options.Platform, i.options.Events, i.authority, i.shares)
	i.rosterProposer = &rosterProposer{configuration: i.configuration, authority: i.authority, members: i.members, event: i.options.Events}
	i.discovery = newDiscovery(i.options.Platform, i.members, self, peersOf(s))
	i.replicator = newReplicator(i.configuration, i.members, i.calls, i.options.Events, self)
	i.configuration.replicator = i.replicator
	i.authority.fetchFrom = func(ctx context.Context, r *membership.Record) { i.replicator.fetch(ctx, r.Control) }
}

// register registers the methods that other instances call.
func (i *Instance) register() {
	link.Register(i.control, gossip.MethodSync, i.members.HandleSync)
	link.Register(i.control, methodEntries, i.replicator.handleEntries)
	link.Register(i.control, methodManifest, i.replicator.transfer.handleManifest)
	link.Register(i.control, methodChunk, i.replicator.transfer.handleChunk)
	link.Register(i.control, methodKnowledge, i.authority.handleKnowledge)
	link.Register(i.control, methodHold, i.authority.handleHold)
	link.Register(i.control, methodRelayLease, i.authority.handleRelayLease)
	link.Register(i.control, methodLease, i.shares.handleLease)
	link.Register(i.control, methodNudge, i.shares.handleNudge)
	i.idempotency.Register(i.control)
}

func (i *Instance) startServing() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	entrySide := httpserver.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("entry", i.entry))
	mayOverlap := func(r *http.Request) bool { return !i.stopping.Load() && i.entry.MayRunTwice(r) }
	i.serveOn(entry.NewServer(entrySide, mayOverlap), entry.ListenWithBudget(i.listeners.clients, i.entry.Limits, i.budget))
	exitSide := httpserver.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("exit", exit.New(exit.Options{Backends: i.backends.currentUpstreams, Observer: i.backends.health, CheckKey: i.checkKeyInForce, Budget: i.budget})))
	i.serveOn(httpserver.NewInternalServer(exitSide), i.withTLS(i.listeners.link))
	i.serveLocal(i.listeners.slot, backend.NewAPI(i.backends))
	i.serveLocal(i.listeners.admin, i.adminHandler())
	i.running.Go(func() { _ = i.control.Serve(i.withTLS(i.listeners.control)) })
	i.running.Go(func() { i.members.Run(ctx) })
	i.running.Go(func() { i.discovery.run(ctx) })
	i.running.Go(func() { i.replicator.run(ctx) })
	i.running.Go(func() { i.authority.run(ctx) })
	i.running.Go(func() { i.shares.admitter.Run(ctx) })
	i.running.Go(func() { i.rosterProposer.run(ctx) })
	i.running.Go(func() { i.watchKeys(ctx) })
	i.running.Go(func() { i.idempotency.Sweep(ctx, i.replicator.isWatcher) })
	i.running.Go(func() { i.backends.expire(ctx) })
	i.running.Go(func() { i.backends.monitorHealth(ctx, i.id) })
	i.running.Go(func() { i.configuration.compact(ctx) })
	loaded := make(chan struct{})
	i.running.Go(func() { i.configuration.follow(ctx, func() { close(loaded) }) })
	i.running.Go(func() { i.becomeReady(ctx, loaded, i.discovery.joined, i.authority.waitForFirstLease(ctx)) })
}

// becomeReady marks the instance as ready once every part of its state is loaded.
func (i *Instance) becomeReady(ctx context.Context, parts ...<-chan struct{}) {
	for _, part := range parts {
		select {
		case <-part:
		case <-ctx.Done():
			return
		}
	}
	close(i.ready)
	i.options.Events.Log(event.InstanceReady)
}

// readyView returns the configuration that requests use, or nil until the instance is ready.
func (i *Instance) readyView() *entry.Config {
	if !i.isReady() {
		return nil
	}
	return i.configuration.view.Load()
}

func (i *Instance) newEntry() *entry.Handler {
	return entry.New(entry.Options{
		Config:         i.readyView,
		Directory:      i.members.Directory,
		Admitter:       i.shares.admitter,
		Selector:       i.selector,
		Forwarder:      i.forwarder,
		NewExchangeID:  i.newExchangeID,
		CheckAuthority: i.authority.Check,
		Idempotency:    i.idempotency,

		ShutdownDeadline: i.requests.Deadline,
		AdmitUntil:       i.requests.Admit,
		OnPanic: func(_ *http.Request, reason any, stack []byte) {
			i.options.Events.Log(event.PanicContained, event.PanicFields(reason, stack)...)
		},
	})
}

// checkKeyInForce checks, for the exit side, that a key still belongs to the account. An instance without an authority
// lease, or one that is behind the entry side, can't be sure of that, so it refuses with BackendBusy and the entry side
// retries at another endpoint.
func (i *Instance) checkKeyInForce(use exit.KeyUse) error {
	if err := i.authority.Check(); err != nil {
		return result.Wrap(result.BackendBusy, err, "the key can't be checked")
	}
	view := i.configuration.view.Load()
	a, ok := view.Accounts.FindHash(use.Hash)
	switch {
	case ok && a.Name == use.Account:
		return nil
	case use.AcceptedBy > view.Revision:
		return result.New(result.BackendBusy, "the key can't be checked: revision %d is in force", view.Revision)
	}
	return result.New(result.KeyRejected, "the key was revoked while the request waited; revision %d is in force", view.Revision)
}

// newExchangeID returns an exchange ID that is unique among all instances and all their restarts.
func (i *Instance) newExchangeID() string {
	return string(i.id) + "-" + strconv.FormatUint(i.lastExchange.Add(1), 36)
}

// Ready returns a channel that is closed once the configuration, the membership and the authority lease are loaded
// or, for the membership and the authority lease, a time limit has passed.
func (i *Instance) Ready() <-chan struct{} { return i.ready }
