package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/link"
	"amaranthstile/sidecar"
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
// in its own view, while no earlier one can reach it to hand the account over. Before any other instance calls it, its own
// clients get its share of the rate.
func TestFreshCoordinatorGrantsItselfItsShare(t *testing.T) {
	const others = 3
	store, nodes := startLimitedFleet(t, others)
	reachable := make(map[string]bool)
	for _, n := range nodes {
		reachable[n.settings.Control.String()] = true
	}
	for _, n := range nodes {
		n.network.reachable.Store(&reachable)
	}
	n := others + 1
	fresh := startLater(t, store, n)
	for fresh.CoordinatorOf("a") != fresh.settings.Name {
		fresh.network.reachable.Store(&reachable)
		n++
		fresh = startLater(t, store, n)
	}
	checkShareIsServed(t, fresh, others)
}

const (
	burstyRate  = 5
	burstyBurst = 200
)

// startBurstyFleet starts a fleet with an account that has a burst of many times its rate.
func startBurstyFleet(t *testing.T, instances int) (*memoryStore, []*node) {
	t.Helper()
	store := newMemoryStore()
	c := testConfiguration(1)
	c.Routes["safe"].Open = false
	c.Accounts = map[string]*ticket.Account{"a": {Rate: burstyRate, Burst: burstyBurst, Keys: []ticket.Hash{ticket.HashKey("k")}}}
	store.put(t, c)
	return store, startAll(t, store, instances)
}

// sendUntilRefused sends requests of the account to each instance until one is refused, and returns how many were served.
func sendUntilRefused(t *testing.T, nodes []*node) (served int) {
	t.Helper()
	for _, n := range nodes {
		for n.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK {
			served++
		}
	}
	return served
}

// allowedIn returns how many requests the bursty account may have run in a time, which is at most the window.
func allowedIn(n *node, d time.Duration) float64 {
	b := n.settings.Bounds
	return (burstyRate*min(d, b.QuotaWindow).Seconds()+burstyBurst)*(1+b.QuotaOverage) + b.QuotaSlack
}

// TestBurstIsSpentOnceAcrossACoordinatorChange guards against a successor of an account's coordinator that starts with a
// part of a burst which was spent just before.
func TestBurstIsSpentOnceAcrossACoordinatorChange(t *testing.T) {
	split := func(nodes []*node) (coordinator *node, others []*node) {
		for _, n := range nodes {
			if n.settings.Name == nodes[0].CoordinatorOf("a") {
				coordinator = n
			} else {
				others = append(others, n)
			}
		}
		return coordinator, others
	}
	for name, change := range map[string]func(t *testing.T, store *memoryStore, nodes []*node) (left []*node){
		"planned stop": func(_ *testing.T, _ *memoryStore, nodes []*node) []*node {
			coordinator, others := split(nodes)
			go coordinator.Stop()
			time.Sleep(300 * time.Millisecond)
			return others
		},
		"kill": func(_ *testing.T, _ *memoryStore, nodes []*node) []*node {
			coordinator, others := split(nodes)
			coordinator.Kill()
			time.Sleep(300 * time.Millisecond)
			return others
		},
		"kill of all": func(t *testing.T, store *memoryStore, nodes []*node) []*node {
			for _, n := range nodes {
				n.Kill()
			}
			return startAll(t, store, len(nodes))
		},
	} {
		t.Run(name, func(t *testing.T) {
			store, nodes := startBurstyFleet(t, 4)
			start := time.Now()
			served := sendUntilRefused(t, nodes)
			is.New(t).True(served >= burstyBurst)
			left := change(t, store, nodes)
			served += sendUntilRefused(t, left)
			took := time.Since(start)
			is.New(t).True(took < left[0].settings.Bounds.QuotaWindow)
			if most := allowedIn(left[0], took); float64(served) > most {
				t.Errorf("%d requests served in %v, at most %.1f are allowed", served, took, most)
			}
		})
	}
}

