package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/entry"
	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	// watchersPerDomain is how many instances of a failure domain wait at the store, so that one that is cut off is not
	// missed.
	watchersPerDomain = 2
	// watchWait is how long one wait at the store lasts. A connection that went silent is noticed after it.
	watchWait = 6 * time.Second
	// watchSlack is how long after the end of a wait its answer may come.
	watchSlack = time.Second
	// storeTimeout bounds any other call of the store: many times its usual answer of 4 ms, and well within the time in
	// which a configuration has to be in force.
	storeTimeout = 800 * time.Millisecond
	// checksPerDeadline is how often, in the time in which a configuration has to be in force, one of the watchers reads what
	// the store holds: a watch can go silent without a sign, and the rest of the time is for the way to the others.
	checksPerDeadline = 4
	// leastCheck bounds how often one watcher checks.
	leastCheck = 250 * time.Millisecond
	// startPeers is how many instances a starting one asks in a round while the store is away.
	startPeers = 3
	// firstWait bounds how long an instance that is no watcher waits to hear of the first configuration.
	firstWait = 3 * time.Second
	// dutyPause is how often an instance looks whether it has become a watcher.
	dutyPause = 250 * time.Millisecond
	// The pauses between failed calls of the store grow from the first to the last, with jitter.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// fetchTimeout bounds one call to another instance for its configuration.
	fetchTimeout = 500 * time.Millisecond
)

// methodConfiguration asks another instance for its configuration.
const methodConfiguration link.Method = "configuration.get"

// configurationCall names the version that the caller has.
type configurationCall struct {
	Have uint64 `json:"have"`
}

// configurationAnswer holds the answering instance's configuration if it is newer.
type configurationAnswer struct {
	Version       uint64 `json:"version"`
	Specification []byte `json:"specification,omitempty"`
	// AgeMillis is how long ago the store confirmed it to the answering instance.
	AgeMillis int64 `json:"age"`
}

// inForce is one configuration with the view that requests read.
type inForce struct {
	*Configuration
	view          entry.Config
	specification []byte
	since         time.Time
}

// configuration keeps the newest configuration and passes it on.
type configuration struct {
	store   Store
	decode  func([]byte) (*Configuration, error)
	members *gossip.Members
	calls   *link.ControlClient
	event   *event.Logger
	self    membership.Record

	mu      sync.Mutex // held while a configuration is put in force
	current atomic.Pointer[inForce]
	first   chan struct{} // closed once there is one
	behind  chan membership.NewerRevision
	// confirmed is when the store last confirmed the configuration, in nanoseconds of the Unix time.
	confirmed atomic.Int64
	// atRevision is the store's revision of the newest configuration that it gave.
	atRevision atomic.Uint64
	away       atomic.Bool
	// cancelWatch ends the wait at the store that is under way.
	cancelWatch atomic.Pointer[context.CancelFunc]
	bounds      func() Bounds
	storeCalls
}

// storeCalls counts the calls of the store.
type storeCalls struct{ reads, waits, failed atomic.Uint64 }

func newConfiguration(o Options, bounds func() Bounds, m *gossip.Members, calls *link.ControlClient, self membership.Record) *configuration {
	c := &configuration{
		store: o.Store, decode: o.Decode, members: m, calls: calls, event: o.Events, self: self,
		bounds: bounds,
		first:  make(chan struct{}), behind: make(chan membership.NewerRevision, 1),
	}
	m.OnNewerRevision = c.noteBehind
	return c
}

func (c *configuration) noteBehind(b membership.NewerRevision) {
	select {
	case c.behind <- b:
	default:
	}
}

// view is what requests read, nil before the first configuration.
func (c *configuration) view() *entry.Config {
	if now := c.current.Load(); now != nil {
		return &now.view
	}
	return nil
}

func (c *configuration) version() uint64 {
	if now := c.current.Load(); now != nil {
		return now.Version
	}
	return 0
}

