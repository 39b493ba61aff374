package sidecar

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/evacuation"
	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// sourceStore names the store as the source of what an instance learns.
const sourceStore = "store"

// evacuations keeps what this instance knows of evacuated failure domains, from the store and from other instances. It
// makes no calls while the settings name no deadline for evacuations. It is safe for concurrent use.
type evacuations struct {
	store       Store
	members     *gossip.Members
	calls       *link.ControlClient
	event       *event.Logger
	self        membership.Record
	bounds      func() Bounds
	generations *generations
	isWatcher   func() bool
	// refuseWaiting refuses the requests that wait for the backend server beside this instance.
	refuseWaiting func(error)
	// loadFirst is set if the part was enabled when the process started. The exit side then refuses requests until the
	// evacuations are loaded.
	loadFirst bool
	loaded    atomic.Bool

	mu    sync.Mutex
	state evacuation.State // guarded by mu

	evacuated atomic.Pointer[[]string] // what the request path reads
	news      chan struct{}            // has an element when the evacuated domains have changed and others are to be told
	readings  *readings
	// differing are readings by instances that know of other evacuations than this one.
	differing chan membership.ReadingReceived
	// cancelWatch cancels the watch call in flight.
	cancelWatch atomic.Pointer[context.CancelFunc]
	evacuationCounters
}

// evacuationCounters count the calls to the store and to other instances, and the requests that were refused here.
type evacuationCounters struct {
	reads, watches, storeFailures, exchanges, exchangeFailures, refused atomic.Uint64
}

func newEvacuations(
	o Options, bounds func() Bounds, m *gossip.Members, calls *link.ControlClient, self membership.Record, g *generations,
) *evacuations {
	e := &evacuations{
		store: o.Store, members: m, calls: calls, event: o.Events, self: self, bounds: bounds, generations: g,
		loadFirst: bounds().EvacuationDeadline > 0, news: make(chan struct{}, 1),
		readings: newReadings(m, self, func() uint64 { return 0 }), differing: make(chan membership.ReadingReceived, 1),
	}
	e.evacuated.Store(&[]string{})
	return e
}

// deadline returns how long after the start of an evacuation requests may still reach the failure domain; 0 if the part
// is disabled.
func (e *evacuations) deadline() time.Duration { return e.bounds().EvacuationDeadline }

// isEvacuated reports whether a failure domain is evacuated, as far as this instance knows.
func (e *evacuations) isEvacuated(domain string) bool {
	list := *e.evacuated.Load()
	return len(list) > 0 && e.deadline() > 0 && slices.Contains(list, domain)
}

// checkDomain returns an error if no requests may be sent to the backend server beside this instance, for the exit side.
func (e *evacuations) checkDomain() error {
	if e.loadFirst && !e.loaded.Load() && e.deadline() > 0 {
		return result.New(result.NotReady, "it is not known yet which failure domains are evacuated")
	}
	if e.isEvacuated(e.self.Domain) {
		e.refused.Add(1)
		return e.evacuatedError()
	}
	return nil
}

// evacuatedError returns the refusal of a request because the failure domain of this instance is evacuated.
func (e *evacuations) evacuatedError() error {
	return result.New(result.DomainEvacuated, "the failure domain %s is evacuated", e.self.Domain)
}

// update changes the state, logs what that changes, and lets other instances be told of it.
func (e *evacuations) update(source string, change func(now time.Time, s *evacuation.State) error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, lostBefore := e.state.Evacuated(), e.state.Lost()
	if err := change(time.Now(), &e.state); err != nil {
		return err
	}
	after := e.state.Evacuated()
	e.evacuated.Store(&after)
	e.logDifference(event.DomainEvacuated, after, before, source)
	e.logDifference(event.DomainReturned, before, after, source)
	e.logDifference(event.EvacuationLost, e.state.Lost(), lostBefore, source)
	if slices.Contains(after, e.self.Domain) && !slices.Contains(before, e.self.Domain) {
		e.refuseWaiting(e.evacuatedError())
	}
	if !slices.Equal(before, after) {
		select {
		case e.news <- struct{}{}:
		default:
		}
	}
	return nil
}

