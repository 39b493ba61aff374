package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"
)

// stateWithMember returns the state of an instance that knows member "m", at memberAddress with incarnation 5.
func stateWithMember(t *testing.T) (*State, time.Time) {
	t.Helper()
	w := newNetwork(1, 1)
	s := w.nodes[0].state
	receive(s, w.now, "m", &Message{Kind: kindGossip, Updates: []memberUpdate{{ID: "m", Incarnation: 5, Version: 3, Status: statusAlive}}})
	raw, err := encodeRecord(testRecord("m", 1))
	is.New(t).NoErr(err)
	receive(s, w.now, "m", &Message{Kind: kindRecords, Records: []cbor.RawMessage{raw}})
	return s, w.now
}

// memberAddress is the sender of all messages that receive passes in.
var memberAddress = netip.MustParseAddrPort("10.0.0.7:7000")

// receive passes a message from the given sender to a state.
func receive(s *State, now time.Time, from ID, m *Message) []Action {
	m.Protocol, m.From = protocolVersion, from
	return s.Receive(now, memberAddress, m)
}

// sentMessages returns the sent messages of one kind.
func sentMessages(actions []Action, k kind) []*Message {
	var out []*Message
	for _, a := range actions {
		if a, ok := a.(Send); ok && a.Message.Kind == k {
			out = append(out, a.Message)
		}
	}
	return out
}

func TestUpdatesAreAppliedByIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		updates     []memberUpdate
		status      status
		incarnation uint64
	}{
		{"older suspicion", []memberUpdate{{Status: statusSuspect, Incarnation: 4}}, statusAlive, 5},
		{"suspicion", []memberUpdate{{Status: statusSuspect, Incarnation: 5}}, statusSuspect, 5},
		{"refuted", []memberUpdate{{Status: statusSuspect, Incarnation: 5}, {Status: statusAlive, Incarnation: 6}}, statusAlive, 6},
		{"not refuted by the same incarnation", []memberUpdate{{Status: statusSuspect, Incarnation: 5}, {Status: statusAlive, Incarnation: 5}}, statusSuspect, 5},
		{"older failure", []memberUpdate{{Status: statusFailed, Incarnation: 4}}, statusAlive, 5},
		{"failure", []memberUpdate{{Status: statusFailed, Incarnation: 5}}, statusFailed, 5},
		{"failure, then a delayed alive update", []memberUpdate{{Status: statusFailed, Incarnation: 5}, {Status: statusAlive, Incarnation: 5, Version: 9}}, statusFailed, 5},
		{"failure, then a delayed suspicion", []memberUpdate{{Status: statusFailed, Incarnation: 5}, {Status: statusSuspect, Incarnation: 5}}, statusFailed, 5},
		{"failure refuted", []memberUpdate{{Status: statusFailed, Incarnation: 5}, {Status: statusAlive, Incarnation: 6}}, statusAlive, 6},
		{"reordered: refutation before the failure", []memberUpdate{{Status: statusAlive, Incarnation: 6}, {Status: statusFailed, Incarnation: 5}}, statusAlive, 6},
		{"left", []memberUpdate{{Status: statusLeft, Incarnation: 5}}, statusLeft, 5},
		{"left is final", []memberUpdate{{Status: statusLeft, Incarnation: 5}, {Status: statusAlive, Incarnation: 99}}, statusLeft, 5},
		{"failed, then left", []memberUpdate{{Status: statusFailed, Incarnation: 5}, {Status: statusLeft, Incarnation: 5}}, statusLeft, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := stateWithMember(t)
			for _, u := range c.updates {
				u.ID = "m"
				receive(s, now, "x", &Message{Kind: kindGossip, Updates: []memberUpdate{u, u}}) // every update arrives twice
			}
			is.Equal(s.members["m"].status, c.status)
			is.Equal(s.members["m"].incarnation, c.incarnation)
			_, published := s.Directory().Record("m")
			revived := c.name == "failure refuted" // its record has to be pulled first
			is.Equal(published, s.members["m"].live() && !revived)
		})
	}
}

