package authority

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/ticket"
)

// mutation is a deliberate fault in the protocol that the simulation must detect.
type mutation string

const (
	noAnnouncement   mutation = "no announcement"
	countFromReceipt mutation = "lease counted from receipt"
	reusedIdentity   mutation = "restarted witness has the identity of its predecessor"
	unappliedLease   mutation = "lease valid before its revision is applied"
	silentIsStopped  mutation = "silent witness counted as stopped"
	leaseFromRead    mutation = "lease from a platform read that may be stale"
)

// node is an instance with its own clock.
type node struct {
	id              string
	lease           *Lease
	offset          time.Duration
	drift           int64
	pausedUntil     time.Duration
	noPlatformUntil time.Duration // can't reach the platform before this time
	proposal        *Announcement
}

// clock returns the reading of the node's clock at the time t.
func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t + time.Duration(int64(t)/1_000_000*n.drift)
}

// message is a message in flight; run delivers it.
type message struct {
	at      time.Duration
	to      int
	process string // identity of the receiver; "" delivers to any process that runs at this place
	run     func(n *node)
}

// acceptedChange is a change that the platform accepted, with the time.
type acceptedChange struct {
	entry ticket.Entry
	at    time.Duration
}

// simulation runs nodes with a random schedule and random faults, on a platform that it simulates.
type simulation struct {
	random                   *rand.Rand
	mutation                 mutation
	now                      time.Duration
	nodes                    []*node
	accepted                 []acceptedChange
	platformDown             bool
	cut                      map[[2]int]bool
	lossPercent, latePercent int
	faultInterval            int // a larger value means fewer faults
	messages                 []message
	timings                  Timings
	number                   uint64
	validChecks, checks      int
}

func newSimulation(seed int64, m mutation) *simulation {
	random := rand.New(rand.NewSource(seed))
	s := &simulation{random: random, mutation: m, cut: map[[2]int]bool{}, timings: DefaultTimings(), lossPercent: []int{0, 5}[random.Intn(2)], latePercent: []int{0, 10}[random.Intn(2)], faultInterval: []int{300, 1500}[random.Intn(2)]}
	s.nodes = make([]*node, 1+random.Intn(6))
	for i := range s.nodes {
		s.restart(i)
	}
	s.accepted = []acceptedChange{{entry: ticket.Entry{Revision: 1, Roster: s.roster(1)}}}
	return s
}

// restart replaces a node by a new process with a new identity and another clock.
func (s *simulation) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, s.random.Int31()), offset: time.Duration(s.random.Int63n(int64(time.Hour))), drift: s.random.Int63n(800) - 400}
	if old := s.nodes[i]; old != nil && s.mutation == reusedIdentity {
		n.id = old.id
	}
	n.lease = NewLease(n.id, s.timings)
	s.nodes[i] = n
}

func (s *simulation) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, k := range s.random.Perm(len(s.nodes)) {
		if i == 0 || s.random.Intn(3) > 0 {
			r.Witnesses = append(r.Witnesses, ticket.RosterMember{ID: s.nodes[k].id})
		}
	}
	return r
}

// rosterAt returns the roster in force at revision r.
func (s *simulation) rosterAt(r ticket.Revision) *ticket.Roster {
	var out *ticket.Roster
	for _, a := range s.accepted[:r] {
		if a.entry.Roster != nil {
			out = a.entry.Roster
		}
	}
	return out
}

