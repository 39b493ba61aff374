package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/membership"
	"amaranthstile/result"
)

// fixedStore is a store that holds one configuration.
type fixedStore struct {
	Store
	stored StoredConfiguration
}

// Configuration implements Store.
func (f fixedStore) Configuration(context.Context) (StoredConfiguration, error) { return f.stored, nil }

// listenSilently returns the address of a listener whose connections never respond.
func listenSilently(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestAnnouncedConfigurationIsInForceWhileTheAnnouncerIsSilent announces a configuration in the name of an instance whose connections do not
// respond. A change passes through up to three instances in the second half of its time.
func TestAnnouncedConfigurationIsInForceWhileTheAnnouncerIsSilent(t *testing.T) {
	is := is.New(t)
	specification, err := json.Marshal(Configuration{Version: 2})
	is.NoErr(err)
	c := newManager(t)
	c.store = fixedStore{stored: StoredConfiguration{Specification: specification, Position: Position{Revision: 1}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.followPeers(ctx)
	c.onNewerRevision(membership.NewerRevision{ID: "other", Address: listenSilently(t), Revision: 2})
	const hops = 3
	for end := time.Now().Add(DefaultBounds().ConfigDeadline / 2 / hops); time.Now().Before(end) && c.version() < 2; {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(c.version(), uint64(2))
}

// trickledStore is a store whose reads take long, until they are cancelled.
type trickledStore struct {
	Store
	cancelled chan struct{}
}

// Configuration implements Store.
func (s trickledStore) Configuration(ctx context.Context) (out StoredConfiguration, err error) {
	<-ctx.Done()
	close(s.cancelled)
	return out, result.Wrap(result.PlatformUnavailable, ctx.Err(), "the read was cancelled")
}

// TestLongReadDoesNotKeepAConfigurationFromAnotherInstance guards against announcements that wait for a read over a narrow link.
func TestLongReadDoesNotKeepAConfigurationFromAnotherInstance(t *testing.T) {
	is := is.New(t)
	specification, err := json.Marshal(Configuration{Version: 2})
	is.NoErr(err)
	other := serveConfiguration(t, newManager(t, specification))
	store := trickledStore{cancelled: make(chan struct{})}
	c := newManager(t)
	c.store = store
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.followPeers(ctx)
	c.onNewerRevision(membership.NewerRevision{ID: "silent", Address: listenSilently(t), Revision: 2})
	end := time.Now().Add(DefaultBounds().ConfigDeadline / 2)
	for time.Now().Before(end) && c.version() < 2 {
		c.onNewerRevision(membership.NewerRevision{ID: "other", Address: other, Revision: 2})
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(c.version(), uint64(2))
	<-store.cancelled
	is.True(!c.storeUnavailable.Load())
}
