package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/balancer"
	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/exit"
	"amaranthstile/gossip"
	"amaranthstile/internal/bytebudget"
	"amaranthstile/internal/httpserver"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// Options are the options of an instance. All fields are required unless their comment names a default.
type Options struct {
	Settings *Settings
	Store    Store
	// Decode decodes the configuration that the operator wrote.
	Decode func(specification []byte) (*Configuration, error)
	// ClientMiddleware adapts the handler for clients to their protocol, and WriteError writes an error response to a
	// client.
	ClientMiddleware func(next http.Handler) http.Handler
	WriteError       func(w http.ResponseWriter, err error)
	// RequestID returns a request's identity for the log.
	RequestID func(r *http.Request) string
	// Dialect translates between the instance and its backend server.
	Dialect exit.Dialect
	// NewReportHandler returns the handler that decodes the reports of the backend server and passes them to a Reporter.
	NewReportHandler func(Reporter) http.Handler
	// ProbeColdness asks the backend server at its health path how long it stays cold; by default only reports tell it.
	ProbeColdness func(ctx context.Context, u *backend.Upstream, path string) ColdProbe
	// ReadinessPattern is the http.ServeMux pattern of the readiness check.
	ReadinessPattern string
	Events           *event.Logger
	// Network connects to other instances; default the system's network.
	Network link.Network
}

// Reporter receives the reports of the backend server. A call may be acknowledged only if it returns no error: what it
// says is then in force.
type Reporter interface {
	// Report records a report. That of a drain waits, until ctx ends, for the record to outlive this process.
	Report(ctx context.Context, r Report) error
	// Leave records that the process of the backend server with this ID and start time is leaving, and waits likewise.
	Leave(ctx context.Context, id string, startTime time.Time) error
}

// Instance is one process of the fleet.
type Instance struct {
	options         Options
	id              membership.ID
	exchangeCounter atomic.Uint64
	system          *actor.ActorSystem
	service         atomic.Pointer[string] // the service of the backend server beside the instance
	currentBounds   atomic.Pointer[Bounds] // in force
	listeners       listeners

	members       *gossip.Members
	configuration *configurationManager
	discovery     *discovery
	registration  *registration
	localBackend  *localBackend
	evacuations   *evacuations
	quotas        *quotas
	selector      *balancer.CostSelector
	control       *link.ControlServer
	calls         *link.ControlClient
	forwarder     *link.Forwarder
	metrics       *metrics
	traffic       link.Traffic
	budget        *bytebudget.Budget // what clients use

	servers  []*http.Server
	requests *httpserver.Requests
	cancel   context.CancelFunc
	running  sync.WaitGroup
	stopping atomic.Bool
}

// Start opens the listeners and starts the instance.
func Start(o Options) (*Instance, error) {
	if o.Network == nil {
		o.Network = link.SystemNetwork{}
	}
	i := &Instance{options: o, id: membership.ID(randomID()), requests: httpserver.NewRequests()}
	i.service.Store(&o.Settings.Service)
	i.currentBounds.Store(&o.Settings.Bounds)
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.build()
	i.run()
	o.Events.Log(event.InstanceStarted,
		event.F("id", string(i.id)), event.F("domain", o.Settings.Domain), event.F("service", o.Settings.Service),
		event.F("callers", o.Settings.Clients.String()), event.F("link", o.Settings.Link.String()),
		event.F("control", o.Settings.Control.String()))
	return i, nil
}

// idBytes is the length of the random ID of a process.
const idBytes = 6

