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

// startAll starts instances of one service in two failure domains and waits until each serves and knows all others.
func startAll(t *testing.T, store *memoryStore, n int) []*node {
	t.Helper()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, start(t, store, i+1, fmt.Sprint("domain", i%2)))
	}
	for _, x := range nodes {
		eventually(t, 15*time.Second, "ready, with all endpoints known", func() bool { return x.Ready() && x.EndpointCount(serviceName) == n })
	}
	return nodes
}

// TestHalvesOfAFleetBecomeOne starts instances that find only their own half at first: a part of the endpoints must not stay
// unknown to the others.
func TestHalvesOfAFleetBecomeOne(t *testing.T) {
	store := newMemoryStore()
	store.put(t, configured(1))
	store.halves = true
	var nodes []*node
	for n := range 4 {
		names := map[string]bool{fmt.Sprint("node", n/2*2+1): true, fmt.Sprint("node", n/2*2+2): true}
		nodes = append(nodes, start(t, half{store, names}, n+1, "d"))
	}
	for _, x := range nodes {
		eventually(t, 10*time.Second, "the own half is known", func() bool { return x.EndpointCount(serviceName) == 2 })
	}
	store.mu.Lock()
	store.halves = false
	store.mu.Unlock()
	for _, x := range nodes {
		eventually(t, 10*time.Second, "all are known", func() bool { return x.EndpointCount(serviceName) == 4 })
	}
}

// TestShedRequestGoesElsewhere lets one backend server refuse all it gets without running it.
func TestShedRequestGoesElsewhere(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configured(1))
	nodes := startAll(t, store, 3)
	nodes[0].backend.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for i := range 30 {
		is.Equal(nodes[i%3].do(t, http.MethodPost, "/once/x", ""), http.StatusOK)
	}
}

// TestGrayBackendServerIsLeftAfterOneRequest lets one backend server break every exchange: at most one request that may not
// be repeated is lost to it in each rest, and none that may.
func TestGrayBackendServerIsLeftAfterOneRequest(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configured(1))
	nodes := startAll(t, store, 4)
	nodes[0].backend.answer(reset)
	var wg sync.WaitGroup
	var lost, unsafeLost atomic.Int64
	begun := time.Now()
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
	// One of each slot may be under way when the first breaks; later rests begin with requests that may be repeated.
	is.True(unsafeLost.Load() <= 3+int64(time.Since(begun)/(700*time.Millisecond)))
}

// TestDrainingBackendServerGetsNothingNew sends without a pause while a backend server says that it leaves.
func TestDrainingBackendServerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configured(1))
	nodes := startAll(t, store, 3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, x := range nodes {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if x.do(t, http.MethodPost, "/once/x", "") != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	nodes[0].report(2, true)
	time.Sleep(50 * time.Millisecond) // what was under way at the moment of the report
	after := nodes[0].backend.runs.Load()
	nodes[0].report(1, false) // a late report takes nothing back
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	is.Equal(nodes[0].backend.runs.Load(), after)
	is.Equal(failed.Load(), int64(0))
}

// TestWithdrawnKeyStopsWorking grants a key, uses it, and withdraws it while connections stay open.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	store := newMemoryStore()
	with := configured(1)
	with.Routes["safe"].Open = false
	with.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, with)
	nodes := startAll(t, store, 3)
	for _, x := range nodes {
		is.New(t).Equal(x.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
		is.New(t).Equal(x.do(t, http.MethodGet, "/safe/x", "other"), http.StatusUnauthorized)
	}
	without := configured(2)
	without.Routes["safe"].Open = false
	store.put(t, without)
	for _, x := range nodes {
		eventually(t, x.settings.Bounds.ConfigDeadline, "refused", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusUnauthorized })
	}
}

