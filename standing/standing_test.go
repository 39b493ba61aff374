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
	forgetfulWitness mutation = "restarted witness speaks for its predecessor"
	unappliedCredit  mutation = "credit counted before it is applied"
	silentIsEnded    mutation = "silent witness taken for ended"
	creditFromRead   mutation = "credit from a platform read that may be stale"
)

// node is an instance with a clock of its own.
type node struct {
	id       string
	machine  *AuthorityLease
	offset   time.Duration
	drift    int64
	paused   time.Duration
	blind    time.Duration // reaches no platform before
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

// accepted is one change in the platform.
type accepted struct {
	entry ticket.Entry
	at    time.Duration
}

type world struct {
	r          *rand.Rand
	m          mutation
	t          time.Duration
	nodes      []*node
	log        []accepted
	away       bool
	cut        map[[2]int]bool
	lost, late int
	calm       int // the larger the fewer faults
	messages   []message
	terms      Timings
	number     uint64
	held, seen int
}

func newWorld(seed int64, m mutation) *world {
	r := rand.New(rand.NewSource(seed))
	w := &world{r: r, m: m, cut: map[[2]int]bool{}, terms: DefaultTimings(), lost: []int{0, 5}[r.Intn(2)], late: []int{0, 10}[r.Intn(2)], calm: []int{300, 1500}[r.Intn(2)]}
	w.nodes = make([]*node, 1+r.Intn(6))
	for i := range w.nodes {
		w.restart(i)
	}
	w.log = []accepted{{entry: ticket.Entry{Revision: 1, Roster: w.roster(1)}}}
	return w
}

func (w *world) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, w.r.Int31()), offset: time.Duration(w.r.Int63n(int64(time.Hour))), drift: w.r.Int63n(800) - 400}
	if old := w.nodes[i]; old != nil && w.m == forgetfulWitness {
		n.id = old.id
	}
	n.machine = NewAuthorityLease(n.id, w.terms)
	w.nodes[i] = n
}

func (w *world) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, k := range w.r.Perm(len(w.nodes)) {
		if i == 0 || w.r.Intn(3) > 0 {
			r.Witnesses = append(r.Witnesses, ticket.RosterMember{ID: w.nodes[k].id})
		}
	}
	return r
}

// rosterAt returns the roster in force at a revision.
func (w *world) rosterAt(r ticket.Revision) *ticket.Roster {
	var out *ticket.Roster
	for _, a := range w.log[:r] {
		if a.entry.Roster != nil {
			out = a.entry.Roster
		}
	}
	return out
}

