package instance

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/store"
	"amaranthstile/ticket"
)

// node is an instance reduced to the parts that replicate tickets.
type node struct {
	*replicator
	configuration *configuration
	addr          netip.AddrPort
}

func newNode(t *testing.T, revisions int) *node {
	t.Helper()
	system := owner.NewSystem()
	l, packets, err := gossip.Listen(link.SystemNetwork{}, netip.MustParseAddrPort("127.0.0.1:0"))
	is.New(t).NoErr(err)
	calls, server := link.NewControlClient(link.SystemNetwork{}, nil), link.NewControlServer()
	self := membership.Record{ID: membership.ID(randomID()), Domain: "norte", Control: addrPort(l)}
	m := gossip.New(owner.New(system), self, packets, calls, event.Discard())
	manager := newAuthorityManager(owner.New(system), self, m, calls, event.Discard())
	shares := newShareManager(owner.New(system), manager, m, calls, self.ID)
	c := newConfiguration(owner.New(system), store.NewMemory(), event.Discard(), manager, shares)
	n := &node{replicator: newReplicator(c, m, calls, event.Discard(), self), configuration: c, addr: self.Control}
	c.replicator = n.replicator
	link.Register(server, methodEntries, n.handleEntries)
	link.Register(server, methodManifest, n.transfer.handleManifest)
	link.Register(server, methodChunk, n.transfer.handleChunk)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		calls.Close()
		_ = l.Close()
		_ = packets.Close()
		server.Close()
		c.owner.Stop()
		manager.owner.Stop()
		shares.owner.Stop()
		m.Owner.Stop()
		system.Shutdown()
	})
	for r := 1; r <= revisions; r++ {
		is.New(t).True(c.Apply(entryOf(r)))
	}
	if revisions > 0 {
		n.setLoaded()
	}
	return n
}

func entryOf(r int) ticket.Entry {
	name := fmt.Sprint("service-", r)
	return ticket.Entry{Revision: ticket.Revision(r), Ticket: &ticket.Ticket{
		Number:   uint64(r),
		Services: map[string]*ticket.Service{name: {Floor: 0.5}},
		Routes:   map[string]*ticket.Route{name: {Prefix: "/" + name, Service: name}},
	}}
}

func TestMissingEntriesAreFetchedInOrder(t *testing.T) {
	is := is.New(t)
	source, receiver := newNode(t, 150), newNode(t, 3)
	is.True(receiver.fetch(t.Context(), source.addr))
	is.Equal(receiver.state.Revision(), ticket.Revision(150))
	is.Equal(receiver.Stats().Entries, uint64(147)) // each one once
	is.True(receiver.fetch(t.Context(), source.addr))
	is.Equal(receiver.Stats().Entries, uint64(147))
	is.True(source.fetch(t.Context(), receiver.addr)) // the receiver can serve them to others
}

func TestWholeStateIsLoadedIfEntriesAreNotKept(t *testing.T) {
	is := is.New(t)
	source, receiver := newNode(t, 150), newNode(t, 3)
	source.recent, source.recentSizes = source.recent[100:], source.recentSizes[100:]
	is.True(receiver.fetch(t.Context(), source.addr))
	is.Equal(receiver.state.Revision(), ticket.Revision(150))
	is.Equal(receiver.Stats().Entries, uint64(0))
	received, err := receiver.configuration.Copy().Encode()
	is.NoErr(err)
	sent, err := source.configuration.Copy().Encode()
	is.NoErr(err)
	is.True(received.Manifest.Equal(sent.Manifest))
	is.True(source.configuration.Apply(entryOf(151)))
	is.True(receiver.fetch(t.Context(), source.addr)) // and then fetches single entries
	is.Equal(receiver.Stats().Entries, uint64(1))
}

// TestWholeStateRemovesAbsentObjects checks that an object that is absent from a received state is no longer in
// force: a revoked key does not become valid again.
func TestWholeStateRemovesAbsentObjects(t *testing.T) {
	is := is.New(t)
	source, receiver := newNode(t, 9), newNode(t, 3)
	key := ticket.HashKey("a key")
	added := ticket.Entry{Revision: 4, Ticket: &ticket.Ticket{Number: 4, Accounts: map[string]*ticket.Account{"farm": {Keys: []ticket.Hash{key}, Rate: 1, Burst: 1}}}}
	is.True(receiver.configuration.Apply(added))
	removed := ticket.Entry{Revision: 10, Ticket: &ticket.Ticket{Number: 10, Routes: map[string]*ticket.Route{"service-1": nil}}}
	is.True(source.configuration.Apply(removed))
	source.recent, source.recentSizes = nil, nil
	is.True(receiver.fetch(t.Context(), source.addr))
	view := receiver.configuration.view.Load()
	_, ok := view.Routes.Lookup("", "/service-1")
	is.True(!ok)
	_, ok = view.Routes.Lookup("", "/service-9")
	is.True(ok)
	_, ok = view.Accounts.Find("a key")
	is.True(!ok)
}

// TestInvalidStatesAreRefused checks that an invalid state leaves the receiver's state unchanged.
func TestInvalidStatesAreRefused(t *testing.T) {
	for name, damage := range map[string]func(*node){
		"a chunk is damaged":       func(n *node) { n.transfer.snapshot.Chunks[0][20]++ },
		"a chunk is truncated":     func(n *node) { n.transfer.snapshot.Chunks[0] = n.transfer.snapshot.Chunks[0][:9] },
		"the manifest is empty":    func(n *node) { n.transfer.snapshot.Manifest.Chunks = nil },
		"the manifest is too long": func(n *node) { n.transfer.snapshot.Manifest.Chunks = make([]ticket.Hash, ticket.MaxChunks+1) },
		"the revision differs":     func(n *node) { n.transfer.snapshot.Manifest.Revision++ },
		"it is not loaded":         func(n *node) { n.loaded.Store(false) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source, receiver := newNode(t, 9), newNode(t, 3)
			source.recent, source.recentSizes = nil, nil
			_, err := source.transfer.currentSnapshot()
			is.NoErr(err)
			damage(source)
			is.True(!receiver.fetch(t.Context(), source.addr))
			is.Equal(receiver.state.Revision(), ticket.Revision(3))
		})
	}
}

func TestInvalidEntriesAreRefused(t *testing.T) {
	is := is.New(t)
	receiver := newNode(t, 3)
	both, neither, invalid := entryOf(4), ticket.Entry{Revision: 4}, entryOf(4)
	both.Roster = &ticket.Roster{}
	invalid.Ticket.Services["service-4"].Floor = 7
	for _, e := range []ticket.Entry{both, neither, invalid, entryOf(5)} {
		is.True(!receiver.applyAll([]ticket.Entry{e}))
	}
	is.Equal(receiver.state.Revision(), ticket.Revision(3))
	is.True(receiver.applyAll([]ticket.Entry{entryOf(4), entryOf(5)}))
	var reply entriesReply
	unready := newNode(t, 0)
	err := receiver.client.Call(t.Context(), unready.addr.String(), methodEntries, entriesRequest{}, &reply)
	is.Equal(result.CodeOf(err), result.NotReady)
}