// accept puts a configuration in force unless a newer one is. From says where it came from.
func (c *configuration) accept(specification []byte, from string) error {
	next, err := c.decode(specification)
	if err != nil {
		c.event.Log(event.ConfigurationRefused, event.F("from", from), event.F("code", int(result.CodeOf(err))), event.F("error", err.Error()))
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.current.Load()
	if before != nil && before.Version >= next.Version {
		return nil
	}
	now := &inForce{Configuration: next, specification: specification, since: time.Now()}
	if before == nil {
		before = &inForce{Configuration: &Configuration{}}
	}
	now.view.Routes = before.view.Routes.With(changes(before.Routes, next.Routes))
	now.view.Accounts = before.view.Accounts.With(changes(before.Accounts, next.Accounts))
	now.view.Limits = next.Limits
	c.current.Store(now)
	if before.Version == 0 {
		close(c.first)
	}
	c.members.SetRevision(next.Version)
	c.event.Log(event.ConfigurationInForce, event.F("version", next.Version), event.F("before", before.Version), event.F("from", from), event.F("routes", len(next.Routes)), event.F("accounts", len(next.Accounts)))
	return nil
}

// changes returns what differs: a removed object is nil.
func changes[T any](before, after map[string]*T) map[string]*T {
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

// run keeps the configuration up until ctx ends.
func (c *configuration) run(ctx context.Context) {
	p := wait.Backoff{Min: firstPause, Max: lastPause}
	for ctx.Err() == nil && c.version() == 0 && !c.read(ctx) {
		c.askAnyone(ctx)
		p.Wait(ctx)
		c.awaitFirst(ctx)
	}
	p.Reset()
	for ctx.Err() == nil {
		c.waitForDuty(ctx)
		if c.watch(ctx) {
			p.Reset()
			continue
		}
		p.Wait(ctx)
		c.read(ctx)
	}
}

// awaitFirst leaves the store to the watchers while it answers that there is no configuration yet; the others hear of the
// first one by the membership.
func (c *configuration) awaitFirst(ctx context.Context) {
	for end := time.Now().Add(firstWait); ctx.Err() == nil && time.Now().Before(end); wait.Sleep(ctx, dutyPause) {
		if c.version() > 0 || c.away.Load() || c.watches() {
			return
		}
	}
}

// read takes over what the store holds; it reports whether a configuration is in force then.
func (c *configuration) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.reads.Add(1)
	asked := time.Now()
	s, err := c.store.Configuration(ctx)
	c.noteStore(err)
	if err != nil {
		return false
	}
	if c.accept(s.Specification, "store") != nil {
		return false
	}
	c.revision(s.Revision)
	c.confirm(asked)
	return true
}

// revision notes the store's revision of a configuration that it gave.
func (c *configuration) revision(r uint64) {
	for {
		old := c.atRevision.Load()
		if r <= old || c.atRevision.CompareAndSwap(old, r) {
			return
		}
	}
}

// watch waits once for a later configuration; it reports whether the store answered.
func (c *configuration) watch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	c.cancelWatch.Store(&cancel)
	c.waits.Add(1)
	s, ok, err := c.store.AwaitConfiguration(ctx, c.atRevision.Load(), watchWait)
	if ctx.Err() != nil && err != nil {
		err = result.Wrap(result.PlatformUnavailable, err, "the store was silent")
	}
	c.noteStore(err)
	if err != nil {
		return false
	}
	if ok {
		_ = c.accept(s.Specification, "store") // a refused one was logged; the next version replaces it
		c.revision(s.Revision)
	}
	c.confirm(time.Now())
	return true
}

// confirm notes that the store held the configuration in force at a time, unless a later one is known.
func (c *configuration) confirm(at time.Time) {
	for {
		old := c.confirmed.Load()
		if at.UnixNano() <= old || c.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// age is how long ago the store confirmed the configuration, here or to the instance that passed it on.
func (c *configuration) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.confirmed.Load()))
}

// confirmationsPerRevocation is how often, in the time of a revocation, an instance that fails closed has its configuration
// confirmed.
const confirmationsPerRevocation = 3

// failOpenPause is how often an instance that fails open looks whether changed settings ask it to fail closed: as often as the
// settings file is read.
const failOpenPause = 2 * time.Second

// keepConfirmed has the configuration confirmed where the platform asks instances to fail closed, by the store or else by
// another instance, until ctx ends.
func (c *configuration) keepConfirmed(ctx context.Context) {
	for ctx.Err() == nil {
		b := c.bounds()
		if !b.FailClosed {
			wait.Sleep(ctx, failOpenPause)
			continue
		}
		every := b.RevocationDeadline / confirmationsPerRevocation
		if c.version() > 0 && c.age(time.Now()) > every/2 && !c.read(ctx) {
			c.askAnyone(ctx)
		}
		wait.Sleep(ctx, every/2+rand.N(every/2))
	}
}

// noteStore logs when the store is lost and when it is back.
func (c *configuration) noteStore(err error) {
	if result.Is(err, result.PlatformNotFound) || result.Is(err, result.PlatformHistoryGone) {
		err = nil // it answered
	}
	if err != nil {
		c.failed.Add(1)
	}
	if c.away.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.event.Log(event.PlatformAway, event.F("error", err.Error()), event.F("code", int(result.CodeOf(err))))
		return
	}
	c.event.Log(event.PlatformBack)
}

