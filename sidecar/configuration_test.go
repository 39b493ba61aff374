package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/sidecar"
	"amaranthstile/ticket"
)

// testConfiguration returns a configuration with a route whose requests may be repeated, /safe, and one whose requests
// may not, /once.
func testConfiguration(version uint64) *sidecar.Configuration {
	return &sidecar.Configuration{
		Version: version,
		Routes: map[string]*ticket.Route{
			"safe": {Prefix: "/safe", Service: serviceName, Open: true, Repeatable: []string{"GET"}, MaxRuns: 2, TimeLimitMillis: 2000},
			"once": {Prefix: "/once", Service: serviceName, Open: true, Repeatable: []string{}, MaxRuns: 2, TimeLimitMillis: 2000},
		},
	}
}

// TestConfigurationComesInForceWhileWatchesHang lets every watch call at the store hang, as when connections stop
// responding without an error: each instance still has to put a new configuration in force within the deadline.
func TestConfigurationComesInForceWhileWatchesHang(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	a, b, c := start(t, store, 1, "x"), start(t, store, 2, "x"), start(t, store, 3, "y")
	nodes := []*node{a, b, c}
	for _, n := range nodes {
		eventually(t, 10*time.Second, "the instance is ready", n.Ready)
		eventually(t, 5*time.Second, "a request succeeds", func() bool { return n.do(t, "GET", "/safe/x", "") == http.StatusOK })
	}
	store.setFaults(true, false)
	time.Sleep(100 * time.Millisecond)
	next := testConfiguration(2)
	delete(next.Routes, "safe")
	store.put(t, next)
	storedAt := time.Now()
	for _, n := range nodes {
		eventually(t, a.settings.Bounds.ConfigDeadline, "the route is gone", func() bool { return n.do(t, "GET", "/safe/x", "") == http.StatusNotFound })
	}
	is.True(time.Since(storedAt) <= a.settings.Bounds.ConfigDeadline)
}