func (w *world) find(id string) int {
	for i, n := range w.nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

// post sends a message between nodes; with late and one-way losses.
func (w *world) post(from, to int, process string, run func(*node)) {
	if to < 0 || w.cut[[2]int{from, to}] || w.r.Intn(100) < w.lost {
		return
	}
	d := time.Duration(w.r.Int63n(int64(20 * time.Millisecond)))
	if w.r.Intn(100) < w.late {
		d += time.Duration(w.r.Int63n(int64(9 * time.Second)))
	}
	w.messages = append(w.messages, message{w.t + d, to, process, run})
}

// ask calls a witness and brings its answer back to the same process.
func (w *world) ask(from int, witness string, answer func(*node) func(*node)) {
	to, asker := w.find(witness), w.nodes[from].id
	w.post(from, to, witness, func(n *node) {
		if back := answer(n); back != nil {
			w.post(to, from, asker, back)
		}
	})
}

func (w *world) read(n *node, newest int) {
	for r := int(n.machine.applied) + 1; r <= newest; r++ {
		n.machine.SetApplied(ticket.Revision(r), w.rosterAt(ticket.Revision(r)))
	}
}

// act lets one node do some of what it does all the time.
func (w *world) act(i int) {
	n := w.nodes[i]
	now := n.clock(w.t)
	switch w.r.Intn(6) {
	case 0, 1:
		w.round(i, n, now)
	case 2, 3:
		w.borrow(i, now)
	case 4:
		if !w.away && n.blind <= w.t {
			shown := max(int(n.machine.applied), len(w.log)-w.r.Intn(3))
			w.read(n, shown)
			if w.m == creditFromRead {
				n.machine.keep(claim{until: now + w.terms.LeaseDuration, revision: ticket.Revision(shown)})
				n.machine.count()
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
func (w *world) fetch(i int, n *node) {
	need := n.machine.RequiredRevision()
	if need == 0 || w.r.Intn(3) == 0 {
		return
	}
	for j, p := range w.nodes {
		if p.machine.applied >= need && !w.cut[[2]int{i, j}] && !w.cut[[2]int{j, i}] {
			w.read(n, int(need))
		}
	}
}

func (w *world) round(i int, n *node, now time.Duration) {
	if !n.machine.IsWitness() && w.r.Intn(4) > 0 {
		return
	}
	number, ask := n.machine.StartRound(now)
	for _, x := range ask {
		w.ask(i, x.ID, func(p *node) func(*node) {
			k := p.machine.KnownChanges()
			return func(n *node) { w.word(n, number, x.ID, k) }
		})
	}
}

func (w *world) word(n *node, number uint64, from string, k KnownChanges) {
	w.stretch(n, number)
	n.machine.HandleReply(number, from, k)
}

// stretch counts the round from now on.
func (w *world) stretch(n *node, number uint64) {
	for j, c := range n.machine.claims {
		if w.m == countFromReceipt && c.round == number {
			n.machine.claims[j].until = n.clock(w.t) + w.terms.LeaseDuration
		}
	}
}

func (w *world) borrow(i int, now time.Duration) {
	j := w.r.Intn(len(w.nodes))
	if i == j {
		return
	}
	w.ask(i, w.nodes[j].id, func(p *node) func(*node) {
		c, ok := p.machine.Relay(p.clock(w.t))
		if !ok {
			return nil
		}
		return func(n *node) {
			sent := now
			switch w.m {
			case countFromReceipt:
				sent = n.clock(w.t)
			case unappliedCredit:
				c.Revision = 0
			}
			n.machine.AcceptRelayed(sent, c)
		}
	})
}

// propose announces a change and writes it once that is done.
func (w *world) propose(i int, n *node) {
	w.number++
	e := ticket.Entry{Revision: n.machine.applied + 1, Ticket: &ticket.Ticket{Number: w.number}}
	if w.r.Intn(3) == 0 {
		e.Ticket, e.Roster = nil, w.roster(w.number+1)
	}
	if n.machine.applied == 0 {
		return
	}
	a := n.machine.Announce(e)
	n.proposal = a
	for _, x := range a.Recipients() {
		if w.m == noAnnouncement {
			break
		}
		if w.find(x.ID) < 0 || (w.m == silentIsEnded && w.r.Intn(3) == 0) {
			a.Acknowledge(x.ID)
			continue
		}
		w.ask(i, x.ID, func(p *node) func(*node) {
			p.machine.AddPending([]ticket.Entry{e})
			return func(n *node) { a.Acknowledge(x.ID) }
		})
	}
}

// write makes the conditional write of what was announced.
func (w *world) write(i int, n *node) {
	a := n.proposal
	if a == nil || w.away || n.blind > w.t || (!a.Done() && w.m != noAnnouncement) {
		return
	}
	n.proposal = nil
	w.messages = append(w.messages, message{w.t + time.Duration(w.r.Int63n(int64(time.Second))), i, "", func(*node) {
		if int(a.entry.Revision) == len(w.log)+1 {
			w.log = append(w.log, accepted{a.entry, w.t})
		}
	}})
}

func (w *world) step() error {
	w.t += time.Duration(w.r.Int63n(int64(100 * time.Millisecond)))
	w.disturb()
	due := w.messages
	w.messages = nil
	for _, m := range due {
		n := w.nodes[m.to]
		switch {
		case m.at > w.t || n.paused > w.t:
			w.messages = append(w.messages, m)
		case m.process == "" || m.process == n.id:
			m.run(n)
		}
	}
	for i, n := range w.nodes {
		if n.paused > w.t {
			continue
		}
		w.write(i, n)
		w.act(i)
		if err := w.check(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) disturb() {
	i := w.r.Intn(len(w.nodes))
	switch x := w.r.Intn(w.calm); {
	case x < 3:
		w.away = !w.away
	case x < 9:
		w.cut[[2]int{i, w.r.Intn(len(w.nodes))}] = true
	case x < 13:
		for j := range w.nodes {
			w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
		}
	case x < 16:
		clear(w.cut)
	case x < 22:
		w.nodes[i].paused = w.t + time.Duration(w.r.Int63n(int64(12*time.Second)))
	case x < 25:
		w.restart(i)
	case x < 40:
		w.nodes[i].blind = w.t + time.Duration(w.r.Int63n(int64(40*time.Second)))
	}
}

// check is what standing promises.
func (w *world) check(n *node) error {
	w.seen++
	if !n.machine.Valid(n.clock(w.t)) {
		return nil
	}
	w.held++
	for _, a := range w.log {
		if a.at+w.terms.PropagationBound() >= w.t || a.entry.Revision <= n.machine.applied {
			continue
		}
		if _, ok := n.machine.pending[digest(a.entry)]; !ok {
			return fmt.Errorf("at %v %s acts without revision %d, accepted at %v", w.t, n.id, a.entry.Revision, a.at)
		}
	}
	return nil
}

func history(seed int64, m mutation) (*world, error) {
	w := newWorld(seed, m)
	for range 700 {
		if err := w.step(); err != nil {
			return w, err
		}
	}
	return w, nil
}

const historiesPerCheck = 1

func TestWhoeverActsKnowsWhatIsInForce(t *testing.T) {
	held, seen, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Int64().Draw(t, "first seed")
		for seed := range int64(historiesPerCheck) {
			w, err := history(first+seed, "")
			if err != nil {
				t.Fatalf("seed %d: %v", first+seed, err)
			}
			held, seen, changes = held+w.held, seen+w.seen, changes+len(w.log)
		}
	})
	t.Logf("%d changes accepted, credit held %.0f%% of the time", changes, 100*float64(held)/float64(seen))
	if 3*held < seen || changes < 200 {
		t.Fatal("the histories do not try enough")
	}
}

func TestSearchFindsPlantedFaults(t *testing.T) {
	for _, m := range []mutation{
		noAnnouncement, countFromReceipt, forgetfulWitness, unappliedCredit, silentIsEnded, creditFromRead,
	} {
		t.Run(string(m), func(t *testing.T) {
			const most = 400
			for seed := range int64(most) {
				if _, err := history(seed, m); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d histories", most)
		})
	}
}

// TestRoundNeedsTheWitnessesOfPendingRosters: the witnesses in force alone may be cut off from those that a pending
// roster names, and so from what was accepted after it.
func TestRoundNeedsTheWitnessesOfPendingRosters(t *testing.T) {
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