// TestHandedOverAccountKeepsItsBurst guards against a planned stop of the coordinator after which an account that has spent
// little gets 429.
func TestHandedOverAccountKeepsItsBurst(t *testing.T) {
	is := is.New(t)
	_, nodes := startBurstyFleet(t, 4)
	is.Equal(nodes[0].do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	var left []*node
	for _, n := range nodes {
		if n.settings.Name == nodes[0].CoordinatorOf("a") {
			go n.Stop()
		} else {
			left = append(left, n)
		}
	}
	time.Sleep(300 * time.Millisecond)
	is.True(sendUntilRefused(t, left[:1]) >= burstyBurst/2)
}

// TestTransferOfACutOffCoordinatorKeepsTheCount guards against an instance that coordinated an account for itself while it was
// cut off, and whose transfer then replaces the level at the coordinator that served all others: the account got 429.
func TestTransferOfACutOffCoordinatorKeepsTheCount(t *testing.T) {
	is := is.New(t)
	_, nodes := startLimitedFleet(t, 3)
	time.Sleep(3 * time.Second) // longer than a new coordinator waits for the transfer of the previous one
	var coordinator *node
	for _, n := range nodes {
		if n.settings.Name == nodes[0].CoordinatorOf("a") {
			coordinator = n
		}
	}
	for range 3 * limitedBurst {
		coordinator.do(t, http.MethodGet, "/safe/x", "k")
	}
	time.Sleep(time.Second) // refills more than the burst
	client := link.NewControlClient(link.SystemNetwork{}, nil)
	defer client.Close()
	is.NoErr(client.Call(t.Context(), coordinator.settings.Control.String(), "account.transfer", map[string]any{
		"accounts": map[string]any{"a": map[string]any{"level": 0}}, "shards": 1, "owned": map[string]any{"0": 1000},
	}, &struct{}{}))
	for range limitedBurst / 2 {
		is.Equal(coordinator.do(t, http.MethodGet, "/safe/x", "k"), http.StatusOK)
	}
}

// servedWithout counts the requests of the account that one instance serves within a time after it has lost the coordinator.
func servedWithout(t *testing.T, lose func(coordinator, entry *node, all []*node), d time.Duration) (served int) {
	t.Helper()
	_, nodes := startLimitedFleet(t, 4)
	var coordinator, entry *node
	for _, n := range nodes {
		n.do(t, http.MethodGet, "/safe/x", "k")
		if n.settings.Name == nodes[0].CoordinatorOf("a") {
			coordinator = n
		} else {
			entry = n
		}
	}
	lose(coordinator, entry, nodes)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if entry.do(t, http.MethodGet, "/safe/x", "k") == http.StatusOK {
			served++
		}
	}
	return served
}

// TestShareOfTheRateWaitsForAConfirmedLoss guards against an instance that is cut off alone and spends its share of the rate
// while the coordinator hands out all of it to the others, and against one that refuses requests although another instance
// has told that the coordinator is lost.
func TestShareOfTheRateWaitsForAConfirmedLoss(t *testing.T) {
	const took = 2500 * time.Millisecond
	b := sidecar.DefaultBounds()
	initial := (b.QuotaOverage*(limitedRate*b.QuotaWindow.Seconds()+limitedBurst) + b.QuotaSlack) / 4
	t.Run("cut off alone", func(t *testing.T) {
		served := servedWithout(t, func(_, entry *node, all []*node) {
			for _, n := range all {
				entry.network.partitioned.Store(n.settings.Control.String(), true)
			}
		}, took)
		if float64(served) > initial {
			t.Errorf("%d requests were served in %v, at most %.1f may be", served, took, initial)
		}
	})
	t.Run("coordinator killed", func(t *testing.T) {
		served := servedWithout(t, func(coordinator, _ *node, _ []*node) { coordinator.Kill() }, took)
		if least := limitedRate * took.Seconds() / 4 / 2; float64(served) < least {
			t.Errorf("%d requests were served in %v, at least %.1f have to be", served, took, least)
		}
	})
}
