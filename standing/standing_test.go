package standing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/ticket"
)

// mutation is a planted fault that the search has to find.
type mutation string

const (
	noAnnouncement   mutation = "no announcement"
	countFromReceipt mutation = "credit counted from receipt"
	reusedIdentity mutation = "restarted witness speaks for its predecessor"
	unappliedLease  mutation = "credit counted before it is applied"
	silentIsStopped    mutation = "silent witness taken for ended"
	leaseFromRead   mutation = "credit from a platform read that may be stale"
)

// node is an instance with a clock of its own.
type node struct {
	id       string
	lease  *AuthorityLease
	offset   time.Duration
	drift    int64
	pausedUntil   time.Duration
	noPlatformUntil    time.Duration // reaches no platform before
	proposal *Announcement
}

func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t + time.Duration(int64(t)/1_000_000*n.drift)
}

// message is on its way; run hands it over.
type message struct {
	at      time.Duration
	to      int
	process string // "" reaches whatever process runs there
	run     func(n *node)
}

// acceptedChange is one change in the platform.
type acceptedChange struct {
	entry ticket.Entry
	at    time.Duration
}

type simulation struct {
	r          *rand.Rand
	mutation          mutation
	t          time.Duration
	nodes      []*node
	accepted        []acceptedChange
	platformDown       bool
	cut        map[[2]int]bool
	lossPercent, latePercent int
	faultInterval       int // the larger the fewer faults
	messages   []message
	timings      Timings
	number     uint64
	validChecks, checks int
}

func newSimulation(seed int64, m mutation) *simulation {
	r := rand.New(rand.NewSource(seed))
	w := &simulation{r: r, mutation: m, cut: map[[2]int]bool{}, timings: DefaultTimings(), lossPercent: []int{0, 5}[r.Intn(2)], latePercent: []int{0, 10}[r.Intn(2)], faultInterval: []int{300, 1500}[r.Intn(2)]}
	w.nodes = make([]*node, 1+r.Intn(6))
	for i := range w.nodes {
		w.restart(i)
	}
	w.accepted = []acceptedChange{{entry: ticket.Entry{Revision: 1, Roster: w.roster(1)}}}
	return w
}

func (w *simulation) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, w.r.Int31()), offset: time.Duration(w.r.Int63n(int64(time.Hour))), drift: w.r.Int63n(800) - 400}
	if old := w.nodes[i]; old != nil && w.mutation == reusedIdentity {
		n.id = old.id
	}
	n.lease = NewAuthorityLease(n.id, w.timings)
	w.nodes[i] = n
}

func (w *simulation) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, k := range w.r.Perm(len(w.nodes)) {
		if i == 0 || w.r.Intn(3) > 0 {
			r.Witnesses = append(r.Witnesses, ticket.RosterMember{ID: w.nodes[k].id})
		}
	}
	return r
}

// rosterAt returns the roster in force at a revision.
func (w *simulation) rosterAt(r ticket.Revision) *ticket.Roster {
	var out *ticket.Roster
	for _, a := range w.accepted[:r] {
		if a.entry.Roster != nil {
			out = a.entry.Roster
		}
	}
	return out
}

