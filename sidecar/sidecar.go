package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"amaranthstile/backend/admission"
	"amaranthstile/choice"
	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/exit"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/internal/side"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// Options are the options of an instance; all fields are needed but where a default is named.
type Options struct {
	Settings *Settings
	Store    Store
	// Decode reads what the operator wrote.
	Decode func(specification []byte) (*Configuration, error)
	// ClientMiddleware adapts the handler for callers to their protocol; Refuse answers them with an error.
	ClientMiddleware func(next http.Handler) http.Handler
	WriteError       func(w http.ResponseWriter, err error)
	// RequestID returns a request's identity for the log.
	RequestID func(r *http.Request) string
	// Dialect is how backend servers are spoken to.
	Dialect exit.Dialect
	// NewReportHandler returns the handler for the reports of the backend server.
	NewReportHandler func(Reporter) http.Handler
	// ReadinessPattern is the path of the question whether requests are taken.
	ReadinessPattern string
	Events           *event.Logger
	// Network reaches other instances; default the system's.
	Network link.Network
}

// Reporter takes the reports of the backend server.
type Reporter interface {
	Report(r Report)
	Leave(id string, born time.Time)
}

// Instance is one process of the fleet.
type Instance struct {
	options   Options
	id        membership.ID
	exchange  atomic.Uint64
	system    *actor.ActorSystem
	service   atomic.Pointer[string] // of the backend server beside the instance
	figures   atomic.Pointer[Bounds] // in force
	listeners listeners

	members       *gossip.Members
	configuration *configuration
	discovery     *discovery
	slot          *slot
	allotments    *allotments
	placement     *choice.CostSelector
	control       *link.ControlServer
	calls         *link.ControlClient
	forwarder     *link.Forwarder
	metrics       *metrics
	traffic       link.Traffic

	servers  []*http.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
	stopping atomic.Bool
}

// Start opens the sockets and starts the instance.
func Start(o Options) (*Instance, error) {
	if o.Network == nil {
		o.Network = link.SystemNetwork{}
	}
	i := &Instance{options: o, id: membership.ID(randomID())}
	i.service.Store(&o.Settings.Service)
	i.figures.Store(&o.Settings.Bounds)
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.build()
	i.run()
	o.Events.Log(event.InstanceStarted, event.F("id", string(i.id)), event.F("domain", o.Settings.Domain), event.F("service", o.Settings.Service), event.F("callers", o.Settings.Clients.String()), event.F("link", o.Settings.Link.String()), event.F("control", o.Settings.Control.String()))
	return i, nil
}

// idBytes is the length of a process's identity.
const idBytes = 6

func randomID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (i *Instance) build() {
	s := i.options.Settings
	i.system = owner.NewSystem()
	i.control = link.NewControlServer()
	i.control.SetLogger(i.options.Events)
	i.calls = link.NewControlClient(i.options.Network, nil)
	i.control.Traffic, i.calls.Traffic = &i.traffic, &i.traffic
	i.forwarder = link.NewForwarder(i.options.Network, nil)
	self := membership.Record{ID: i.id, Name: s.Name, Domain: s.Domain, Region: s.Region, Link: s.Link, Control: s.Control}
	i.members = gossip.New(owner.New(i.system), self, i.listeners.membership, i.calls, i.options.Events)
	i.members.Traffic = &i.traffic
	i.configuration = newConfiguration(i.options, i.bounds, i.members, i.calls, self)
	i.discovery = &discovery{store: i.options.Store, members: i.members, self: self, peers: s.Peers, event: i.options.Events}
	i.slot = newSlot(i.options.Events, i.repeats, i.members.SetEndpoints)
	i.allotments = newAllotments(i)
	i.placement = i.newPlacement()
	i.metrics = newMetrics(i)
	link.Register(i.control, gossip.MethodSync, i.members.HandleSync)
	link.Register(i.control, methodConfiguration, i.configuration.answer)
	link.Register(i.control, methodUsage, i.allotments.answer)
}

// repeats is this instance's part of the bound on repeats: the slack is divided among the endpoints of the service.
func (i *Instance) repeats() admission.RetryBound {
	b := i.bounds()
	endpoints := len(i.members.Directory().Endpoints(*i.service.Load()))
	return admission.RetryBound{Window: b.RetryWindow, Ratio: b.RetryRatio, Slack: b.RetrySlack / float64(max(endpoints, 1))}
}

// listeners are the open sockets of an instance.
type listeners struct {
	callers, link, ready, slot, control net.Listener
	membership                          net.PacketConn
}

