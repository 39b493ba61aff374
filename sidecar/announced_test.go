package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
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
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	calls := link.NewControlClient(link.SystemNetwork{}, nil)
	defer calls.Close()
	self := membership.Record{ID: "self", Domain: "x"}
	members := gossip.New(owner.New(owner.NewSystem()), self, conn, calls, event.Discard())
	c := newConfigurationManager(Options{
		Store:  fixedStore{stored: StoredConfiguration{Specification: specification, Position: Position{Revision: 1}}},
		Decode: func(data []byte) (out *Configuration, err error) { return out, json.Unmarshal(data, &out) },
		Events: event.Discard(),
	}, DefaultBounds, members, calls, self, newGenerations(event.Discard()))
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