// waitForDuty returns once this instance is one of its failure domain's watchers, or ctx ends.
func (c *configuration) waitForDuty(ctx context.Context) {
	for ctx.Err() == nil && !c.watches() {
		wait.Sleep(ctx, dutyPause)
	}
}

func (c *configuration) watches() bool {
	return slices.Contains(c.members.Directory().SelectInstances(c.self.Domain, "watch", watchersPerDomain), c.self.ID)
}

// follow fetches newer configurations that other instances tell of, until ctx ends.
func (c *configuration) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-c.behind:
			if c.version() >= b.Revision {
				continue
			}
			if !c.fetch(ctx, b.Address) {
				c.read(ctx)
			}
		}
	}
}

// fetch takes over the configuration of another instance; it reports whether that answered.
func (c *configuration) fetch(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	var a configurationAnswer
	if err := c.calls.Call(ctx, addr.String(), methodConfiguration, configurationCall{Have: c.version()}, &a); err != nil {
		c.event.Log(event.StateRefused, event.F("from", addr.String()), event.F("code", int(result.CodeOf(err))))
		return false
	}
	if a.Specification != nil && c.accept(a.Specification, addr.String()) != nil {
		return false
	}
	if c.version() <= a.Version {
		c.confirm(asked.Add(-time.Duration(a.AgeMillis) * time.Millisecond))
	}
	return true
}

// check reads what the store holds now and then while this instance is a watcher, until ctx ends. The watchers of the fleet
// share the work, so that the store is read as often in a large fleet as in a small one.
func (c *configuration) check(ctx context.Context) {
	for ctx.Err() == nil {
		c.waitForDuty(ctx)
		every := max(c.bounds().ConfigDeadline/checksPerDeadline*time.Duration(c.watchers()), leastCheck)
		wait.Sleep(ctx, every/2+rand.N(every))
		before := c.version()
		if c.watches() && c.read(ctx) && before > 0 && c.version() > before {
			c.event.Log(event.WatchSilent, event.F("version", c.version()), event.F("before", before))
			c.rewatch()
		}
	}
}

// watchers is how many instances of the fleet watch.
func (c *configuration) watchers() int {
	domains := make(map[string]int)
	for _, r := range c.members.Directory().Records() {
		domains[r.Domain]++
	}
	n := 0
	for _, members := range domains {
		n += min(members, watchersPerDomain)
	}
	return max(n, 1)
}

// rewatch ends the wait at the store that is under way; it missed a change.
func (c *configuration) rewatch() {
	if cancel := c.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// askAnyone takes the configuration of some other instance while the store is away.
func (c *configuration) askAnyone(ctx context.Context) {
	records := c.members.All()
	rand.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	asked := 0
	for _, r := range records {
		if r.ID == c.self.ID {
			continue
		}
		if asked++; asked > startPeers {
			return
		}
		if c.fetch(ctx, r.Control) && c.version() > 0 {
			return
		}
	}
}

// answer answers the call of an instance that is behind.
func (c *configuration) answer(_ context.Context, call configurationCall) (any, error) {
	now := c.current.Load()
	if now == nil {
		return nil, result.New(result.NotReady, "this instance has no configuration yet")
	}
	out := configurationAnswer{Version: now.Version, AgeMillis: c.age(time.Now()).Milliseconds()}
	if call.Have < now.Version {
		out.Specification = now.specification
	}
	return out, nil
}

// mayRun tells the exit side whether a key is still the account's.
func (c *configuration) mayRun(account string, key ticket.Hash) error {
	view := c.view()
	if view == nil {
		return result.New(result.NotReady, "the configuration is not loaded yet")
	}
	a, ok := view.Accounts.FindHash(key)
	if !ok || a.Name != account {
		return result.New(result.KeyRejected, "the key was withdrawn while the request waited")
	}
	return nil
}

// standing refuses to act for client accounts where the platform asks for that: once nothing has confirmed the
// configuration for the time of a revocation, a withdrawn key could still work.
func (c *configuration) standing(b Bounds, now time.Time) error {
	if !b.FailClosed {
		return nil
	}
	age := c.age(now)
	if age <= b.RevocationDeadline {
		return nil
	}
	return result.New(result.NoStanding, "the configuration was last confirmed %v ago", age.Round(time.Millisecond))
}
