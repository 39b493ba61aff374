package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/ticket"
)

// TestFreshCoordinatorGrantsItselfItsShare starts instances in a running fleet until one is the coordinator of an account
// in its own view. Before any other instance calls it, its own clients get its share of the rate.
func TestFreshCoordinatorGrantsItselfItsShare(t *testing.T) {
	is := is.New(t)
	const rate, burst, others = 40, 20, 3
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: rate, Burst: burst, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	startAll(t, store, others)
	time.Sleep(2500 * time.Millisecond) // longer than a fleet takes to start
	fresh := start(t, store, others+1, "x")
	knowsTheFleet := func(n *node) func() bool {
		return func() bool { return n.Ready() && n.EndpointCount(serviceName) >= others }
	}
	eventually(t, 5*time.Second, "the new instance is ready", knowsTheFleet(fresh))
	for n := others + 2; fresh.CoordinatorOf("a") != fresh.settings.Name; n++ {
		fresh = start(t, store, n, "x")
		eventually(t, 5*time.Second, "the new instance is ready", knowsTheFleet(fresh))
	}

	const window = time.Second
	served := 0
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if fresh.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK {
			served++
		}
	}
	bounds := fresh.settings.Bounds
	handedOut := rate*(1+bounds.QuotaOverage) + bounds.QuotaSlack/bounds.QuotaWindow.Seconds()
	most := burst*(1+bounds.QuotaOverage)/2 + handedOut*window.Seconds()/others
	t.Logf("%d requests served, at most %.1f allowed", served, most)
	is.True(float64(served) <= most)
}
