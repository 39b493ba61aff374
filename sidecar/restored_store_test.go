package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/sidecar"
)

// TestOlderCopyDoesNotConfirmTheConfiguration lets the store come back from an older copy. An instance that fails closed
// can't know what else the copy lacks, a withdrawn key for example, and refuses keys until the store has the
// configuration in force again.
func TestOlderCopyDoesNotConfirmTheConfiguration(t *testing.T) {
	is := is.New(t)
	bounds := sidecar.DefaultBounds()
	bounds.FailClosed, bounds.RevocationDeadline = true, 900*time.Millisecond
	store := newMemoryStore()
	store.put(t, configurationWithKeys(1, withoutLimit))
	a, b := startWith(t, store, 1, "x", bounds), startWith(t, store, 2, "y", bounds)
	older := store.copy()
	store.put(t, configurationWithKeys(2, withoutLimit, "key"))
	use := func(n *node) int { return n.do(t, http.MethodPost, "/keyed/x", "key") }
	for _, n := range []*node{a, b} {
		eventually(t, 5*time.Second, "the key is accepted", func() bool { return use(n) == http.StatusOK })
	}
	store.restore(older)
	restoredAt := time.Now()
	time.Sleep(bounds.RevocationDeadline)
	for time.Since(restoredAt) < 3*bounds.RevocationDeadline {
		is.Equal(use(a), http.StatusServiceUnavailable)
		is.Equal(use(b), http.StatusServiceUnavailable)
		time.Sleep(20 * time.Millisecond)
	}
	store.put(t, configurationWithKeys(2, withoutLimit, "key"))
	for _, n := range []*node{a, b} {
		eventually(t, bounds.RevocationDeadline, "the key is accepted again", func() bool { return use(n) == http.StatusOK })
	}
}

// TestStartingInstanceDoesNotServeAnOlderCopy starts an instance while the store holds an older configuration than the
// others have in force: a key that they no longer accept must not work there either.
func TestStartingInstanceDoesNotServeAnOlderCopy(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.put(t, configurationWithKeys(1, withoutLimit, "kept", "withdrawn"))
	a, b := start(t, store, 1, "x"), start(t, store, 2, "y")
	older := store.copy()
	store.put(t, configurationWithKeys(2, withoutLimit, "kept"))
	for _, n := range []*node{a, b} {
		eventually(t, 10*time.Second, "version 2 is in force", func() bool {
			return n.do(t, http.MethodPost, "/keyed/x", "kept") == http.StatusOK &&
				n.do(t, http.MethodPost, "/keyed/x", "withdrawn") == http.StatusUnauthorized
		})
	}
	store.restore(older)
	c := start(t, store, 3, "x")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		is.True(c.do(t, http.MethodPost, "/keyed/x", "withdrawn") != http.StatusOK)
	}
	is.Equal(c.do(t, http.MethodPost, "/keyed/x", "kept"), http.StatusOK)
}