func (s *simulation) find(id string) int {
	for i, n := range s.nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

// send sends a message between nodes. It may be lost in one direction only, or arrive late.
func (s *simulation) send(from, to int, process string, run func(*node)) {
	if to < 0 || s.cut[[2]int{from, to}] || s.random.Intn(100) < s.lossPercent {
		return
	}
	d := time.Duration(s.random.Int63n(int64(20 * time.Millisecond)))
	if s.random.Intn(100) < s.latePercent {
		d += time.Duration(s.random.Int63n(int64(9 * time.Second)))
	}
	s.messages = append(s.messages, message{s.now + d, to, process, run})
}

// request calls a witness and delivers its response to the same process that called.
func (s *simulation) request(from int, witness string, respond func(*node) func(*node)) {
	to, caller := s.find(witness), s.nodes[from].id
	s.send(from, to, witness, func(n *node) {
		if response := respond(n); response != nil {
			s.send(to, from, caller, response)
		}
	})
}

func (s *simulation) read(n *node, newest int) {
	for r := int(n.lease.applied) + 1; r <= newest; r++ {
		n.lease.SetApplied(ticket.Revision(r), s.rosterAt(ticket.Revision(r)))
	}
}

// actOnce makes one node take one random step of its regular work.
func (s *simulation) actOnce(i int) {
	n := s.nodes[i]
	now := n.clock(s.now)
	switch s.random.Intn(6) {
	case 0, 1:
		s.round(i, n, now)
	case 2, 3:
		s.requestRelay(i, now)
	case 4:
		if !s.platformDown && n.noPlatformUntil <= s.now {
			shown := max(int(n.lease.applied), len(s.accepted)-s.random.Intn(3))
			s.read(n, shown)
			if s.mutation == leaseFromRead {
				n.lease.addTentative(tentativeLease{expiry: now + s.timings.LeaseDuration, revision: ticket.Revision(shown)})
				n.lease.promote()
			}
		}
	case 5:
		if s.random.Intn(8) == 0 {
			s.propose(i, n)
		}
	}
	s.fetch(i, n)
}

// fetch gets the revision that a tentative lease requires from a peer that has applied it.
func (s *simulation) fetch(i int, n *node) {
	need := n.lease.RequiredRevision()
	if need == 0 || s.random.Intn(3) == 0 {
		return
	}
	for j, p := range s.nodes {
		if p.lease.applied >= need && !s.cut[[2]int{i, j}] && !s.cut[[2]int{j, i}] {
			s.read(n, int(need))
		}
	}
}

func (s *simulation) round(i int, n *node, now time.Duration) {
	if !n.lease.IsWitness() && s.random.Intn(4) > 0 {
		return
	}
	number, witnesses := n.lease.StartRound(now)
	for _, w := range witnesses {
		s.request(i, w.ID, func(p *node) func(*node) {
			k := p.lease.KnownChanges()
			return func(n *node) { s.handleReply(n, number, w.ID, k) }
		})
	}
}

func (s *simulation) handleReply(n *node, number uint64, from string, k KnownChanges) {
	s.extendRound(n, number)
	n.lease.HandleReply(number, from, k)
}

// extendRound counts the lease of a round from now on, if this is the mutation.
func (s *simulation) extendRound(n *node, number uint64) {
	for j, t := range n.lease.tentative {
		if s.mutation == countFromReceipt && t.round == number {
			n.lease.tentative[j].expiry = n.clock(s.now) + s.timings.LeaseDuration
		}
	}
}

func (s *simulation) requestRelay(i int, now time.Duration) {
	j := s.random.Intn(len(s.nodes))
	if i == j {
		return
	}
	s.request(i, s.nodes[j].id, func(p *node) func(*node) {
		relayed, ok := p.lease.Relay(p.clock(s.now))
		if !ok {
			return nil
		}
		return func(n *node) {
			sent := now
			switch s.mutation {
			case countFromReceipt:
				sent = n.clock(s.now)
			case unappliedLease:
				relayed.Revision = 0
			}
			n.lease.AcceptRelayed(sent, relayed)
		}
	})
}

// propose starts the announcement of a change; write then writes the change once the announcement is done.
func (s *simulation) propose(i int, n *node) {
	s.number++
	e := ticket.Entry{Revision: n.lease.applied + 1, Ticket: &ticket.Ticket{Number: s.number}}
	if s.random.Intn(3) == 0 {
		e.Ticket, e.Roster = nil, s.roster(s.number+1)
	}
	if n.lease.applied == 0 {
		return
	}
	a := n.lease.Announce(e)
	n.proposal = a
	for _, w := range a.Recipients() {
		if s.mutation == noAnnouncement {
			break
		}
		if s.find(w.ID) < 0 || (s.mutation == silentIsStopped && s.random.Intn(3) == 0) {
			a.Acknowledge(w.ID)
			continue
		}
		s.request(i, w.ID, func(p *node) func(*node) {
			p.lease.AddPending([]ticket.Entry{e})
			return func(n *node) { a.Acknowledge(w.ID) }
		})
	}
}

// write starts the conditional write of the announced change.
func (s *simulation) write(i int, n *node) {
	a := n.proposal
	if a == nil || s.platformDown || n.noPlatformUntil > s.now || (!a.Done() && s.mutation != noAnnouncement) {
		return
	}
	n.proposal = nil
	s.messages = append(s.messages, message{s.now + time.Duration(s.random.Int63n(int64(time.Second))), i, "", func(*node) {
		if int(a.entry.Revision) == len(s.accepted)+1 {
			s.accepted = append(s.accepted, acceptedChange{a.entry, s.now})
		}
	}})
}

func (s *simulation) step() error {
	s.now += time.Duration(s.random.Int63n(int64(100 * time.Millisecond)))
	s.injectFault()
	due := s.messages
	s.messages = nil
	for _, m := range due {
		n := s.nodes[m.to]
		switch {
		case m.at > s.now || n.pausedUntil > s.now:
			s.messages = append(s.messages, m)
		case m.process == "" || m.process == n.id:
			m.run(n)
		}
	}
	for i, n := range s.nodes {
		if n.pausedUntil > s.now {
			continue
		}
		s.write(i, n)
		s.actOnce(i)
		if err := s.check(n); err != nil {
			return err
		}
	}
	return nil
}

// injectFault now and then changes the reachability of the platform or of nodes, or pauses or restarts a node.
func (s *simulation) injectFault() {
	i := s.random.Intn(len(s.nodes))
	switch x := s.random.Intn(s.faultInterval); {
	case x < 3:
		s.platformDown = !s.platformDown
	case x < 9:
		s.cut[[2]int{i, s.random.Intn(len(s.nodes))}] = true
	case x < 13:
		for j := range s.nodes {
			s.cut[[2]int{i, j}], s.cut[[2]int{j, i}] = true, true
		}
	case x < 16:
		clear(s.cut)
	case x < 22:
		s.nodes[i].pausedUntil = s.now + time.Duration(s.random.Int63n(int64(12*time.Second)))
	case x < 25:
		s.restart(i)
	case x < 40:
		s.nodes[i].noPlatformUntil = s.now + time.Duration(s.random.Int63n(int64(40*time.Second)))
	}
}

// check verifies that a node with a valid lease knows every change that was accepted long enough ago.
func (s *simulation) check(n *node) error {
	s.checks++
	if !n.lease.Valid(n.clock(s.now)) {
		return nil
	}
	s.validChecks++
	for _, a := range s.accepted {
		if a.at+s.timings.PropagationBound() >= s.now || a.entry.Revision <= n.lease.applied {
			continue
		}
		if _, ok := n.lease.pending[digest(a.entry)]; !ok {
			return fmt.Errorf("at %v %s acts without knowing revision %d, accepted at %v", s.now, n.id, a.entry.Revision, a.at)
		}
	}
	return nil
}

// simulate runs one simulation, and returns the violation that it found.
func simulate(seed int64, m mutation) (*simulation, error) {
	s := newSimulation(seed, m)
	for range 700 {
		if err := s.step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

const simulationsPerCheck = 1

// TestValidLeaseImpliesKnownChanges checks that an instance with a valid lease knows every change that was accepted
// more than PropagationBound before, under lost and late messages, partitions, pauses, restarts and an unavailable
// platform.
func TestValidLeaseImpliesKnownChanges(t *testing.T) {
	valid, checks, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Int64().Draw(t, "first seed")
		for seed := range int64(simulationsPerCheck) {
			s, err := simulate(first+seed, "")
			if err != nil {
				t.Fatalf("seed %d: %v", first+seed, err)
			}
			valid, checks, changes = valid+s.validChecks, checks+s.checks, changes+len(s.accepted)
		}
	})
	t.Logf("%d changes accepted, leases valid %.0f%% of the time", changes, 100*float64(valid)/float64(checks))
	if 3*valid < checks || changes < 200 {
		t.Fatal("the simulations accepted too few changes, or leases were seldom valid")
	}
}

// TestSimulationDetectsMutations checks that the simulation finds each deliberate fault.
func TestSimulationDetectsMutations(t *testing.T) {
	for _, m := range []mutation{
		noAnnouncement, countFromReceipt, reusedIdentity, unappliedLease, silentIsStopped, leaseFromRead,
	} {
		t.Run(string(m), func(t *testing.T) {
			const maxSimulations = 400
			for seed := range int64(maxSimulations) {
				if _, err := simulate(seed, m); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not detected in %d simulations", maxSimulations)
		})
	}
}

// TestRoundNeedsWitnessesOfPendingRosters checks that a round needs a majority of the witnesses of pending rosters too.
// The witnesses in force may be partitioned from these, and then they don't know the changes accepted after that
// roster.
func TestRoundNeedsWitnessesOfPendingRosters(t *testing.T) {
	old := &ticket.Roster{Epoch: 1, Witnesses: []ticket.RosterMember{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	next := ticket.Entry{Revision: 2, Roster: &ticket.Roster{Epoch: 2, Witnesses: []ticket.RosterMember{{ID: "d"}, {ID: "e"}}}}
	for _, c := range []struct {
		name    string
		pending []ticket.Entry
		replies []string
		valid   bool
	}{
		{"no majority", nil, nil, false},
		{"majority", nil, []string{"b"}, true},
		{"old witnesses only", []ticket.Entry{next}, []string{"b", "c"}, false},
		{"half of the new witnesses", []ticket.Entry{next}, []string{"b", "d"}, false},
		{"both", []ticket.Entry{next}, []string{"b", "d", "e"}, true},
		{"new witnesses only", []ticket.Entry{next}, []string{"d", "e"}, false},
	} {
		l := NewLease("a", DefaultTimings())
		l.SetApplied(1, old)
		number, _ := l.StartRound(0)
		for _, witness := range c.replies {
			l.HandleReply(number, witness, KnownChanges{Revision: 1, Pending: c.pending})
		}
		if l.Valid(time.Second) != c.valid {
			t.Errorf("%s: valid is %v", c.name, !c.valid)
		}
	}
}
