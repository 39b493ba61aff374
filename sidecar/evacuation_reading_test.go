package sidecar

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/evacuation"
	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// evacuatedStore is a store that holds the evacuation of one failure domain.
type evacuatedStore struct{ Store }

// Evacuations implements Store.
func (evacuatedStore) Evacuations(context.Context) (StoredEvacuations, error) {
	return StoredEvacuations{Domains: []string{"x"}, Position: Position{Generation: 1, Revision: 5}}, nil
}

// startMember starts the membership of an instance, with a server for the calls of others.
func startMember(t *testing.T, id membership.ID) (*gossip.Members, *link.ControlClient, membership.Record, *link.ControlServer) {
	t.Helper()
	l, conn, err := gossip.Listen(link.SystemNetwork{}, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	calls, server := link.NewControlClient(link.SystemNetwork{}, nil), link.NewControlServer()
	self := membership.Record{ID: id, Domain: "d", Link: address, Control: address, Protocols: [2]uint8{link.ProtocolOldest, link.ProtocolNewest}}
	m := gossip.New(owner.New(owner.NewSystem()), self, conn, calls, event.Discard())
	link.Register(server, gossip.MethodSync, m.HandleSync)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(l) }()
	go m.Run(ctx)
	t.Cleanup(func() {
		cancel()
		calls.Close()
		_ = l.Close()
	})
	return m, calls, self, server
}

// TestInstanceLearnsOfAnEvacuationThatItsPartnersMissed guards against an instance that takes a response of another one for being told: the
// other one may not have read the store either, as those whose turn it was are gone.
func TestInstanceLearnsOfAnEvacuationThatItsPartnersMissed(t *testing.T) {
	is := is.New(t)
	_, _, partner, server := startMember(t, "partner")
	var exchanges atomic.Int64
	link.Register(server, methodEvacuations, func(context.Context, evacuation.Set) (any, error) {
		exchanges.Add(1)
		return evacuation.Set{Known: true, Position: Position{Generation: 1, Revision: 1}}, nil
	})
	members, calls, self, _ := startMember(t, "self")
	members.Join([]netip.AddrPort{partner.Control})
	bounds := func() Bounds { return Bounds{EvacuationDeadline: 2 * time.Second} }
	e := newEvacuations(Options{Store: evacuatedStore{}, Events: event.Discard()}, bounds, members, calls, self, newGenerations(event.Discard()))
	for end := time.Now().Add(5 * time.Second); len(members.Directory().Records()) < 2 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(len(members.Directory().Records()), 2)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.keepInTouch(ctx)
	go e.keepFresh(ctx)
	for end := time.Now().Add(bounds().EvacuationDeadline); !e.isEvacuated("x") && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(e.isEvacuated("x"))
	is.True(exchanges.Load() > 0)
}

// TestReadingOfOtherEvacuationsIsExchanged receives a reading by an instance that knows of an evacuation which this one lacks, and one that
// agrees with what is known here.
func TestReadingOfOtherEvacuationsIsExchanged(t *testing.T) {
	is := is.New(t)
	_, _, reader, server := startMember(t, "reader")
	known := evacuation.State{}
	known.Observe(time.Now(), Position{Generation: 1, Revision: 5}, []string{"x"})
	link.Register(server, methodEvacuations, func(context.Context, evacuation.Set) (any, error) { return known.Set(), nil })
	members, calls, self, _ := startMember(t, "self")
	bounds := func() Bounds { return Bounds{EvacuationDeadline: 2 * time.Second} }
	e := newEvacuations(Options{Store: evacuatedStore{}, Events: event.Discard()}, bounds, members, calls, self, newGenerations(event.Discard()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.followReadings(ctx)

	agreeing := membership.Reading{At: time.Now(), Revision: 9, StateHash: e.stateHash()}
	members.Owner.Do(func() { e.receiveReading(membership.ReadingReceived{Sender: reader.Control, Reading: agreeing}, nil) })
	is.True(agreeing.At.Sub(e.readings.last()).Abs() < time.Millisecond)

	other := newEvacuations(Options{Store: evacuatedStore{}, Events: event.Discard()}, bounds, members, calls, self, newGenerations(event.Discard()))
	ok, changed := other.readStore(ctx)
	is.True(ok && changed)
	time.Sleep(10 * time.Millisecond)
	differing := membership.Reading{At: time.Now(), StateHash: other.stateHash()}
	is.True(differing.StateHash != agreeing.StateHash)
	e.receiveReading(membership.ReadingReceived{Sender: reader.Control, Reading: differing}, nil)
	counts := func() bool { return e.readings.last().Sub(agreeing.At) > 5*time.Millisecond }
	for end := time.Now().Add(time.Second); !counts() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(e.isEvacuated("x"))
	is.True(counts())
}
