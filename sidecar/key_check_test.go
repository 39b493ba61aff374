package sidecar_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/sidecar"
	"amaranthstile/ticket"
)

// lateStore is the store as an instance sees it that learns of no further configuration.
type lateStore struct {
	*memoryStore
	seen sidecar.StoredConfiguration
}

// Configuration implements sidecar.Store.
func (s lateStore) Configuration(context.Context) (sidecar.StoredConfiguration, error) {
	return s.seen, nil
}

// AwaitConfiguration implements sidecar.Store.
func (s lateStore) AwaitConfiguration(ctx context.Context, _ uint64, wait time.Duration) (sidecar.StoredConfiguration, bool, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return s.seen, false, nil
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
	entry := start(t, store, 1, "x")
	behind := start(t, lateStore{memoryStore: store, seen: store.stored}, 2, "x")
	entry.report(2, true) // all requests go to the other instance
	eventually(t, 10*time.Second, "requests reach the other instance", func() bool {
		return entry.do(t, http.MethodPost, "/keyed/x", "old") == http.StatusOK && behind.backend.runs.Load() > 0
	})
	behind.network.partitioned.Store(entry.settings.Control.String(), true)
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
