package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/sidecar"
	"amaranthstile/ticket"
)

// startAll starts instances of one service in two failure domains and waits until each one is ready and knows all
// endpoints.
func startAll(t *testing.T, store *memoryStore, n int) []*node {
	t.Helper()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, start(t, store, i+1, fmt.Sprint("domain", i%2)))
	}
	for _, node := range nodes {
		eventually(t, 15*time.Second, "the instance is ready and knows all endpoints", func() bool { return node.Ready() && node.EndpointCount(serviceName) == n })
	}
	return nodes
}

// TestDividedFleetMerges starts instances that at first find only their own half of the fleet, and checks that each one
// learns all endpoints once the store lists all instances.
func TestDividedFleetMerges(t *testing.T) {
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	store.divided = true
	var nodes []*node
	for n := range 4 {
		names := map[string]bool{fmt.Sprint("node", n/2*2+1): true, fmt.Sprint("node", n/2*2+2): true}
		nodes = append(nodes, start(t, halfStore{store, names}, n+1, "d"))
	}
	for _, node := range nodes {
		eventually(t, 10*time.Second, "its own half is known", func() bool { return node.EndpointCount(serviceName) == 2 })
	}
	store.mu.Lock()
	store.divided = false
	store.mu.Unlock()
	for _, node := range nodes {
		eventually(t, 10*time.Second, "all are known", func() bool { return node.EndpointCount(serviceName) == 4 })
	}
}

// TestShedRequestIsRetriedElsewhere lets one backend server refuse every request without running it, and checks that
// every request succeeds on another one.
func TestShedRequestIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 3)
	nodes[0].backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for i := range 30 {
		is.Equal(nodes[i%3].do(t, http.MethodPost, "/once/x", ""), http.StatusOK)
	}
}