// TestAccountKeepsToItsRateOverTheFleet sends eight times an account's rate through all instances.
func TestAccountKeepsToItsRateOverTheFleet(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	const rate, burst = 30, 10
	c := configured(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: rate, Burst: burst, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	nodes := startAll(t, store, 4)
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	const length = 3 * time.Second
	end := time.Now().Add(length)
	for _, x := range nodes {
		wg.Go(func() {
			for time.Now().Before(end) {
				switch x.do(t, http.MethodGet, "/safe/x", "k") {
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
	is.True(float64(served.Load()) >= rate*length.Seconds()) // and it gets what is its own
	is.True(refused.Load() > 0)
}

// TestRateIsCountedAroundAHarmedWay cuts the ways between the home of an account and most others: they count through the ones
// that reach it, and nothing below the rate is refused.
func TestRateIsCountedAroundAHarmedWay(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := configured(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 100, Burst: 10, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	nodes := startAll(t, store, 5)
	for _, x := range nodes { // the account is known at its home, and the levels elsewhere
		is.Equal(x.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	}
	home := nodes[0].CoordinatorOf("a")
	var address string
	var caller *node
	for _, x := range nodes {
		if x.settings.Name == home {
			address = x.settings.Control.String()
		}
	}
	for _, x := range nodes {
		if x.settings.Name != home && caller == nil {
			caller = x
			x.network.cut.Store(address, true)
		}
	}
	refused := 0
	for range 60 { // four fifths of the rate, far above the instance's own part
		if caller.do(t, http.MethodGet, "/safe/x", "k") == http.StatusTooManyRequests {
			refused++
		}
		time.Sleep(12 * time.Millisecond)
	}
	is.Equal(refused, 0)
}

// TestInstancesServeWhileTheStoreIsAway takes the store away; instances go on, and one that starts gets the configuration
// from another as soon as it knows one.
func TestInstancesServeWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configured(1))
	nodes := startAll(t, store, 3)
	store.set(false, true)
	for range 10 {
		for _, x := range nodes {
			is.Equal(x.do(t, http.MethodGet, "/safe/x", ""), http.StatusOK)
		}
	}
}

// TestFailClosedRefusesKeysOfAStaleConfiguration takes the store away where the platform asks instances to fail closed: keys
// are refused, as not run, within the time of a revocation, open routes go on, and all is well once the store is back.
func TestFailClosedRefusesKeysOfAStaleConfiguration(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := configured(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	bounds := sidecar.DefaultBounds()
	bounds.FailClosed, bounds.RevocationDeadline = true, 1500*time.Millisecond
	var nodes []*node
	for n := range 3 {
		nodes = append(nodes, startWith(t, store, n+1, "d", bounds))
	}
	for _, x := range nodes {
		eventually(t, 15*time.Second, "served", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
	for end := time.Now().Add(2 * bounds.RevocationDeadline); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, x := range nodes {
			is.Equal(x.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK) // confirmed on and on
		}
	}
	store.set(true, true)
	for _, x := range nodes {
		eventually(t, 2*bounds.RevocationDeadline, "keys refused", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusServiceUnavailable })
		is.Equal(x.do(t, http.MethodGet, "/once/x", ""), http.StatusOK)
	}
	store.set(false, false)
	for _, x := range nodes {
		eventually(t, 2*bounds.RevocationDeadline, "keys work again", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
}

// TestChangedBoundsComeInForceWhileTheProcessRuns turns failing closed on by changed settings while the store is away.
func TestChangedBoundsComeInForceWhileTheProcessRuns(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := configured(1)
	c.Accounts = map[string]*ticket.Account{"a": {Rate: 1e9, Burst: 1e9, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	c.Routes["safe"].Open = false
	store.put(t, c)
	nodes := startAll(t, store, 2)
	for _, x := range nodes {
		eventually(t, 15*time.Second, "served", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK })
	}
	store.set(true, true)
	time.Sleep(200 * time.Millisecond)
	is.Equal(nodes[0].do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	changed := sidecar.Settings{Service: "s", Bounds: sidecar.DefaultBounds()}
	changed.Bounds.FailClosed, changed.Bounds.RevocationDeadline = true, 100*time.Millisecond
	for _, x := range nodes {
		x.Reload(&changed)
		eventually(t, 5*time.Second, "keys refused", func() bool { return x.do(t, http.MethodGet, "/safe/x", "k") == http.StatusServiceUnavailable })
	}
}

// TestBeforeTheFirstConfigurationNothingIsDenied answers "not ready" as long as nothing is known.
func TestBeforeTheFirstConfigurationNothingIsDenied(t *testing.T) {
	is := is.New(t)
	x := start(t, newMemoryStore(), 1, "d")
	is.Equal(x.do(t, http.MethodGet, "/safe/x", "k"), http.StatusServiceUnavailable)
	is.True(!x.Ready())
}

// TestPlannedStopCutsNothing stops an instance while callers keep using their connections to it until it is gone.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configured(1))
	nodes := startAll(t, store, 3)
	for _, x := range nodes {
		x.backend.answer(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(30 * time.Millisecond) })
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, x := range nodes[1:] {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if x.do(t, http.MethodPost, "/once/x", "") != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	begun := time.Now()
	nodes[0].Stop()
	is.True(time.Since(begun) < nodes[0].settings.Bounds.GracePeriod)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	wg.Wait()
	is.Equal(failed.Load(), int64(0))
}