// logDifference logs an event for each domain that is in one list and not in another.
func (e *evacuations) logDifference(id event.ID, in, notIn []string, source string) {
	for _, domain := range in {
		if !slices.Contains(notIn, domain) {
			e.event.Log(id, event.F("domain", domain), event.F("from", source),
				event.F("generation", e.state.Position().Generation), event.F("revision", e.state.Position().Revision))
		}
	}
}

// set returns what other instances are told.
func (e *evacuations) set() evacuation.Set {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Set()
}

// readStore reads the store, and reports whether that succeeded and changed which domains are evacuated.
func (e *evacuations) readStore(ctx context.Context) (ok, changed bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.reads.Add(1)
	requestedAt := time.Now()
	stored, err := e.store.Evacuations(ctx)
	if err != nil {
		e.storeFailures.Add(1)
		return false, false
	}
	e.generations.observe(stored.Position.Generation)
	before := *e.evacuated.Load()
	_ = e.update(sourceStore, func(now time.Time, s *evacuation.State) error {
		s.Observe(now, stored.Position, stored.Domains)
		return nil
	})
	e.readings.succeeded(requestedAt)
	return true, !slices.Equal(before, *e.evacuated.Load())
}

// watchStore makes one watch call from the latest known position, and reads the store if it lacks the history since then.
// It reports whether the next watch can begin at once.
func (e *evacuations) watchStore(ctx context.Context) bool {
	e.mu.Lock()
	after, known := e.state.Position(), e.state.Known()
	e.mu.Unlock()
	if !known {
		ok, _ := e.readStore(ctx)
		return ok
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchDuration+watchGrace)
	defer cancel()
	e.cancelWatch.Store(&cancel)
	e.watches.Add(1)
	changes, err := e.store.AwaitEvacuations(watchCtx, after, watchDuration)
	if result.Is(err, result.PlatformHistoryGone) {
		ok, _ := e.readStore(ctx)
		e.mu.Lock()
		defer e.mu.Unlock()
		return ok && e.state.Position() != after
	}
	if err != nil {
		e.storeFailures.Add(1)
		return false
	}
	if len(changes.Changes) == 0 {
		return true
	}
	_ = e.update(sourceStore, func(now time.Time, s *evacuation.State) error {
		s.ObserveChanges(now, changes.Position, changes.Changes)
		return nil
	})
	return after.Before(changes.Position)
}

// exchange tells another instance what this one knows and takes over what that one knows. The error carries the code of
// the call; LinkVersion means that the other instance is of a version without evacuations, or they are disabled there.
func (e *evacuations) exchange(ctx context.Context, to netip.AddrPort) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e.exchanges.Add(1)
	var theirs evacuation.Set
	if err := e.calls.Call(ctx, to.String(), methodEvacuations, e.set(), &theirs); err != nil {
		if !result.Is(err, result.LinkVersion) {
			e.exchangeFailures.Add(1)
		}
		return false, err
	}
	return theirs.Known, e.merge(to.String(), theirs)
}

// merge takes over what another instance knows; the error carries StateInvalid.
func (e *evacuations) merge(source string, theirs evacuation.Set) error {
	err := e.update(source, func(now time.Time, s *evacuation.State) error { return s.Merge(now, theirs) })
	if err != nil {
		e.event.Log(event.StateRefused, event.F("from", source), event.F("code", int(result.CodeOf(err))), event.F("error", err.Error()))
	}
	return err
}

// handleExchange responds to an exchange that another instance began.
func (e *evacuations) handleExchange(_ context.Context, theirs evacuation.Set) (any, error) {
	if e.deadline() <= 0 {
		return nil, result.New(result.LinkVersion, "evacuations are disabled at this instance")
	}
	if err := e.merge("exchange", theirs); err != nil {
		return nil, err
	}
	return e.set(), nil
}
