package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/event"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// localBackend owns the backend server beside the instance: its state, its admission gate and its connections.
type localBackend struct {
	event            *event.Logger
	retryBudget      func() admission.RetryBound
	publishEndpoints func([]membership.Endpoint)
	// namesService reports whether there is a service of this name, as far as this instance knows.
	namesService func(string) bool
	// recordDeparture returns once the record that a process has left will outlive this process.
	recordDeparture func(context.Context, BackendProcess) error

	// coldBound returns what a cold backend server of a service tolerates.
	coldBound func(service string) admission.ColdBound
	cold      *admission.ColdGuard
	// coldProbeFailures counts the health checks without a response.
	coldProbeFailures atomic.Uint64

	mu        sync.Mutex
	state     BackendState // guarded by mu
	gate      *admission.Gate
	upstream  *backend.Upstream
	set       atomic.Pointer[backend.UpstreamSet]
	startTime time.Time // of the process that gate and upstream belong to; guarded by mu
	// statement is what the present process of the backend server last said about itself; nil before its first response.
	statement atomic.Pointer[gateStatement]
}

// gateStatement is what the backend server behind a gate says about itself.
type gateStatement struct {
	gate backend.Gate
	backend.Statement
}

// maxIdleBackendConnections is how many idle connections to the backend server are kept: more than it has slots.
const maxIdleBackendConnections = 16

func newLocalBackend(
	e *event.Logger, retryBudget func() admission.RetryBound, publishEndpoints func([]membership.Endpoint),
	heartbeatInterval time.Duration,
) *localBackend {
	b := &localBackend{event: e, retryBudget: retryBudget, publishEndpoints: publishEndpoints}
	b.namesService = func(string) bool { return true }
	b.coldBound = func(string) admission.ColdBound { return admission.ColdBound{} }
	b.cold = admission.NewColdGuard(time.Now(), b.presentColdBound)
	b.state.PastUnknown = true
	b.state.ClaimPeriod = claimPeriod(heartbeatInterval)
	b.set.Store(&backend.UpstreamSet{})
	return b
}

// upstreams returns the present backend server, as a set for the exit side.
func (b *localBackend) upstreams() backend.UpstreamSet { return *b.set.Load() }

// Begin implements backend.Observer.
func (b *localBackend) Begin(id, route string, now time.Time) backend.Exchange {
	if g := b.gateOf(id); g != nil {
		return g.Begin(id, route, now)
	}
	return backend.NoObserver{}.Begin(id, route, now)
}

// callFailed records that a call which the backend server made has failed.
func (b *localBackend) callFailed(now time.Time) {
	for _, u := range b.upstreams() {
		if g, ok := u.Gate.(*admission.Gate); ok {
			g.NestedCallFailed(now)
		}
	}
}

// presentGate returns the gate of the present backend server, nil before the first report.
func (b *localBackend) presentGate() *admission.Gate {
	if u := b.current(); u != nil {
		return b.gateOf(u.ID)
	}
	return nil
}

// retryShare returns which share of the requests that run at the backend server are retries.
func (b *localBackend) retryShare() float64 {
	if g := b.presentGate(); g != nil {
		return g.RetryShare()
	}
	return 0
}

// admissionStats returns how the gate of the present process of the backend server has decided.
func (b *localBackend) admissionStats() admission.Stats {
	if g := b.presentGate(); g != nil {
		return g.Stats()
	}
	return admission.Stats{}
}

// Report implements Reporter. After it returns, no new request is sent to a backend server that reported a drain.
func (b *localBackend) Report(ctx context.Context, r Report) error {
	if err := b.apply(r); err != nil || !r.Draining {
		return err
	}
	return b.recordDeparture(ctx, r.process())
}

// apply applies a report.
func (b *localBackend) apply(r Report) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.state.isKnown(r.process()) && !b.namesService(r.Service) {
		return result.New(result.AnnounceInvalid, "the configuration names no service %s", r.Service)
	}
	changed, err := b.state.Apply(time.Now(), r)
	if changed || err != nil {
		b.logReport(r, err)
	}
	if err == nil && b.state.isKnown(r.process()) {
		b.learnReportedColdness(false)
	}
	if changed {
		b.publish()
	}
	return err
}

// learnDepartures takes over which processes of the backend server have left, as the store holds them.
func (b *localBackend) learnDepartures(d Departures) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state.LearnDepartures(d) {
		b.logReport(b.state.Report, nil)
		b.publish()
	}
}

// logReport logs a report that changed the state, or was ignored because of an error.
func (b *localBackend) logReport(r Report, err error) {
	fields := []event.Field{
		event.F("backend", r.ID), event.F("service", r.Service), event.F("address", r.Address.String()),
		event.F("sequence", r.Sequence), event.F("born", r.StartTime.UnixMilli()),
		event.F("draining", r.Draining), event.F("cold", r.WarmupRemaining.Seconds()),
	}
	if err != nil {
		b.event.Log(event.BackendReportIgnored, append(fields, event.F("code", int(result.CodeOf(err))))...)
		return
	}
	b.event.Log(event.BackendReported, fields...)
}

// Leave implements Reporter.
func (b *localBackend) Leave(ctx context.Context, id string, startTime time.Time) error {
	p, err := b.applyLeave(id, startTime)
	if err != nil {
		return err
	}
	return b.recordDeparture(ctx, p)
}