// TestGrayBackendServerGoesIntoCooldown lets one backend server abort every connection. No request that may be repeated
// may fail, and in each cooldown period at most one request that may not be repeated.
func TestGrayBackendServerGoesIntoCooldown(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 4)
	nodes[0].backend.setHandler(abortConnection)
	var wg sync.WaitGroup
	var lost, unsafeLost atomic.Int64
	started := time.Now()
	for n := range 8 {
		wg.Go(func() {
			for i := range 40 {
				method, path := http.MethodGet, "/safe/x"
				if n%2 == 1 {
					method, path = http.MethodPost, "/once/x"
				}
				if status := nodes[(n+i)%4].do(t, method, path, ""); status != http.StatusOK {
					if n%2 == 1 {
						unsafeLost.Add(1)
					} else {
						lost.Add(1)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	is.Equal(lost.Load(), int64(0))
	// One request on each of the 3 slots may be in flight when the first one fails. After each cooldown, trial requests
	// are those that may be repeated.
	is.True(unsafeLost.Load() <= 3+int64(time.Since(started)/(700*time.Millisecond)))
}

// TestDrainingBackendServerGetsNoNewRequests sends requests without a pause while a backend server reports that it
// drains.
func TestDrainingBackendServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, node := range nodes {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if node.do(t, http.MethodPost, "/once/x", "") != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	nodes[0].report(2, true)
	time.Sleep(50 * time.Millisecond) // requests in flight at the time of the report
	after := nodes[0].backend.runs.Load()
	nodes[0].report(1, false) // a late report does not end the drain
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	is.Equal(nodes[0].backend.runs.Load(), after)
	is.Equal(failed.Load(), int64(0))
}

// TestRevokedKeyStopsWorking grants a key, uses it, and revokes it while connections stay open.
func TestRevokedKeyStopsWorking(t *testing.T) {
	store := newMemoryStore()
	with := testConfiguration(1)
	with.Routes["safe"].Open = false
	with.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, with)
	nodes := startAll(t, store, 3)
	for _, node := range nodes {
		is.New(t).Equal(node.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
		is.New(t).Equal(node.do(t, http.MethodGet, "/safe/x", "other"), http.StatusUnauthorized)
	}
	without := testConfiguration(2)
	without.Routes["safe"].Open = false
	store.put(t, without)
	for _, node := range nodes {
		eventually(t, node.settings.Bounds.ConfigDeadline, "the key is refused", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusUnauthorized })
	}
}

// TestAccountStaysWithinItsQuotaAcrossTheFleet sends eight times an account's rate through all instances.
func TestAccountStaysWithinItsQuotaAcrossTheFleet(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	const rate, burst = 30, 10
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: rate, Burst: burst, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	nodes := startAll(t, store, 4)
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	const length = 3 * time.Second
	end := time.Now().Add(length)
	for _, node := range nodes {
		wg.Go(func() {
			for time.Now().Before(end) {
				switch node.do(t, http.MethodGet, "/safe/x", "k") {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				}
				time.Sleep(16 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	b := nodes[0].settings.Bounds
	is.True(float64(served.Load()) <= (rate*length.Seconds()+burst)*(1+b.QuotaOverage)+b.QuotaSlack)
	is.True(float64(served.Load()) >= rate*length.Seconds()) // and the account gets its full rate
	is.True(refused.Load() > 0)
}

// TestUsageIsRelayedAroundAPartition cuts the network path from one instance to the coordinator of an account. The
// instance has to report its usage through others, and no request within the account's rate may be refused.
func TestUsageIsRelayedAroundAPartition(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 100, Burst: 10, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	nodes := startAll(t, store, 5)
	for _, node := range nodes { // the coordinator learns of the account, and the others learn its level
		is.Equal(node.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	}
	coordinator := nodes[0].CoordinatorOf("a")
	var address string
	var sender *node
	for _, node := range nodes {
		if node.settings.Name == coordinator {
			address = node.settings.Control.String()
		}
	}
	for _, node := range nodes {
		if node.settings.Name != coordinator && sender == nil {
			sender = node
			node.network.partitioned.Store(address, true)
		}
	}
	refused := 0
	for range 60 { // four fifths of the rate, far above the instance's own share
		if sender.do(t, http.MethodGet, "/safe/x", "k") == http.StatusTooManyRequests {
			refused++
		}
		time.Sleep(12 * time.Millisecond)
	}
	is.Equal(refused, 0)
}

// TestInstancesServeWhileTheStoreIsUnavailable checks that running instances go on serving without the store.
func TestInstancesServeWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 3)
	store.setFaults(false, true)
	for range 10 {
		for _, node := range nodes {
			is.Equal(node.do(t, http.MethodGet, "/safe/x", ""), http.StatusOK)
		}
	}
}

// TestFailClosedRefusesKeysOfAStaleConfiguration makes the store unavailable to instances that fail closed. They have
// to refuse keys within twice the revocation deadline, with a status that promises that the request was not run, go on
// serving open routes, and accept keys again once the store is available.
func TestFailClosedRefusesKeysOfAStaleConfiguration(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	bounds := sidecar.DefaultBounds()
	bounds.FailClosed, bounds.RevocationDeadline = true, 1500*time.Millisecond
	var nodes []*node
	for n := range 3 {
		nodes = append(nodes, startWith(t, store, n+1, "d", bounds))
	}
	for _, node := range nodes {
		eventually(t, 15*time.Second, "a request succeeds", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
	for end := time.Now().Add(2 * bounds.RevocationDeadline); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, node := range nodes {
			is.Equal(node.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK) // the configuration is confirmed repeatedly
		}
	}
	store.setFaults(true, true)
	for _, node := range nodes {
		eventually(t, 2*bounds.RevocationDeadline, "keys are refused", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusServiceUnavailable })
		is.Equal(node.do(t, http.MethodGet, "/once/x", ""), http.StatusOK)
	}
	store.setFaults(false, false)
	for _, node := range nodes {
		eventually(t, 2*bounds.RevocationDeadline, "keys are accepted again", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
}

// TestReloadedBoundsApplyWhileTheProcessRuns enables failing closed by a reload of the settings while the store is
// unavailable.
func TestReloadedBoundsApplyWhileTheProcessRuns(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	c.Routes["safe"].Open = false
	store.put(t, c)
	nodes := startAll(t, store, 2)
	for _, node := range nodes {
		eventually(t, 15*time.Second, "a request succeeds", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
	store.setFaults(true, true)
	time.Sleep(200 * time.Millisecond)
	is.Equal(nodes[0].do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	changed := sidecar.Settings{Service: "s", Bounds: sidecar.DefaultBounds()}
	changed.Bounds.FailClosed, changed.Bounds.RevocationDeadline = true, 100*time.Millisecond
	for _, node := range nodes {
		node.Reload(&changed)
		eventually(t, 5*time.Second, "keys are refused", func() bool { return node.do(t, http.MethodGet, "/safe/x", "k") == http.StatusServiceUnavailable })
	}
}

// TestRequestsBeforeTheFirstConfigurationAreNotReady checks that an instance without a configuration responds with 503
// rather than refuse a key or a route that it does not know yet.
func TestRequestsBeforeTheFirstConfigurationAreNotReady(t *testing.T) {
	is := is.New(t)
	node := start(t, newMemoryStore(), 1, "d")
	is.Equal(node.do(t, http.MethodGet, "/safe/x", "k"), http.StatusServiceUnavailable)
	is.True(!node.Ready())
}

// TestPlannedStopLosesNoRequests stops an instance while the other instances go on receiving requests from their
// clients.
func TestPlannedStopLosesNoRequests(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	nodes := startAll(t, store, 3)
	for _, node := range nodes {
		node.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(30 * time.Millisecond) })
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, node := range nodes[1:] {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if node.do(t, http.MethodPost, "/once/x", "") != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	started := time.Now()
	nodes[0].Stop()
	is.True(time.Since(started) < nodes[0].settings.Bounds.GracePeriod)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	wg.Wait()
	is.Equal(failed.Load(), int64(0))
}
