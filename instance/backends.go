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
	expiryInterval       = 250 * time.Millisecond
	healthCheckInterval        = 20 * time.Millisecond
	maxIdleConnsPerBackend = 64
)

// backends owns the registry of the backend servers in the slots.
type backends struct {
	owner    *owner.Owner
	registry *backend.Registry     // touched in the owner only
	published     []membership.Endpoint // last told to the membership; touched in the owner only
	upstreams      atomic.Pointer[backend.UpstreamSet]
	event    *event.Logger
	health    *healthMonitor
	members  directory
}

// directory is what the backend servers' owner needs of the membership.
type directory interface {
	// setEndpoints tells the endpoints in the own slots after every change.
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

// publish swaps the set and tells the membership; it runs in the owner.
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

// Announce implements backend.Announcer.
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

// Renew implements backend.Announcer.
func (b *backends) Renew(lease string, state membership.EndpointState) (l backend.Lease, err error) {
	b.owner.Do(func() {
		l, err = b.registry.Renew(time.Now(), lease, state)
		if err == nil && state != "" {
			b.publish()
		}
	})
	return l, err
}

// Drain implements backend.Announcer.
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

// Leave implements backend.Announcer.
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

// expire takes out backend servers that stopped renewing, until ctx ends.
func (b *backends) expire(ctx context.Context) {
	for ctx.Err() == nil {
		b.owner.Do(b.expireOnce)
		wait.Sleep(ctx, expiryInterval)
	}
}

func (b *backends) expireOnce() {
	now := time.Now()
	warmed := b.registry.EndWarming(now)
	lapsed := b.registry.Expire(now)
	if len(lapsed) == 0 && !warmed {
		return
	}
	b.publish()
	for _, s := range lapsed {
		b.event.Log(event.BackendLapsed, event.F("backend", s.ID), event.F("service", s.Service))
	}
}

// monitorHealth judges the backend servers and tells the membership of changes, until ctx ends.
func (b *backends) monitorHealth(ctx context.Context, self membership.ID) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	var heard *membership.Directory
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.health.wake:
		}
		now := time.Now()
		if d := b.members.Directory(); d != heard {
			b.health.setPeers(now, d, self)
			heard = d
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
