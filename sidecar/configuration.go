package sidecar

import (
	"context"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/exit"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// storeTimeout bounds every call to the store but watches and the transfer of a configuration: many times its usual
	// latency of 4 ms, and well within the time in which a configuration has to be in force.
	storeTimeout = 800 * time.Millisecond
	// maxReadDuration bounds one read of the configuration, while parts of it keep arriving.
	maxReadDuration = 10 * time.Second
	// initialWait bounds how long an instance that is not a watcher waits for the first configuration from
	// other instances.
	initialWait = 3 * time.Second
	// roleCheckInterval is how often an instance checks whether it has become a watcher.
	roleCheckInterval = 250 * time.Millisecond
	// The backoff between failed calls to the store grows from minBackoff to maxBackoff, with jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// activeConfiguration is a configuration in force, with the view that the request path reads.
type activeConfiguration struct {
	*Configuration
	view        entry.Config
	activatedAt time.Time
	encoded     *encodedConfiguration
	// position is a point in the store's history from which only later configurations follow.
	position Position
}

// configurationManager keeps the newest configuration in force and passes it on to other instances.
type configurationManager struct {
	store   Store
	decode  func([]byte) (*Configuration, error)
	members *gossip.Members
	calls   *link.ControlClient
	event   *event.Logger
	self    membership.Record

	mu      sync.Mutex // held while a configuration is put in force
	current atomic.Pointer[activeConfiguration]
	// servingSince is when the first configuration had been compared with those of other instances; nil before.
	servingSince   atomic.Pointer[time.Time]
	longestServing atomic.Int64 // of the instances that responded so far, in milliseconds
	onJoined       func()       // called before the first request if the fleet was there before
	// loadEvacuations returns once it is known which failure domains are evacuated, from the store or from instances at the
	// given addresses. It is called before the first request.
	loadEvacuations func(ctx context.Context, others []netip.AddrPort)
	contacts        chan []netip.AddrPort // of other instances, as first listed in the store
	newerRevisions  chan membership.NewerRevision
	// confirmedAt is when the store last confirmed the configuration, nil before the first time. Its monotonic reading
	// keeps the age right when the time of day is stepped.
	confirmedAt atomic.Pointer[time.Time]
	// storePosition is the latest position that the store returned with a configuration; nil before the first one.
	storePosition    atomic.Pointer[Position]
	storeUnavailable atomic.Bool
	// storedVersion is the version that the store held last, as far as this instance knows.
	storedVersion atomic.Uint64
	generations   *generations
	// behindSince is when another instance first announced a newer version than the one in force; nil while none is
	// announced.
	behindSince atomic.Pointer[time.Time]
	// cancelWatch cancels the watch call in flight.
	cancelWatch atomic.Pointer[context.CancelFunc]
	bounds      func() Bounds
	readings    *readings
	storeCounters
}

// storeCounters counts the calls to the store, and the responses that held an older configuration than the one in force.
type storeCounters struct{ reads, watches, failures, olderReads, overdueReads atomic.Uint64 }

func newConfigurationManager(
	o Options, bounds func() Bounds, m *gossip.Members, calls *link.ControlClient, self membership.Record, g *generations,
) *configurationManager {
	c := &configurationManager{
		store: o.Store, decode: o.Decode, members: m, calls: calls, event: o.Events, self: self,
		bounds: bounds, generations: g,
		contacts: make(chan []netip.AddrPort, 1), newerRevisions: make(chan membership.NewerRevision, 1),
	}
	m.OnNewerRevision = c.onNewerRevision
	c.readings = newReadings(m, self, c.version)
	return c
}

// onNewerRevision queues a notice that another instance has a newer configuration; it drops the notice if one is
// queued already.
func (c *configurationManager) onNewerRevision(b membership.NewerRevision) {
	if b.Revision > c.version() {
		now := time.Now()
		c.behindSince.CompareAndSwap(nil, &now)
	}
	select {
	case c.newerRevisions <- b:
	default:
	}
}

// view returns what the request path reads, or nil before the first configuration was loaded and compared.
func (c *configurationManager) view() *entry.Config {
	if active := c.current.Load(); active != nil && c.servingSince.Load() != nil {
		return &active.view
	}
	return nil
}

// version returns the version in force, or 0 before the first configuration.
func (c *configurationManager) version() uint64 {
	if active := c.current.Load(); active != nil {
		return active.Version
	}
	return 0
}

// namesService reports whether the configuration in force names a service. Without a configuration, or with one that names
// none, every service counts as named.
func (c *configurationManager) namesService(name string) bool {
	active := c.current.Load()
	if active == nil || len(active.Services) == 0 {
		return true
	}
	_, ok := active.Services[name]
	return ok
}

// receivedConfiguration is an encoded configuration with where it came from.
type receivedConfiguration struct {
	specification []byte
	source        string        // sourceStore, or the address of the instance that sent it
	bytes         int           // that were transferred
	took          time.Duration // of the transfer; 0 for a watch, which waits for the change
	position      Position      // where the store's history holds it
}

// apply puts a configuration in force unless the same version or a newer one is, and returns its version.
func (c *configurationManager) apply(r receivedConfiguration) (version uint64, err error) {
	receivedAt := time.Now()
	next, err := c.decode(r.specification)
	if err != nil {
		c.event.Log(event.ConfigurationRefused,
			event.F("from", r.source), event.F("code", int(result.CodeOf(err))), event.F("error", err.Error()))
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.current.Load()
	if before != nil && before.Version >= next.Version {
		return next.Version, nil
	}
	if before == nil {
		before = &activeConfiguration{Configuration: &Configuration{}}
	}
	active := &activeConfiguration{
		Configuration: next, activatedAt: time.Now(), position: r.position,
		encoded: newEncodedConfiguration(next.Version, r.specification, before.encoded),
	}
	active.view.Routes = before.view.Routes.With(diff(before.Routes, next.Routes))
	active.view.Accounts = before.view.Accounts.With(diff(before.Accounts, next.Accounts))
	active.view.Limits = next.Limits
	active.view.Revision = next.Version
	c.current.Store(active)
	c.members.SetRevision(next.Version)
	c.readings.versionInForce(next.Version)
	fields := []event.Field{
		event.F("version", next.Version), event.F("before", before.Version), event.F("from", r.source),
		event.F("routes", len(next.Routes)), event.F("accounts", len(next.Accounts)),
		event.F("bytes", r.bytes), event.F("apply_ms", time.Since(receivedAt).Milliseconds()),
	}
	if r.took > 0 {
		fields = append(fields, event.F("fetch_ms", r.took.Milliseconds()))
	}
	if since := c.behindSince.Swap(nil); since != nil {
		fields = append(fields, event.F("behind_ms", time.Since(*since).Milliseconds()))
	}
	c.event.Log(event.ConfigurationInForce, fields...)
	return next.Version, nil
}

// diff returns the objects that were added, changed or removed; a removed one is nil.
func diff[T any](before, after map[string]*T) map[string]*T {
	out := make(map[string]*T)
	for name, b := range before {
		if a := after[name]; a == nil || !reflect.DeepEqual(a, b) {
			out[name] = a
		}
	}
	for name, a := range after {
		if before[name] == nil {
			out[name] = a
		}
	}
	return out
}

// run keeps the configuration up to date until ctx ends. It loads the first configuration, and then watches the store
// while this instance is a watcher.
func (c *configurationManager) run(ctx context.Context) {
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	for ctx.Err() == nil && c.version() == 0 && !c.readStore(ctx) {
		c.askPeers(ctx)
		backoff.Wait(ctx)
		c.awaitFirstConfiguration(ctx)
	}
	c.compareWithPeers(ctx)
	c.serve()
	backoff.Reset()
	for ctx.Err() == nil {
		c.awaitWatcherRole(ctx)
		if c.watchStore(ctx) {
			backoff.Reset()
			continue
		}
		backoff.Wait(ctx)
		c.readStore(ctx)
	}
}

// awaitFirstConfiguration pauses reading the store while the store reports that there is no configuration yet. Only the
// watchers go on reading it; the other instances learn of the first configuration through the membership.
func (c *configurationManager) awaitFirstConfiguration(ctx context.Context) {
	for end := time.Now().Add(initialWait); ctx.Err() == nil && time.Now().Before(end); wait.Sleep(ctx, roleCheckInterval) {
		if c.version() > 0 || c.storeUnavailable.Load() || c.isWatcher() {
			return
		}
	}
}

// readStore reads the store and applies what it holds; it reports whether that succeeded. A read that the caller cancels
// says nothing about the store.
func (c *configurationManager) readStore(caller context.Context) bool {
	ctx, cancel := context.WithTimeout(caller, maxReadDuration)
	defer cancel()
	c.reads.Add(1)
	inForce, requestedAt := c.version(), time.Now()
	s, err := c.store.Configuration(ctx)
	if err != nil && caller.Err() != nil {
		return false
	}
	c.recordStoreResult(err)
	if result.Is(err, result.PlatformNotFound) {
		c.recordStored(0, inForce)
	}
	if err != nil {
		c.event.Log(event.ConfigurationReadFailed, event.F("version", inForce), event.F("code", int(result.CodeOf(err))),
			event.F("took_ms", time.Since(requestedAt).Milliseconds()))
		return false
	}
	c.generations.observe(s.Position.Generation)
	version, err := c.apply(receivedConfiguration{
		specification: s.Specification, source: sourceStore, bytes: len(s.Specification), took: time.Since(requestedAt),
		position: s.Position,
	})
	if err != nil {
		return false
	}
	c.recordStored(version, inForce)
	c.advancePosition(s.Position)
	c.confirmStored(requestedAt)
	c.readings.succeeded(requestedAt)
	return true
}

// recordStored records which version the store holds, compared with the one that was in force when it was asked.
func (c *configurationManager) recordStored(stored, inForce uint64) {
	c.storedVersion.Store(stored)
	if stored >= inForce {
		return
	}
	c.olderReads.Add(1)
	c.event.Log(event.StoreBehind, event.F("stored", stored), event.F("version", inForce))
}

// advancePosition records the position of a configuration that the store returned, unless a later one is recorded.
func (c *configurationManager) advancePosition(p Position) {
	for {
		old := c.storePosition.Load()
		if old != nil && !old.Before(p) || c.storePosition.CompareAndSwap(old, &p) {
			return
		}
	}
}

// position returns the latest position that the store returned with a configuration, which watches go on from.
func (c *configurationManager) position() Position {
	if p := c.storePosition.Load(); p != nil {
		return *p
	}
	return Position{}
}

// recordStoreResult counts failed calls to the store, and logs when the store becomes unavailable and when it is
// available again.
func (c *configurationManager) recordStoreResult(err error) {
	if result.Is(err, result.PlatformNotFound) || result.Is(err, result.PlatformHistoryGone) {
		err = nil // the store responded
	}
	if err != nil {
		c.failures.Add(1)
	}
	if c.storeUnavailable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.event.Log(event.PlatformAway, event.F("error", err.Error()), event.F("code", int(result.CodeOf(err))))
		return
	}
	c.event.Log(event.PlatformBack)
}

// checkKey returns nil while a key belongs to an account, for the exit side.
func (c *configurationManager) checkKey(use exit.KeyUse) error {
	view := c.view()
	if view == nil {
		return result.New(result.NotReady, "the configuration is not loaded yet")
	}
	if use.AcceptedBy > view.Revision {
		return nil // this instance is behind the entry side
	}
	a, ok := view.Accounts.FindHash(use.Hash)
	if !ok || a.Name != use.Account {
		return result.New(result.KeyRejected, "the key was revoked while the request waited; version %d is in force", view.Revision)
	}
	return nil
}