// applyLeave applies a leave call and returns which process leaves.
func (b *localBackend) applyLeave(id string, startTime time.Time) (BackendProcess, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, changed, err := b.state.Leave(time.Now(), id, startTime)
	switch {
	case err != nil:
		b.event.Log(event.BackendReportIgnored,
			event.F("backend", id), event.F("born", startTime.UnixMilli()), event.F("code", int(result.CodeOf(err))))
	case changed:
		b.event.Log(event.BackendLeft, event.F("backend", id), event.F("born", p.StartMillis))
		if b.state.Known() {
			b.publish()
		}
	}
	return p, err
}

// addressTaken records that another backend server responds at the address of this one.
func (b *localBackend) addressTaken(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leave(id, "another backend server is at its address")
}

// handleStatement takes over what a backend server says about itself.
func (b *localBackend) handleStatement(u *backend.Upstream, s backend.Statement) {
	said := gateStatement{gate: u.Gate, Statement: s}
	before := b.statement.Load()
	if before != nil && *before == said {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gate != u.Gate {
		return // an earlier process of the backend server said it
	}
	b.statement.Store(&said)
	b.gate.LearnLimit(s.Limit, s.Limited)
	if limit := namedLimit(&said); limit != namedLimit(before) {
		b.event.Log(event.BackendLimited, event.F("backend", u.ID), event.F("limit", limit))
	}
	if s.Leaving {
		b.leave(u.ID, "it says so in its responses")
	}
}

// handleSuggestion takes over what another instance saw last that the backend server said, while no response to this
// instance is known: the instance before this one may have seen it, too.
func (b *localBackend) handleSuggestion(id string, s backend.Statement, age time.Duration) {
	if b.statement.Load() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state.ID != id || b.statement.Load() != nil {
		return
	}
	if s.Limited {
		b.gate.SuggestLimit(s.Limit)
	}
	if s.Leaving && b.state.StartTime.Before(time.Now().Add(-age)) {
		b.leave(id, "it said so in a response that another instance saw")
	}
}

// leave records that the backend server is leaving, as something other than its reports shows; the calling function
// holds the lock.
func (b *localBackend) leave(id, reason string) {
	if b.state.ID == id && b.state.markLeft() {
		b.event.Log(event.BackendLeft, event.F("backend", id), event.F("reason", reason))
		b.publish()
	}
}

// gateOf returns the gate of a backend server, or nil if it is not the present one.
func (b *localBackend) gateOf(id string) *admission.Gate {
	if u, ok := b.upstreams()[id]; ok {
		if g, ok := u.Gate.(*admission.Gate); ok {
			return g
		}
	}
	return nil
}

// refuseWaiting refuses the requests that wait for the backend server with an error.
func (b *localBackend) refuseWaiting(err error) {
	for id := range b.upstreams() {
		if g := b.gateOf(id); g != nil {
			g.RefuseWaiting(err)
		}
	}
}

// namedLimit returns the limit that a statement names in requests per second, or -1 for none.
func namedLimit(s *gateStatement) float64 {
	if s == nil || !s.Limited {
		return -1
	}
	return s.Limit
}

// publish replaces the set that the exit side reads and announces the endpoint to the other instances; the calling
// function holds the lock.
func (b *localBackend) publish() {
	reported := &b.state
	newProcess := b.upstream == nil || b.upstream.ID != reported.ID || !b.startTime.Equal(reported.StartTime)
	if newProcess {
		b.learnReportedColdness(true)
	}
	state := b.endpointState()
	a := backend.Announcement{
		ID: reported.ID, Service: reported.Service, Address: reported.Address, Slots: max(reported.Slots, 1), State: state,
	}
	if newProcess || b.upstream.Address != a.Address || b.upstream.Service != a.Service {
		b.statement.Store(nil)
		b.startTime = reported.StartTime
		b.gate = admission.NewGate(a.Slots, b.retryBudget, b.logCooldown(a.ID))
		b.gate.SetColdGuard(b.cold)
		if b.upstream != nil {
			b.upstream.Transport.CloseIdleConnections()
		}
		b.upstream = &backend.Upstream{Announcement: a, Gate: b.gate, Transport: newBackendTransport()}
	} else {
		if b.upstream.Slots != a.Slots {
			b.gate.SetSlots(a.Slots)
		}
		b.upstream = &backend.Upstream{Announcement: a, Gate: b.gate, Transport: b.upstream.Transport}
	}
	b.set.Store(&backend.UpstreamSet{a.ID: b.upstream})
	b.publishEndpoints([]membership.Endpoint{{Backend: a.ID, Service: a.Service, Slots: a.Slots, State: state}})
}

// logCooldown returns the function that logs when the gate puts a backend server in cooldown.
func (b *localBackend) logCooldown(id string) func(time.Duration, backend.Outcome) {
	return func(cooldown time.Duration, o backend.Outcome) {
		b.event.Log(event.BackendRests,
			event.F("backend", id), event.F("outcome", o.String()), event.F("rest_ms", cooldown.Milliseconds()))
	}
}

func newBackendTransport() *http.Transport {
	return link.NewTransport(maxIdleBackendConnections, link.BackendIdleTimeout)
}

// ValidateReport returns an error that carries AnnounceInvalid if a report does not describe a usable endpoint.
func ValidateReport(r Report) error {
	return backend.Announcement{ID: r.ID, Service: r.Service, Address: r.Address, Slots: r.Slots}.Validate()
}