func randomID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// build creates the parts of the instance and registers the methods that other instances call.
func (i *Instance) build() {
	s := i.options.Settings
	i.budget = bytebudget.New(bytebudget.LimitsOf(s.MemoryBytes, httpserver.Descriptors(s.Descriptors)))
	i.system = owner.NewSystem()
	i.control = link.NewControlServer()
	i.control.SetLogger(i.options.Events)
	i.calls = link.NewControlClient(i.options.Network, nil)
	i.control.Traffic, i.calls.Traffic = &i.traffic, &i.traffic
	i.forwarder = link.NewForwarder(i.options.Network, nil)
	self := membership.Record{
		ID: i.id, Name: s.Name, Domain: s.Domain, Region: s.Region, Link: s.Link, Control: s.Control,
		Protocols: [2]uint8{link.ProtocolOldest, link.ProtocolNewest},
	}
	i.members = gossip.New(owner.New(i.system), self, i.listeners.membership, i.calls, i.options.Events)
	i.members.Traffic = &i.traffic
	g := newGenerations(i.options.Events)
	i.configuration = newConfigurationManager(i.options, i.bounds, i.members, i.calls, self, g)
	i.evacuations = newEvacuations(i.options, i.bounds, i.members, i.calls, self, g)
	i.evacuations.isWatcher = i.configuration.isWatcher
	i.configuration.loadEvacuations = i.evacuations.load
	i.localBackend = newLocalBackend(i.options.Events, i.retryBudget, i.members.SetEndpoints, s.HeartbeatInterval)
	i.evacuations.refuseWaiting = i.localBackend.refuseWaiting
	i.registration = newRegistration(i.options.Store, Contact{Name: s.Name, Domain: s.Domain, Control: s.Control}, g,
		i.options.Events, i.localBackend.learnDepartures)
	i.localBackend.namesService = func(name string) bool {
		return name == *i.service.Load() || i.configuration.namesService(name)
	}
	i.localBackend.coldBound = i.coldBound
	i.localBackend.recordDeparture = i.registration.recordDeparture
	i.discovery = &discovery{
		store: i.options.Store, members: i.members, self: self, peers: s.Peers, event: i.options.Events,
		registration: i.registration, generations: g,
		onFirstContacts: func(a []netip.AddrPort) { i.configuration.contacts <- slices.Clone(a) },
	}
	i.quotas = newQuotas(i)
	i.configuration.onJoined = i.quotas.startTakeover
	i.registration.onFirstStart = i.quotas.setFirstStart
	i.members.OnReading = i.receiveReading
	i.members.OnDirectoryChange = i.quotas.onViewChange
	i.selector = i.newSelector()
	i.metrics = newMetrics(i)
	link.Register(i.control, gossip.MethodSync, i.members.HandleSync)
	link.Register(i.control, methodConfiguration, i.configuration.handleRequest)
	link.Register(i.control, methodEvacuations, i.evacuations.handleExchange)
	link.Register(i.control, methodUsage, i.quotas.handleUsage)
	link.Register(i.control, methodTransfer, i.quotas.handleTransfer)
}

// receiveReading handles a reading of the store by another instance and returns where to pass it on.
func (i *Instance) receiveReading(r membership.ReadingReceived, suspected map[membership.ID]bool) []membership.ReadingTo {
	if r.Reading.StateHash != 0 {
		return i.evacuations.receiveReading(r, suspected)
	}
	return i.configuration.readings.receive(r.Reading, suspected)
}

// retryBudget returns this instance's part of the retry budget: the slack is divided among the endpoints of the
// service.
func (i *Instance) retryBudget() admission.RetryBound {
	b := i.bounds()
	endpoints := len(i.members.Directory().Endpoints(*i.service.Load()))
	return admission.RetryBound{Window: b.RetryWindow, Ratio: b.RetryRatio, Slack: b.RetrySlack / float64(max(endpoints, 1))}
}

// listeners are the open listeners of an instance.
type listeners struct {
	clients, link, ready, reports, control net.Listener
	membership                             net.PacketConn
}

// listen opens the listeners; if one can't be opened, it leaves none open.
func (i *Instance) listen() error {
	s := i.options.Settings
	err := httpserver.OpenListeners(
		httpserver.ListenerSpec{Listener: &i.listeners.clients, Address: s.Clients},
		httpserver.ListenerSpec{Listener: &i.listeners.link, Address: s.Link},
		httpserver.ListenerSpec{Listener: &i.listeners.ready, Address: s.Ready},
		httpserver.ListenerSpec{Listener: &i.listeners.reports, Address: s.Reports},
	)
	if err != nil {
		return err
	}
	control, datagrams, err := gossip.Listen(i.options.Network, s.Control)
	if err != nil {
		i.listeners.close()
		return err
	}
	i.listeners.control, i.listeners.membership = control, datagrams
	return nil
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.clients, l.link, l.ready, l.reports, l.control} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// run starts the servers and the background work.
func (i *Instance) run() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	entrySide := entry.New(entry.Options{
		Config:              i.configuration.view,
		Directory:           i.members.Directory,
		Admitter:            i.quotas,
		Selector:            i.selector,
		Forwarder:           i.forwarder,
		NewExchangeID:       i.newExchangeID,
		CheckAuthority:      i.checkFreshness,
		WriteError:          i.options.WriteError,
		ClientService:       func() string { return *i.service.Load() },
		RetryShare:          i.localBackend.retryShare,
		ShutdownDeadline:    i.requests.Deadline,
		AdmitUntil:          i.requests.Admit,
		OnDecision:          i.onDecision,
		OnPanic:             i.onPanic,
		PassIdempotencyKeys: true,
		ProbeIdleLinks:      true,
	})
	i.metrics.observeEntry(entrySide)
	exitSide := exit.New(exit.Options{
		Backends:     i.localBackend.upstreams,
		Observer:     i.localBackend,
		CheckKey:     i.configuration.checkKey,
		CheckDomain:  i.evacuations.checkDomain,
		AdmitUntil:   i.requests.Admit,
		Dialect:      i.options.Dialect,
		Budget:       i.budget,
		OnReplaced:   i.localBackend.addressTaken,
		OnStatement:  i.localBackend.handleStatement,
		OnSuggestion: i.localBackend.handleSuggestion,
	})
	clientServer := entry.NewServer(
		httpserver.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("entry", i.options.ClientMiddleware(entrySide))),
		// during a shutdown, each response closes its connection, so that nothing behind it may be started
		func(r *http.Request) bool { return !i.stopping.Load() && entrySide.MayRunTwice(r) },
	)
	i.serveWith(clientServer, entry.ListenWithBudget(i.listeners.clients, entrySide.Limits, i.budget))
	i.serveWith(httpserver.NewInternalServer(
		httpserver.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("exit", exitSide))), i.listeners.link)
	i.serveLocal(i.listeners.reports, i.options.NewReportHandler(i.localBackend))
	i.serveLocal(i.listeners.ready, i.readyHandler())
	i.running.Go(func() { _ = i.control.Serve(i.listeners.control) })
	i.running.Go(func() { i.members.Run(ctx) })
	i.running.Go(func() { i.discovery.run(ctx) })
	i.running.Go(func() { i.registration.run(ctx) })
	i.running.Go(func() { i.configuration.run(ctx) })
	i.running.Go(func() { i.configuration.followPeers(ctx) })
	i.running.Go(func() { i.configuration.pollStore(ctx) })
	i.running.Go(func() { i.configuration.keepFresh(ctx) })
	i.running.Go(func() { i.configuration.keepConfirmed(ctx) })
	i.running.Go(func() { i.evacuations.watch(ctx) })
	i.running.Go(func() { i.evacuations.pollStore(ctx) })
	i.running.Go(func() { i.evacuations.keepFresh(ctx) })
	i.running.Go(func() { i.evacuations.followReadings(ctx) })
	i.running.Go(func() { i.evacuations.spread(ctx) })
	i.running.Go(func() { i.evacuations.keepInTouch(ctx) })
	i.running.Go(func() { i.followColdness(ctx) })
	i.running.Go(func() { i.quotas.run(ctx) })
}

