package sidecar

import (
	"context"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/membership"
)

const (
	// coldProbeInterval is how often the backend server is asked whether it is cold, where that matters: it may become so at
	// any moment, and its next report may be a second and a half away. Each probe takes a slot for a moment, and the platform
	// allows few of them in a second.
	coldProbeInterval = 500 * time.Millisecond
	// coldProbeTimeout bounds one such request, on the same machine.
	coldProbeTimeout = 200 * time.Millisecond
)

// ColdProbe is what a health response of the backend server says.
type ColdProbe struct {
	// Remaining is how long the backend server stays cold, 0 if it is not cold.
	Remaining time.Duration
	// Reported is set if the response said that, and came from the process that was asked.
	Reported bool
	// Down is set if nothing accepts connections at the address, as after a crash.
	Down bool
	// Err is set if there was no health response.
	Err error
}

// coldBound returns what a cold backend server of a service tolerates.
func (i *Instance) coldBound(service string) admission.ColdBound {
	active := i.configuration.current.Load()
	if active == nil {
		return admission.ColdBound{Unknown: true}
	}
	s := active.Services[service]
	if s.ColdPerSecond <= 0 {
		return admission.ColdBound{}
	}
	b := i.bounds()
	return admission.ColdBound{PerSecond: s.ColdPerSecond, Overage: b.ColdOverage, Slack: b.ColdSlack, ColdStart: s.ColdStart}
}

// healthPath returns the path at which backend servers of a service report their health, "" if there is none.
func (i *Instance) healthPath(service string) string {
	if active := i.configuration.current.Load(); active != nil {
		return active.Services[service].HealthPath
	}
	return ""
}

// boundsCold reports whether the requests to cold backend servers of a service are bounded.
func (i *Instance) boundsCold(service string) bool { return i.coldBound(service).PerSecond > 0 }

// followColdness asks the backend server how long it stays cold, while the configuration bounds the requests to a cold
// one, until ctx ends.
func (i *Instance) followColdness(ctx context.Context) {
	for ctx.Err() == nil {
		u := i.localBackend.current()
		if u == nil || !i.boundsCold(u.Service) {
			wait.Sleep(ctx, failOpenInterval/2)
			continue
		}
		if path := i.healthPath(u.Service); path != "" && i.options.ProbeColdness != nil {
			probeCtx, cancel := context.WithTimeout(ctx, coldProbeTimeout)
			i.localBackend.learnColdness(u, i.options.ProbeColdness(probeCtx, u, path))
			cancel()
		}
		i.localBackend.announceColdness()
		wait.Sleep(ctx, coldProbeInterval)
	}
}

// current returns the present backend server, nil before the first report.
func (b *localBackend) current() *backend.Upstream {
	for _, u := range b.upstreams() {
		return u
	}
	return nil
}

// presentColdBound returns what the present backend server tolerates while it is cold.
func (b *localBackend) presentColdBound() admission.ColdBound {
	if u := b.current(); u != nil {
		return b.coldBound(u.Service)
	}
	return admission.ColdBound{Unknown: true}
}

// learnColdness takes over what a health response of a backend server says, unless another process is the present one.
func (b *localBackend) learnColdness(u *backend.Upstream, p ColdProbe) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gate != u.Gate {
		return
	}
	now := time.Now()
	if p.Err != nil {
		b.coldProbeFailures.Add(1)
	}
	switch {
	case p.Down:
		b.cold.Update(func(c *admission.ColdServer) { c.NewProcess() }) // the next one to listen has just started
	case p.Reported:
		b.cold.Update(func(c *admission.ColdServer) { c.LearnResponse(now, p.Remaining) })
	}
}

// learnReportedColdness takes over what the last report says; the calling function holds the lock.
func (b *localBackend) learnReportedColdness(newProcess bool) {
	now := time.Now()
	b.cold.Update(func(c *admission.ColdServer) {
		if newProcess {
			c.NewProcess()
		}
		c.LearnHeartbeat(now, b.state.WarmupRemaining)
	})
}

// announceColdness announces the endpoint anew if it has become cold or is not cold any more.
func (b *localBackend) announceColdness() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.upstream != nil && b.endpointState() != b.upstream.State {
		c := b.cold.Coldness(time.Now())
		b.event.Log(event.BackendCold,
			event.F("backend", b.upstream.ID), event.F("cold", c.Cold), event.F("cold_ms", c.Remaining.Milliseconds()))
		b.publish()
	}
}

// endpointState returns the state of the endpoint as other instances see it; the calling function holds the lock. Where
// the requests to a cold backend server are not bounded, only its reports count.
func (b *localBackend) endpointState() membership.EndpointState {
	warming := b.state.WarmupRemaining > 0
	if c := b.cold.Coldness(time.Now()); c.Bounded {
		warming = c.Cold
	}
	switch {
	case !b.state.AcceptsRequests():
		return membership.Draining
	case warming:
		return membership.Warming
	}
	return membership.Active
}