func TestPingIsAcknowledgedAndSuspicionRefuted(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	acks := sentMessages(receive(s, now, "m", &Message{Kind: kindPing, Seq: 9, Target: s.self.ID}), kindAck)
	is.Equal(len(acks), 1)
	is.Equal(acks[0].Seq, uint64(9))
	suspicion := memberUpdate{ID: s.self.ID, Status: statusSuspect, Incarnation: 1}
	acks = sentMessages(receive(s, now, "m", &Message{Kind: kindPing, Seq: 10, Updates: []memberUpdate{suspicion}}), kindAck)
	is.Equal(acks[0].Updates[0].Incarnation, uint64(2)) // the sender gets the refutation with the acknowledgement
	is.Equal(acks[0].Updates[0].Status, statusAlive)
	is.Equal(s.Stats().Health, 1)
	receive(s, now, "m", &Message{Kind: kindGossip, Updates: []memberUpdate{suspicion}})
	is.Equal(s.incarnation, uint64(2)) // the earlier incarnation is already refuted
}

func TestIndirectProbeIsRelayed(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	address, _ := memberAddress.MarshalBinary()
	pings := sentMessages(receive(s, now, "x", &Message{Kind: kindPingRequest, Seq: 7, Target: "m", Address: address}), kindPing)
	is.Equal(len(pings), 1)
	now = now.Add(s.config.ProbeTimeout)
	nacks := sentMessages(s.Tick(now), kindNack)
	is.Equal(len(nacks), 1)
	is.Equal(nacks[0].Seq, uint64(7))
	acks := sentMessages(receive(s, now, "m", &Message{Kind: kindAck, Seq: pings[0].Seq}), kindAck)
	is.Equal(len(acks), 1)
	is.Equal(acks[0].Seq, uint64(7))
	is.Equal(acks[0].Target, ID("m"))
	is.Equal(len(sentMessages(receive(s, now, "m", &Message{Kind: kindAck, Seq: pings[0].Seq}), kindAck)), 0) // a duplicate is not relayed
	for range 2 * maxRelayedProbes {
		receive(s, now, "x", &Message{Kind: kindPingRequest, Seq: 8, Target: "m", Address: address})
	}
	is.Equal(len(s.relayedProbes), maxRelayedProbes)
}

func TestPullIsAnsweredInDatagramsOrRefused(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	out := sentMessages(receive(s, now, "m", &Message{Kind: kindPull, Want: []ID{"m", s.self.ID, "unknown"}}), kindRecords)
	is.Equal(len(out), 1)
	is.Equal(len(out[0].Records), 2)
	s.SetSelf(now, testRecord("x", 200).Endpoints, false)
	out = sentMessages(receive(s, now, "m", &Message{Kind: kindPull, Want: []ID{s.self.ID}}), kindTooLarge)
	is.Equal(len(out), 1)
	got := receive(s, now, "m", &Message{Kind: kindTooLarge})
	is.Equal(got, []Action{SyncWith{ID: "m", Address: memberAddress}})
}

func TestNewerRevisionIsReported(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	is.Equal(receive(s, now, "m", &Message{Kind: kindGossip, Revision: 4}), []Action{NewerRevision{ID: "m", Address: memberAddress, Revision: 4}})
	is.Equal(len(sentMessages(s.SetRevision(now, 4), kindGossip)), 1)
	is.Equal(len(receive(s, now, "m", &Message{Kind: kindGossip, Revision: 4})), 0)
}

// TestReadingsAreSentWithinTheirBudget sends more readings than the budget allows at once, and decodes one.
func TestReadingsAreSentWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	s.SetRevision(now, 7)
	to := netip.MustParseAddrPort("10.0.0.9:9")
	r := Reading{At: time.UnixMilli(1_800_000_000_123), Revision: 5, StateHash: 1 << 63, From: "b", To: "d"}
	sent := sentMessages(s.SendReadings(now, slices.Repeat([]ReadingTo{{Address: to, Reading: r}}, 1000)), kindReading)
	bytes := 0
	for _, m := range sent {
		bytes += m.size()
	}
	is.True(bytes <= int(s.config.ReadingBurst) && bytes > int(s.config.ReadingBurst)/2)

	data, err := sent[0].Encode()
	is.NoErr(err)
	m, err := DecodeMessage(data)
	is.NoErr(err)
	r.Revision = 7 // in force at the sender
	is.True(slices.ContainsFunc(receive(s, now, "b", m), func(a Action) bool { return a == ReadingReceived{Sender: memberAddress, Reading: r} }))
}