func (i *Instance) newSelector() *balancer.CostSelector {
	return balancer.NewCostSelector(balancer.CostSelectorOptions{
		Domain: i.options.Settings.Domain, Now: time.Now, Rand: mathrand.Float64, Evacuated: i.evacuations.isEvacuated,
		BoundsCold: i.boundsCold,
	})
}

// newExchangeID returns an ID that no other instance and no later process of this instance generates.
func (i *Instance) newExchangeID() string {
	return string(i.id) + "-" + strconv.FormatUint(i.exchangeCounter.Add(1), 36)
}

// onDecision logs the entry side's decision on a request. It also reports the failed calls of the backend server to the
// local backend, and the outcome of every request of a known service to the selector.
func (i *Instance) onDecision(d entry.Decision) {
	if d.Account == "" && (d.Err != nil || d.Status >= http.StatusInternalServerError) {
		i.localBackend.callFailed(time.Now()) // a request without a key is a call of the backend server
	}
	if d.Service != "" {
		i.selector.RequestDone(d.Service, d.Err == nil && d.Status < http.StatusInternalServerError)
	}
	logDecision(i.options.Events, i.options.RequestID(d.Request), d)
}

// onPanic logs that an attempt of a request panicked.
func (i *Instance) onPanic(r *http.Request, reason any, stack []byte) {
	i.options.Events.Log(event.PanicContained, append(event.PanicFields(reason, stack), event.F("request", i.options.RequestID(r)))...)
}

// serveLocal serves a listener for the platform or the backend server.
func (i *Instance) serveLocal(l net.Listener, h http.Handler) {
	i.serveWith(httpserver.NewLocalServer(h), httpserver.LimitLocalConns(l))
}

// serveWith serves a listener with a server, which Stop and Kill end.
func (i *Instance) serveWith(s *http.Server, l net.Listener) {
	i.requests.Attach(s)
	i.servers = append(i.servers, s)
	httpserver.Serve(&i.running, s, l, i.options.Events)
}

// bounds returns the platform's bounds in force.
func (i *Instance) bounds() Bounds { return *i.currentBounds.Load() }

// Reload applies changed settings. Only the service of the backend server and the bounds can change while the process
// runs.
func (i *Instance) Reload(s *Settings) {
	i.service.Store(&s.Service)
	i.currentBounds.Store(&s.Bounds)
	i.options.Events.Log(event.SettingsReloaded,
		event.F("service", s.Service), event.F("config_deadline_s", s.Bounds.ConfigDeadline.Seconds()),
		event.F("grace_s", s.Bounds.GracePeriod.Seconds()), event.F("fail_closed", s.Bounds.FailClosed),
		event.F("evacuation_s", s.Bounds.EvacuationDeadline.Seconds()))
}

// EndpointCount returns how many endpoints of a service this instance knows.
func (i *Instance) EndpointCount(service string) int {
	return len(i.members.Directory().Endpoints(service))
}

// CoordinatorOf returns the name of the instance that coordinates the quota of a client account, as this instance sees
// it, or "" if it is not known.
func (i *Instance) CoordinatorOf(account string) string {
	if r, ok := i.members.Directory().Record(i.quotas.coordinatorOf(account)); ok {
		return r.Name
	}
	return ""
}