func (i *Instance) listen() error {
	s := i.options.Settings
	err := side.OpenListeners(
		side.ListenerSpec{Listener: &i.listeners.callers, Address: s.Clients},
		side.ListenerSpec{Listener: &i.listeners.link, Address: s.Link},
		side.ListenerSpec{Listener: &i.listeners.ready, Address: s.Ready},
		side.ListenerSpec{Listener: &i.listeners.slot, Address: s.Reports},
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
	for _, x := range []net.Listener{l.callers, l.link, l.ready, l.slot, l.control} {
		if x != nil {
			_ = x.Close()
		}
	}
}

func (i *Instance) run() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	entrySide := entry.New(entry.Options{
		Config:              i.configuration.view,
		Directory:           i.members.Directory,
		Admitter:            i.allotments,
		Selector:            i.placement,
		Forwarder:           i.forwarder,
		NewExchangeID:       i.newExchange,
		CheckAuthority:      i.standing,
		WriteError:          i.options.WriteError,
		CallerService:       func() string { return *i.service.Load() },
		OnDecision:          i.decided,
		PassIdempotencyKeys: true,
		ProbeIdleLinks:      true,
	})
	exitSide := exit.New(exit.Options{
		Backends:   i.slot.units,
		Observer:   i.slot,
		CheckKey:   i.configuration.mayRun,
		Dialect:    i.options.Dialect,
		OnReplaced: i.slot.gone,
	})
	callers := entry.NewServer(side.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("entry", i.options.ClientMiddleware(entrySide))))
	i.serveOn(callers, entry.ListenWithLimits(i.listeners.callers, entrySide.Limits))
	i.serve(i.listeners.link, side.DisableKeepAliveWhile(i.stopping.Load, i.metrics.Instrument("exit", exitSide)))
	i.serve(i.listeners.slot, i.options.NewReportHandler(i.slot))
	i.serve(i.listeners.ready, i.readyHandler())
	i.running.Go(func() { _ = i.control.Serve(i.listeners.control) })
	i.running.Go(func() { i.members.Run(ctx) })
	i.running.Go(func() { i.discovery.run(ctx) })
	i.running.Go(func() { i.configuration.run(ctx) })
	i.running.Go(func() { i.configuration.follow(ctx) })
	i.running.Go(func() { i.configuration.check(ctx) })
	i.running.Go(func() { i.configuration.keepConfirmed(ctx) })
	i.running.Go(func() { i.allotments.run(ctx) })
}

func (i *Instance) newPlacement() *choice.CostSelector {
	return choice.NewCostSelector(choice.CostSelectorOptions{Domain: i.options.Settings.Domain, Now: time.Now, Rand: mathrand.Float64})
}

// newExchange makes an identity that no other instance and no later process makes.
func (i *Instance) newExchange() string {
	return string(i.id) + "-" + strconv.FormatUint(i.exchange.Add(1), 36)
}

// decided logs what the entry side decided on a request.
func (i *Instance) decided(d entry.Decision) {
	if d.Account == "" && (d.Err != nil || d.Status >= http.StatusInternalServerError) {
		i.slot.callFailed(time.Now()) // requests without a key are calls of the backend server
	}
	if d.Service != "" {
		i.placement.RequestDone(d.Service, d.Err == nil && d.Status < http.StatusInternalServerError)
	}
	logDecision(i.options.Events, i.options.RequestID(d.Request), i.configuration.version(), d)
}

func (i *Instance) serve(l net.Listener, h http.Handler) { i.serveOn(side.NewInternalServer(h), l) }

func (i *Instance) serveOn(s *http.Server, l net.Listener) {
	i.servers = append(i.servers, s)
	side.Serve(&i.running, s, l, i.options.Events)
}

// bounds are the figures of the platform's rules in force.
func (i *Instance) bounds() Bounds { return *i.figures.Load() }

// Reload takes over changed settings. What can change while the process runs is the service beside it and the bounds.
func (i *Instance) Reload(s *Settings) {
	i.service.Store(&s.Service)
	i.figures.Store(&s.Bounds)
	i.options.Events.Log(event.SettingsReloaded, event.F("service", s.Service), event.F("config_deadline_s", s.Bounds.ConfigDeadline.Seconds()), event.F("grace_s", s.Bounds.GracePeriod.Seconds()), event.F("fail_closed", s.Bounds.FailClosed))
}

// EndpointCount returns how many endpoints of a service this instance knows.
func (i *Instance) EndpointCount(service string) int {
	return len(i.members.Directory().Endpoints(service))
}

// CoordinatorOf returns the name of the instance that counts for a client account, as this one sees it.
func (i *Instance) CoordinatorOf(account string) string {
	if r, ok := i.members.Directory().Record(i.allotments.homeOf(account)); ok {
		return r.Name
	}
	return ""
}
