package instance

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/event"
	"amaranthstile/internal/owner"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
)

const (
	expiryInterval         = 250 * time.Millisecond
	healthCheckInterval    = 20 * time.Millisecond
	maxIdleConnsPerBackend = 64
)

// backends owns the registry of the backend servers in the slots of this instance.
type backends struct {
	owner     *owner.Owner
	registry  *backend.Registry     // accessed only by the owner
	published []membership.Endpoint // endpoints last published to the membership; accessed only by the owner
	upstreams atomic.Pointer[backend.UpstreamSet]
	event     *event.Logger
	health    *healthMonitor
	members   directory
}

// directory is the part of the membership that backends uses.
type directory interface {
	// SetEndpoints publishes the endpoints in this instance's slots.
	SetEndpoints([]membership.Endpoint)
	Directory() *membership.Directory
}

func newBackends(o *owner.Owner, newID func() string, e *event.Logger, m directory) *backends {
	b := &backends{owner: o, registry: backend.NewRegistry(newID), event: e, health: newHealthMonitor(), members: m}
	b.upstreams.Store(&backend.UpstreamSet{})
	return b
}

// currentUpstreams returns the present backend servers.
func (b *backends) currentUpstreams() backend.UpstreamSet { return *b.upstreams.Load() }

// publish replaces the set of upstreams and publishes changed endpoints to the membership. It runs in the owner.
func (b *backends) publish() {
	now, servers := time.Now(), b.registry.Servers()
	next := b.currentUpstreams().WithServers(servers, newBackendTransport)
	b.upstreams.Store(&next)
	b.health.sync(now, servers)
	endpoints := b.health.endpoints(now, b.registry.Endpoints())
	if !slices.Equal(endpoints, b.published) {
		b.published = slices.Clone(endpoints)
		b.members.SetEndpoints(endpoints)
	}
}

func newBackendTransport() *http.Transport {
	return link.NewTransport(maxIdleConnsPerBackend, link.BackendIdleTimeout)
}

// Announce implements backend.Registrar.
func (b *backends) Announce(a backend.Announcement) (l backend.Lease, err error) {
	b.owner.Do(func() {
		l, err = b.registry.Announce(time.Now(), a)
		if err == nil {
			b.publish()
			b.event.Log(event.BackendAnnounced, event.F("backend", a.ID), event.F("service", a.Service))
		}
	})
	return l, err
}

// Renew implements backend.Registrar.
func (b *backends) Renew(lease string, state membership.EndpointState) (l backend.Lease, err error) {
	b.owner.Do(func() {
		l, err = b.registry.Renew(time.Now(), lease, state)
		if err == nil && state != "" {
			b.publish()
		}
	})
	return l, err
}

// Drain implements backend.Registrar.
func (b *backends) Drain(lease string) (err error) {
	b.owner.Do(func() {
		err = b.registry.Drain(lease)
		if err == nil {
			b.publish()
			b.event.Log(event.BackendDraining)
		}
	})
	return err
}

// Leave implements backend.Registrar.
func (b *backends) Leave(lease string) (err error) {
	b.owner.Do(func() {
		err = b.registry.Leave(lease)
		if err == nil {
			b.publish()
			b.event.Log(event.BackendLeft)
		}
	})
	return err
}

// expire removes backend servers that stopped renewing their leases, until ctx ends.
func (b *backends) expire(ctx context.Context) {
	for ctx.Err() == nil {
		b.owner.Do(b.expireOnce)
		wait.Sleep(ctx, expiryInterval)
	}
}

func (b *backends) expireOnce() {
	now := time.Now()
	warmed := b.registry.EndWarming(now)
	expired := b.registry.Expire(now)
	if len(expired) == 0 && !warmed {
		return
	}
	b.publish()
	for _, s := range expired {
		b.event.Log(event.BackendLapsed, event.F("backend", s.ID), event.F("service", s.Service))
	}
}

// monitorHealth checks the health of the backend servers and publishes changes to the membership, until ctx ends.
func (b *backends) monitorHealth(ctx context.Context, self membership.ID) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	var lastDirectory *membership.Directory
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.health.wake:
		}
		now := time.Now()
		if d := b.members.Directory(); d != lastDirectory {
			b.health.setPeers(now, d, self)
			lastDirectory = d
		}
		events, reportDue := b.health.tick(now)
		if len(events) > 0 || reportDue {
			b.owner.Do(b.publish)
		}
		for _, e := range events {
			b.logHealthEvent(e)
		}
	}
}

func (b *backends) logHealthEvent(e health.Event) {
	id := map[health.Change]event.ID{
		health.Ejected:      event.EndpointEjected,
		health.TrialsOpened: event.EndpointTrials,
		health.Returned:     event.EndpointReturned,
	}[e.Change]
	b.event.Log(id, event.F("backend", e.Backend), event.F("service", e.Service), event.F("reason", string(e.Verdict.Reason)),
		event.F("holdMillis", e.Verdict.HoldUntil.Sub(e.Verdict.Since).Milliseconds()), event.F("repeats", e.Verdict.RecentEjections))
}
