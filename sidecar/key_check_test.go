package sidecar_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/sidecar"
	"amaranthstile/ticket"
)

// lateStore is the store as one instance sees it, which learns of no further configuration once it is late.
type lateStore struct {
	*memoryStore
	seen atomic.Pointer[sidecar.StoredConfiguration] // nil until it is late
}

// Configuration implements sidecar.Store.
func (s *lateStore) Configuration(ctx context.Context) (sidecar.StoredConfiguration, error) {
	if seen := s.seen.Load(); seen != nil {
		return *seen, nil
	}
	return s.memoryStore.Configuration(ctx)
}

// AwaitConfiguration implements sidecar.Store.
func (s *lateStore) AwaitConfiguration(ctx context.Context, after sidecar.Position, wait time.Duration) (sidecar.StoredConfiguration, bool, error) {
	out, ok, err := s.memoryStore.AwaitConfiguration(ctx, after, wait)
	if seen := s.seen.Load(); seen != nil {
		<-ctx.Done()
		return *seen, false, ctx.Err()
	}
	return out, ok, err
}

// fallBehind keeps an instance from learning of further configurations, from the store or from another instance.
func (s *lateStore) fallBehind(n, other *node) {
	s.mu.Lock()
	seen := s.stored
	s.mu.Unlock()
	s.seen.Store(&seen)
	n.network.partitioned.Store(other.settings.Control.String(), true)
}

// withoutLimit is the rate of an account whose requests are not counted.
const withoutLimit = 1e9

// configurationWithKeys returns a configuration with one route that requires a key, and an account for each key.
func configurationWithKeys(version uint64, rate float64, keys ...string) *sidecar.Configuration {
	c := testConfiguration(version)
	c.Routes["keyed"] = &ticket.Route{Prefix: "/keyed", Service: serviceName, Repeatable: []string{}, MaxRuns: 2, TimeLimitMillis: 2000}
	c.Accounts = make(map[string]*ticket.Account)
	for _, k := range keys {
		c.Accounts["account-"+k] = &ticket.Account{Rate: rate, Burst: 1000, Keys: []ticket.Hash{ticket.HashKey(k)}}
	}
	return c
}

// TestAddedKeyIsNotRefusedByAnInstanceThatIsBehind sends a request with a new key through an instance that knows the key
// to one that does not know it yet, where the request waits for a slot.
func TestAddedKeyIsNotRefusedByAnInstanceThatIsBehind(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configurationWithKeys(1, withoutLimit, "old"))
	late := &lateStore{memoryStore: store}
	entry, behind := start(t, store, 1, "x"), start(t, late, 2, "x")
	entry.report(2, true) // all requests go to the other instance
	eventually(t, 10*time.Second, "requests reach the other instance", func() bool {
		return entry.do(t, http.MethodPost, "/keyed/x", "old") == http.StatusOK && behind.backend.runs.Load() > 0
	})
	late.fallBehind(behind, entry)
	store.put(t, configurationWithKeys(2, withoutLimit, "old", "new"))
	eventually(t, 5*time.Second, "the new key is in force", func() bool {
		return entry.do(t, http.MethodPost, "/keyed/x", "new") == http.StatusOK
	})
	is.Equal(behind.do(t, http.MethodPost, "/keyed/x", "new"), http.StatusUnauthorized) // it is behind

	const slots, run = 3, 400 * time.Millisecond // many times the wait after which a key is checked again
	behind.backend.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(run) })
	statuses := make(chan int)
	send := func(key string) { statuses <- entry.do(t, http.MethodPost, "/keyed/x", key) }
	for range slots {
		go send("old")
	}
	time.Sleep(run / 4) // all slots are taken
	go send("new")
	for range slots + 1 {
		is.Equal(<-statuses, http.StatusOK)
	}
}

// TestAddedAccountIsNotRefusedByACoordinatorThatIsBehind sends requests of a new account to an instance that knows it;
// the coordinator of the account does not know it yet.
func TestAddedAccountIsNotRefusedByACoordinatorThatIsBehind(t *testing.T) {
	is := is.New(t)
	const rate = 1000
	store := newMemoryStore()
	store.put(t, configurationWithKeys(1, rate, "old"))
	var nodes []*node
	lateStores := make(map[string]*lateStore)
	for n := range 2 {
		late := &lateStore{memoryStore: store}
		nodes = append(nodes, start(t, late, n, "x"))
		lateStores[nodes[n].settings.Name] = late
	}
	eventually(t, 10*time.Second, "the instances know each other and serve", func() bool {
		return nodes[0].EndpointCount(serviceName) == 2 && nodes[1].EndpointCount(serviceName) == 2 &&
			nodes[0].Ready() && nodes[1].Ready()
	})
	entry, coordinator := nodes[0], nodes[1]
	if entry.CoordinatorOf("account-new") == entry.settings.Name {
		entry, coordinator = coordinator, entry
	}
	lateStores[coordinator.settings.Name].fallBehind(coordinator, entry)
	store.put(t, configurationWithKeys(2, rate, "old", "new"))
	eventually(t, 5*time.Second, "the new account is served", func() bool {
		return entry.do(t, http.MethodPost, "/keyed/x", "new") == http.StatusOK
	})
	is.Equal(coordinator.do(t, http.MethodPost, "/keyed/x", "new"), http.StatusUnauthorized) // it is behind
	for range 20 {
		time.Sleep(10 * time.Millisecond) // a fifth of this instance's share of the rate
		is.Equal(entry.do(t, http.MethodPost, "/keyed/x", "new"), http.StatusOK)
	}
}
