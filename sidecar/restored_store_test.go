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
