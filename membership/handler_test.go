package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"
)

// known returns a state at 10.0.0.1:1000 that knows member "m" at another address with incarnation 5.
func known(t *testing.T) (*State, time.Time) {
	t.Helper()
	w := newNetwork(1, 1)
	s := w.nodes[0].state
	receive(s, w.now, "m", &Message{Kind: kindSpread, Updates: []news{{ID: "m", Incarnation: 5, Version: 3, Status: statusAlive}}})
	raw, err := encodeRecord(testRecord("m", 1))
	is.New(t).NoErr(err)
	receive(s, w.now, "m", &Message{Kind: kindRecords, Records: []cbor.RawMessage{raw}})
	return s, w.now
}

var elsewhere = netip.MustParseAddrPort("10.0.0.7:7000")

func receive(s *State, now time.Time, from ID, m *Message) []Action {
	m.Protocol, m.From = protocolVersion, from
	return s.Receive(now, elsewhere, m)
}

// sent returns the messages of one kind among actions.
func sent(actions []Action, k kind) []*Message {
	var out []*Message
	for _, a := range actions {
		if a, ok := a.(Send); ok && a.Message.Kind == k {
			out = append(out, a.Message)
		}
	}
	return out
}

func TestNewsIsJudgedByIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		news        []news
		status      status
		incarnation uint64
	}{
		{"older suspicion", []news{{Status: statusSuspect, Incarnation: 4}}, statusAlive, 5},
		{"suspicion", []news{{Status: statusSuspect, Incarnation: 5}}, statusSuspect, 5},
		{"refuted", []news{{Status: statusSuspect, Incarnation: 5}, {Status: statusAlive, Incarnation: 6}}, statusAlive, 6},
		{"not refuted by the same", []news{{Status: statusSuspect, Incarnation: 5}, {Status: statusAlive, Incarnation: 5}}, statusSuspect, 5},
		{"older failure", []news{{Status: statusFailed, Incarnation: 4}}, statusAlive, 5},
		{"failure", []news{{Status: statusFailed, Incarnation: 5}}, statusFailed, 5},
		{"failure, then late news of life", []news{{Status: statusFailed, Incarnation: 5}, {Status: statusAlive, Incarnation: 5, Version: 9}}, statusFailed, 5},
		{"failure, then late suspicion", []news{{Status: statusFailed, Incarnation: 5}, {Status: statusSuspect, Incarnation: 5}}, statusFailed, 5},
		{"failure refuted", []news{{Status: statusFailed, Incarnation: 5}, {Status: statusAlive, Incarnation: 6}}, statusAlive, 6},
		{"crossed: refutation before the failure", []news{{Status: statusAlive, Incarnation: 6}, {Status: statusFailed, Incarnation: 5}}, statusAlive, 6},
		{"left", []news{{Status: statusLeft, Incarnation: 5}}, statusLeft, 5},
		{"left is final", []news{{Status: statusLeft, Incarnation: 5}, {Status: statusAlive, Incarnation: 99}}, statusLeft, 5},
		{"failed, then left", []news{{Status: statusFailed, Incarnation: 5}, {Status: statusLeft, Incarnation: 5}}, statusLeft, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := known(t)
			for _, n := range c.news {
				n.ID = "m"
				receive(s, now, "x", &Message{Kind: kindSpread, Updates: []news{n, n}}) // everything comes twice
			}
			is.Equal(s.members["m"].status, c.status)
			is.Equal(s.members["m"].incarnation, c.incarnation)
			_, shown := s.Directory().Record("m")
			revived := c.name == "failure refuted" // its record is asked for first
			is.Equal(shown, s.members["m"].live() && !revived)
		})
	}
}

func TestPingIsAnsweredAndSuspicionRefuted(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	acks := sent(receive(s, now, "m", &Message{Kind: kindPing, Seq: 9, Target: s.self.ID}), kindAck)
	is.Equal(len(acks), 1)
	is.Equal(acks[0].Seq, uint64(9))
	suspicion := news{ID: s.self.ID, Status: statusSuspect, Incarnation: 1}
	acks = sent(receive(s, now, "m", &Message{Kind: kindPing, Seq: 10, Updates: []news{suspicion}}), kindAck)
	is.Equal(acks[0].Updates[0].Incarnation, uint64(2)) // the asker gets the refutation with the answer
	is.Equal(acks[0].Updates[0].Status, statusAlive)
	is.Equal(s.Stats().Health, 1)
	receive(s, now, "m", &Message{Kind: kindSpread, Updates: []news{suspicion}})
	is.Equal(s.incarnation, uint64(2)) // an old one is refuted already
}