func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1, 1)
	s := w.nodes[0].state
	s.config.MaxTombstones = 50
	for n := range 200 {
		gone := memberUpdate{ID: ID(fmt.Sprint("gone-", n)), Status: statusFailed, Incarnation: 1}
		receive(s, w.now.Add(time.Duration(n)), "x", &Message{Kind: kindGossip, Updates: []memberUpdate{gone}})
	}
	s.Tick(w.now.Add(time.Second))
	is.Equal(s.Stats().Tombstones, 50)
	_, kept := s.members["gone-199"]
	is.True(kept)
	s.Tick(w.now.Add(25 * time.Hour))
	is.Equal(s.Stats().Tombstones, 0)
}

func TestBudgetLimitsUpdates(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	s.gossipBudget.level = 0
	for n := range 1000 {
		s.enqueue(now, memberUpdate{ID: ID(fmt.Sprint("id-", n)), Status: statusAlive}, false)
	}
	bytes := 0
	for range 100 { // ten seconds
		now = now.Add(s.config.TickInterval)
		for _, m := range sentMessages(s.Tick(now), kindGossip) {
			bytes += m.size()
		}
	}
	is.True(bytes > 5000)
	is.True(float64(bytes) <= 10*s.config.GossipRate)
}

func TestUrgentUpdatesAreSentFirst(t *testing.T) {
	is := is.New(t)
	s, now := stateWithMember(t)
	for n := range 200 {
		s.enqueue(now, memberUpdate{ID: ID(fmt.Sprint("id-", n)), Status: statusAlive}, false)
	}
	s.enqueue(now, memberUpdate{ID: "urgent", Status: statusLeft}, true)
	m := &Message{Kind: kindGossip}
	s.piggyback(now, m)
	is.Equal(m.Updates[0].ID, ID("urgent"))
	s.SetSelf(now, []Endpoint{{Backend: "b", Service: "s", State: Active}}, false)
	is.True(!s.queue[s.self.ID].urgent)
	s.SetSelf(now, []Endpoint{{Backend: "b", Service: "s", State: Draining}}, false)
	is.True(s.selfChanged) // it waits for UrgentSelfUpdateInterval after the previous change
	s.Tick(now.Add(s.config.UrgentSelfUpdateInterval))
	is.True(!s.selfChanged)
	now = now.Add(2 * s.config.UrgentSelfUpdateInterval)
	is.Equal(len(sentMessages(s.SetSelf(now, nil, true), kindGossip)), 1) // after that interval it is sent at once
}

// TestDirectoryUpdatesAreExact checks that an updated directory equals one built from scratch, and that the previous
// one is unchanged.
func TestDirectoryUpdatesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		records := make(map[ID]*Record)
		d := NewDirectory(nil)
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			before, expectedBefore := d, NewDirectory(maps.Clone(records))
			changes := make(map[ID]*Record)
			for range r.IntN(4) + 1 {
				id := ID(fmt.Sprint("id-", r.IntN(6)))
				changes[id] = randomRecord(r, id)
				records[id] = changes[id]
				if changes[id] == nil {
					delete(records, id)
				}
			}
			d = d.Update(changes)
			if !reflect.DeepEqual(d, NewDirectory(maps.Clone(records))) {
				t.Fatal("the updated directory differs from one built from scratch")
			}
			if !reflect.DeepEqual(before, expectedBefore) {
				t.Fatal("the previous directory has changed")
			}
		}
	})
}

func randomRecord(r *rand.Rand, id ID) *Record {
	if r.IntN(4) == 0 {
		return nil
	}
	out := testRecord(id, 0)
	for n := range r.IntN(4) {
		out.Endpoints = append(out.Endpoints, Endpoint{Backend: fmt.Sprint("b", n), Service: fmt.Sprint("s", r.IntN(4)), Slots: r.IntN(3)})
	}
	return out
}
