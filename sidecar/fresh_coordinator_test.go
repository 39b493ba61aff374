package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/ticket"
)

const (
	limitedRate  = 40
	limitedBurst = 20
)

// startLimitedFleet starts a fleet with an account of limitedRate and limitedBurst, and waits until it has run for longer
// than a fleet takes to start.
func startLimitedFleet(t *testing.T, instances int) (*memoryStore, []*node) {
	t.Helper()
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: limitedRate, Burst: limitedBurst, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	nodes := startAll(t, store, instances)
	time.Sleep(2500 * time.Millisecond)
	return store, nodes
}

// startLater starts the next instance of a running fleet and waits until it serves requests and knows all others.
func startLater(t *testing.T, store *memoryStore, n int) *node {
	t.Helper()
	fresh := start(t, store, n, "x")
	eventually(t, 10*time.Second, "the new instance is ready", func() bool {
		return fresh.Ready() && fresh.EndpointCount(serviceName) == n
	})
	return fresh
}

// checkShareIsServed sends many more requests of the account through an instance than its share of the rate allows, while
// no other instance sends any. A coordinator that does not know the account begins with half of the burst.
func checkShareIsServed(t *testing.T, n *node, instances int) {
	t.Helper()
	const window = time.Second
	served := 0
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if n.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK {
			served++
		}
	}
	bounds := n.settings.Bounds
	rate := limitedRate*(1+bounds.QuotaOverage) + bounds.QuotaSlack/bounds.QuotaWindow.Seconds()
	most := limitedBurst*(1+bounds.QuotaOverage)/2 + rate*window.Seconds()/float64(instances)
	t.Logf("%d requests served, at most %.1f allowed", served, most)
	is.New(t).True(float64(served) <= most)
}

// TestFreshCoordinatorGrantsItselfItsShare starts instances in a running fleet until one is the coordinator of an account
// in its own view. Before any other instance calls it, its own clients get its share of the rate.
func TestFreshCoordinatorGrantsItselfItsShare(t *testing.T) {
	const others = 3
	store, _ := startLimitedFleet(t, others)
	n := others + 1
	fresh := startLater(t, store, n)
	for fresh.CoordinatorOf("a") != fresh.settings.Name {
		n++
		fresh = startLater(t, store, n)
	}
	checkShareIsServed(t, fresh, others)
}