func TestIndirectProbeIsRelayed(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	address, _ := elsewhere.MarshalBinary()
	pings := sent(receive(s, now, "x", &Message{Kind: kindPingRequest, Seq: 7, Target: "m", Address: address}), kindPing)
	is.Equal(len(pings), 1)
	now = now.Add(s.config.ProbeTimeout)
	nacks := sent(s.Tick(now), kindNack)
	is.Equal(len(nacks), 1)
	is.Equal(nacks[0].Seq, uint64(7))
	acks := sent(receive(s, now, "m", &Message{Kind: kindAck, Seq: pings[0].Seq}), kindAck)
	is.Equal(len(acks), 1)
	is.Equal(acks[0].Seq, uint64(7))
	is.Equal(acks[0].Target, ID("m"))
	is.Equal(len(sent(receive(s, now, "m", &Message{Kind: kindAck, Seq: pings[0].Seq}), kindAck)), 0) // doubled
	for range 2 * maxRelays {
		receive(s, now, "x", &Message{Kind: kindPingRequest, Seq: 8, Target: "m", Address: address})
	}
	is.Equal(len(s.relays), maxRelays)
}

func TestPullIsAnsweredWithinDatagrams(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	out := sent(receive(s, now, "m", &Message{Kind: kindPull, Want: []ID{"m", s.self.ID, "unknown"}}), kindRecords)
	is.Equal(len(out), 1)
	is.Equal(len(out[0].Records), 2)
	s.SetSelf(now, testRecord("x", 200).Endpoints, false)
	out = sent(receive(s, now, "m", &Message{Kind: kindPull, Want: []ID{s.self.ID}}), kindTooLarge)
	is.Equal(len(out), 1)
	got := receive(s, now, "m", &Message{Kind: kindTooLarge})
	is.Equal(got, []Action{SyncWith{ID: "m", Address: elsewhere}})
}

func TestLaterRevisionIsNoticed(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	is.Equal(receive(s, now, "m", &Message{Kind: kindSpread, Revision: 4}), []Action{NewerRevision{ID: "m", Address: elsewhere, Revision: 4}})
	is.Equal(len(sent(s.SetRevision(now, 4), kindSpread)), 1)
	is.Equal(len(receive(s, now, "m", &Message{Kind: kindSpread, Revision: 4})), 0)
}

func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1, 1)
	s := w.nodes[0].state
	s.config.MaxTombstones = 50
	for n := range 200 {
		gone := news{ID: ID(fmt.Sprint("gone-", n)), Status: statusFailed, Incarnation: 1}
		receive(s, w.now.Add(time.Duration(n)), "x", &Message{Kind: kindSpread, Updates: []news{gone}})
	}
	s.Tick(w.now.Add(time.Second))
	is.Equal(s.Stats().Tombstones, 50)
	_, kept := s.members["gone-199"]
	is.True(kept)
	s.Tick(w.now.Add(25 * time.Hour))
	is.Equal(s.Stats().Tombstones, 0)
}

func TestBudgetBoundsNews(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	s.spread.level = 0
	for n := range 1000 {
		s.enqueue(now, news{ID: ID(fmt.Sprint("id-", n)), Status: statusAlive}, false)
	}
	bytes := 0
	for range 100 { // ten seconds
		now = now.Add(s.config.TickInterval)
		for _, m := range sent(s.Tick(now), kindSpread) {
			bytes += m.size()
		}
	}
	is.True(bytes > 5000)
	is.True(float64(bytes) <= 10*s.config.GossipRate)
}

func TestUrgentNewsGoesFirst(t *testing.T) {
	is := is.New(t)
	s, now := known(t)
	for n := range 200 {
		s.enqueue(now, news{ID: ID(fmt.Sprint("id-", n)), Status: statusAlive}, false)
	}
	s.enqueue(now, news{ID: "urgent", Status: statusLeft}, true)
	m := &Message{Kind: kindSpread}
	s.fill(now, m)
	is.Equal(m.Updates[0].ID, ID("urgent"))
	s.SetSelf(now, []Endpoint{{Backend: "b", Service: "s", State: Active}}, false)
	is.True(!s.queue[s.self.ID].urgent)
	s.SetSelf(now, []Endpoint{{Backend: "b", Service: "s", State: Draining}}, false)
	is.True(s.selfChanged) // closely after another change it waits a little
	s.Tick(now.Add(s.config.UrgentSelfUpdateInterval))
	is.True(!s.selfChanged)
	now = now.Add(2 * s.config.UrgentSelfUpdateInterval)
	is.Equal(len(sent(s.SetSelf(now, nil, true), kindSpread)), 1) // otherwise it goes at once
}

// Updates give the same view as building it anew, and leave the view before as it was.
func TestDirectoryUpdatesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		records := make(map[ID]*Record)
		d := NewDirectory(nil)
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			before, copied := d, NewDirectory(maps.Clone(records))
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
				t.Fatal("the updated view differs from one built anew")
			}
			if !reflect.DeepEqual(before, copied) {
				t.Fatal("the view before has changed")
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