func (w *simulation) find(id string) int {
	for i, n := range w.nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

// send sends a message between nodes; with late and one-way losses.
func (w *simulation) send(from, to int, process string, run func(*node)) {
	if to < 0 || w.cut[[2]int{from, to}] || w.r.Intn(100) < w.lossPercent {
		return
	}
	d := time.Duration(w.r.Int63n(int64(20 * time.Millisecond)))
	if w.r.Intn(100) < w.latePercent {
		d += time.Duration(w.r.Int63n(int64(9 * time.Second)))
	}
	w.messages = append(w.messages, message{w.t + d, to, process, run})
}

// request calls a witness and brings its answer back to the same process.
func (w *simulation) request(from int, witness string, answer func(*node) func(*node)) {
	to, asker := w.find(witness), w.nodes[from].id
	w.send(from, to, witness, func(n *node) {
		if back := answer(n); back != nil {
			w.send(to, from, asker, back)
		}
	})
}

func (w *simulation) read(n *node, newest int) {
	for r := int(n.lease.applied) + 1; r <= newest; r++ {
		n.lease.SetApplied(ticket.Revision(r), w.rosterAt(ticket.Revision(r)))
	}
}

// actOnce lets one node do some of what it does all the time.
func (w *simulation) actOnce(i int) {
	n := w.nodes[i]
	now := n.clock(w.t)
	switch w.r.Intn(6) {
	case 0, 1:
		w.round(i, n, now)
	case 2, 3:
		w.requestRelay(i, now)
	case 4:
		if !w.platformDown && n.noPlatformUntil <= w.t {
			shown := max(int(n.lease.applied), len(w.accepted)-w.r.Intn(3))
			w.read(n, shown)
			if w.mutation == leaseFromRead {
				n.lease.addTentative(tentativeLease{expiry: now + w.timings.LeaseDuration, revision: ticket.Revision(shown)})
				n.lease.promote()
			}
		}
	case 5:
		if w.r.Intn(8) == 0 {
			w.propose(i, n)
		}
	}
	w.fetch(i, n)
}

// fetch brings what a claim needs from a peer that has it.
func (w *simulation) fetch(i int, n *node) {
	need := n.lease.RequiredRevision()
	if need == 0 || w.r.Intn(3) == 0 {
		return
	}
	for j, p := range w.nodes {
		if p.lease.applied >= need && !w.cut[[2]int{i, j}] && !w.cut[[2]int{j, i}] {
			w.read(n, int(need))
		}
	}
}

func (w *simulation) round(i int, n *node, now time.Duration) {
	if !n.lease.IsWitness() && w.r.Intn(4) > 0 {
		return
	}
	number, ask := n.lease.StartRound(now)
	for _, x := range ask {
		w.request(i, x.ID, func(p *node) func(*node) {
			k := p.lease.KnownChanges()
			return func(n *node) { w.handleReply(n, number, x.ID, k) }
		})
	}
}

func (w *simulation) handleReply(n *node, number uint64, from string, k KnownChanges) {
	w.extendRound(n, number)
	n.lease.HandleReply(number, from, k)
}

// extendRound counts the round from now on.
func (w *simulation) extendRound(n *node, number uint64) {
	for j, c := range n.lease.tentative {
		if w.mutation == countFromReceipt && c.round == number {
			n.lease.tentative[j].expiry = n.clock(w.t) + w.timings.LeaseDuration
		}
	}
}

func (w *simulation) requestRelay(i int, now time.Duration) {
	j := w.r.Intn(len(w.nodes))
	if i == j {
		return
	}
	w.request(i, w.nodes[j].id, func(p *node) func(*node) {
		c, ok := p.lease.Relay(p.clock(w.t))
		if !ok {
			return nil
		}
		return func(n *node) {
			sent := now
			switch w.mutation {
			case countFromReceipt:
				sent = n.clock(w.t)
			case unappliedLease:
				c.Revision = 0
			}
			n.lease.AcceptRelayed(sent, c)
		}
	})
}

// propose announces a change and writes it once that is done.
func (w *simulation) propose(i int, n *node) {
	w.number++
	e := ticket.Entry{Revision: n.lease.applied + 1, Ticket: &ticket.Ticket{Number: w.number}}
	if w.r.Intn(3) == 0 {
		e.Ticket, e.Roster = nil, w.roster(w.number+1)
	}
	if n.lease.applied == 0 {
		return
	}
	a := n.lease.Announce(e)
	n.proposal = a
	for _, x := range a.Recipients() {
		if w.mutation == noAnnouncement {
			break
		}
		if w.find(x.ID) < 0 || (w.mutation == silentIsStopped && w.r.Intn(3) == 0) {
			a.Acknowledge(x.ID)
			continue
		}
		w.request(i, x.ID, func(p *node) func(*node) {
			p.lease.AddPending([]ticket.Entry{e})
			return func(n *node) { a.Acknowledge(x.ID) }
		})
	}
}

// write makes the conditional write of what was announced.
func (w *simulation) write(i int, n *node) {
	a := n.proposal
	if a == nil || w.platformDown || n.noPlatformUntil > w.t || (!a.Done() && w.mutation != noAnnouncement) {
		return
	}
	n.proposal = nil
	w.messages = append(w.messages, message{w.t + time.Duration(w.r.Int63n(int64(time.Second))), i, "", func(*node) {
		if int(a.entry.Revision) == len(w.accepted)+1 {
			w.accepted = append(w.accepted, acceptedChange{a.entry, w.t})
		}
	}})
}

func (w *simulation) step() error {
	w.t += time.Duration(w.r.Int63n(int64(100 * time.Millisecond)))
	w.injectFault()
	due := w.messages
	w.messages = nil
	for _, m := range due {
		n := w.nodes[m.to]
		switch {
		case m.at > w.t || n.pausedUntil > w.t:
			w.messages = append(w.messages, m)
		case m.process == "" || m.process == n.id:
			m.run(n)
		}
	}
	for i, n := range w.nodes {
		if n.pausedUntil > w.t {
			continue
		}
		w.write(i, n)
		w.actOnce(i)
		if err := w.check(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *simulation) injectFault() {
	i := w.r.Intn(len(w.nodes))
	switch x := w.r.Intn(w.faultInterval); {
	case x < 3:
		w.platformDown = !w.platformDown
	case x < 9:
		w.cut[[2]int{i, w.r.Intn(len(w.nodes))}] = true
	case x < 13:
		for j := range w.nodes {
			w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
		}
	case x < 16:
		clear(w.cut)
	case x < 22:
		w.nodes[i].pausedUntil = w.t + time.Duration(w.r.Int63n(int64(12*time.Second)))
	case x < 25:
		w.restart(i)
	case x < 40:
		w.nodes[i].noPlatformUntil = w.t + time.Duration(w.r.Int63n(int64(40*time.Second)))
	}
}

// check is what standing promises.
func (w *simulation) check(n *node) error {
	w.checks++
	if !n.lease.Valid(n.clock(w.t)) {
		return nil
	}
	w.validChecks++
	for _, a := range w.accepted {
		if a.at+w.timings.PropagationBound() >= w.t || a.entry.Revision <= n.lease.applied {
			continue
		}
		if _, ok := n.lease.pending[digest(a.entry)]; !ok {
			return fmt.Errorf("at %v %s acts without revision %d, accepted at %v", w.t, n.id, a.entry.Revision, a.at)
		}
	}
	return nil
}

func simulate(seed int64, m mutation) (*simulation, error) {
	w := newSimulation(seed, m)
	for range 700 {
		if err := w.step(); err != nil {
			return w, err
		}
	}
	return w, nil
}

const historiesPerCheck = 1

func TestValidLeaseImpliesKnownChanges(t *testing.T) {
	held, seen, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Int64().Draw(t, "first seed")
		for seed := range int64(historiesPerCheck) {
			w, err := simulate(first+seed, "")
			if err != nil {
				t.Fatalf("seed %d: %v", first+seed, err)
			}
			held, seen, changes = held+w.validChecks, seen+w.checks, changes+len(w.accepted)
		}
	})
	t.Logf("%d changes accepted, credit held %.0f%% of the time", changes, 100*float64(held)/float64(seen))
	if 3*held < seen || changes < 200 {
		t.Fatal("the histories do not try enough")
	}
}

func TestSimulationDetectsMutations(t *testing.T) {
	for _, m := range []mutation{
		noAnnouncement, countFromReceipt, reusedIdentity, unappliedLease, silentIsStopped, leaseFromRead,
	} {
		t.Run(string(m), func(t *testing.T) {
			const most = 400
			for seed := range int64(most) {
				if _, err := simulate(seed, m); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d histories", most)
		})
	}
}

// TestRoundNeedsWitnessesOfPendingRosters: the witnesses in force alone may be cut off from those that a pending
// roster names, and so from what was accepted after it.
func TestRoundNeedsWitnessesOfPendingRosters(t *testing.T) {
	old := &ticket.Roster{Epoch: 1, Witnesses: []ticket.RosterMember{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	next := ticket.Entry{Revision: 2, Roster: &ticket.Roster{Epoch: 2, Witnesses: []ticket.RosterMember{{ID: "d"}, {ID: "e"}}}}
	for _, c := range []struct {
		name    string
		pending []ticket.Entry
		words   []string
		holds   bool
	}{
		{"no majority", nil, nil, false},
		{"majority", nil, []string{"b"}, true},
		{"old witnesses only", []ticket.Entry{next}, []string{"b", "c"}, false},
		{"half of the new witnesses", []ticket.Entry{next}, []string{"b", "d"}, false},
		{"both", []ticket.Entry{next}, []string{"b", "d", "e"}, true},
		{"new witnesses only", []ticket.Entry{next}, []string{"d", "e"}, false},
	} {
		m := NewAuthorityLease("a", DefaultTimings())
		m.SetApplied(1, old)
		number, _ := m.StartRound(0)
		for _, w := range c.words {
			m.HandleReply(number, w, KnownChanges{Revision: 1, Pending: c.pending})
		}
		if m.Valid(time.Second) != c.holds {
			t.Errorf("%s: holds is %v", c.name, !c.holds)
		}
	}
}
