package contract

import (
	"encoding/json"
	"fmt"
	"math/big"
	"math/rand"
	"slices"
	"time"

	"amaranthstile/ticket"
)

// mutation is a planted fault that the search has to find.
type mutation string

const (
	leaseFromReceipt    mutation = "lease counted from receipt"
	takeoverWithoutWait mutation = "takeover without wait"
	levelCopied         mutation = "level copied"
	tokenNotCounted     mutation = "token not counted against the burst"
	statementTwice      mutation = "statement taken twice"
	actsWithoutStanding mutation = "acts without standing"
	keepsOldLeases      mutation = "lease of a higher rate kept"
)

const (
	standingTime = 3 * time.Second
	account      = "a"
)

// change is one accepted configuration of the world.
type change struct {
	at        time.Duration // of acceptance
	announced time.Duration
	roster    *ticket.Roster
	whole     Quota
}

// node is an instance: home and holder with a clock of its own.
type node struct {
	id          string
	offset      time.Duration
	drift       int64 // in millionths
	paused      time.Duration
	view        int // changes known as accepted
	strict      int // changes known at all
	holder      *LeaseHolder
	home        *LeaseCoordinator
	entitlement *Allocator
	wake        time.Duration
	blind       time.Duration // learns of no change before
}

func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t + time.Duration(int64(t)/1_000_000*n.drift)
}

type packet struct {
	at       time.Duration
	from, to int
	process  string // a reply reaches the process that asked, by its connection
	request  *LeaseRequest
	reply    *LeaseReply
	nudge    *Nudge
}

// size is the length of a message in JSON, with the frame of a call.
func (p packet) size() int {
	const frame = 40
	data, err := json.Marshal([]any{p.request, p.reply, p.nudge})
	if err != nil {
		panic(err)
	}
	return len(data) + frame
}

// world is a small fleet under faults with an exact account of what it admits.
type world struct {
	r       *rand.Rand
	m       mutation
	t       time.Duration
	nodes   []*node
	changes []change
	packets []packet
	cut     map[[2]int]bool
	terms   LeaseTimings
	// percent of the messages
	lost, late, doubled int
	latency             time.Duration

	fault    error
	measured bool // counts bytes, and not the one account
	sent     int
	bytes    int
	level    *big.Int // of the reference bucket, in billionths of Tokens
	limit    Quota
	admitted int
	waiting  map[[2]uint64]time.Duration // by node and number: arrival
	waits    []time.Duration
	hopeless int
}

func newWorld(seed int64, m mutation, nodes int, whole Quota, timeout time.Duration) *world {
	w := &world{r: rand.New(rand.NewSource(seed)), m: m, cut: map[[2]int]bool{}, terms: DefaultLeaseTimings(), waiting: map[[2]uint64]time.Duration{}, latency: time.Millisecond}
	w.terms.Timeout = timeout
	for range nodes {
		w.nodes = append(w.nodes, nil)
		w.restart(len(w.nodes) - 1)
	}
	w.changes = []change{{roster: w.roster(1), whole: whole}}
	w.limit = whole
	w.level = toUnits(whole.Burst)
	for _, n := range w.nodes {
		w.learn(n, 1, 1)
	}
	return w
}

func toUnits(v Tokens) *big.Int { return new(big.Int).Mul(big.NewInt(int64(v)), big.NewInt(1e9)) }

// roster holds all nodes, or some of them.
func (w *world) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, n := range w.nodes {
		if epoch == 1 || w.r.Intn(3) > 0 || i == 0 {
			r.Coordinators = append(r.Coordinators, ticket.RosterMember{ID: n.id, Domain: fmt.Sprint(i % 3)})
		}
	}
	return r
}

// restart replaces a node by a new process.
func (w *world) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, w.r.Int31()), offset: time.Duration(w.r.Int63n(int64(time.Hour)))}
	n.drift = w.r.Int63n(2*400) - 400
	wait := standingTime + standingTime>>8 + DefaultLeaseTimings().SafeExpiry() + DefaultLeaseTimings().SafeExpiry()>>8
	if w.m == takeoverWithoutWait {
		wait = 0
	}
	n.entitlement = NewAllocator(n.id, n.clock(w.t), wait, func(string) AccountQuotas { return w.wholes(n) })
	n.home = NewLeaseCoordinator(n.id, w.terms)
	n.holder = NewLeaseHolder(n.id, w.terms, func(name string) (Quota, []string) { return w.lookup(n, name) })
	w.nodes[i] = n
	for k := range w.waiting {
		if k[0] == uint64(i) {
			delete(w.waiting, k)
		}
	}
	if w.changes != nil {
		v := w.newest()
		w.learn(n, v, v)
	}
}

// newest counts the changes accepted by now.
func (w *world) newest() int {
	v := 0
	for v < len(w.changes) && w.changes[v].at <= w.t {
		v++
	}
	return v
}

func (w *world) lookup(n *node, name string) (Quota, []string) {
	whole := w.strictWhole(n)
	var homes []string
	for _, p := range Divide(name, whole, w.changes[n.view-1].roster) {
		homes = append(homes, p.Coordinator.ID)
	}
	return whole, homes
}

// strictWhole is the least of what is accepted and pending, as far as the node knows.
func (w *world) strictWhole(n *node) Quota {
	s := w.changes[n.view-1].whole
	for _, c := range w.changes[n.view:max(n.strict, n.view)] {
		s = s.min(c.whole)
	}
	return s
}

func (w *world) wholes(n *node) AccountQuotas {
	out := AccountQuotas{Strict: w.strictWhole(n), InForce: w.changes[n.view-1].whole}
	for _, c := range w.changes[n.view:max(n.strict, n.view)] {
		out.Pending = append(out.Pending, c.whole)
	}
	return out
}

// learn brings a node up to the first view changes as accepted and up to strict as pending.
func (w *world) learn(n *node, view, strict int) {
	now := n.clock(w.t)
	for v := n.view; v <= view; v++ {
		if v == 0 {
			continue
		}
		before := Quota{}
		if n.view > 0 {
			before = w.changes[n.view-1].whole
		}
		n.view, n.strict = v, max(strict, v)
		var pending []*ticket.Roster
		for _, c := range w.changes[n.view:n.strict] {
			pending = append(pending, c.roster)
		}
		n.entitlement.SetRoster(now, w.changes[v-1].roster, pending)
		n.entitlement.RecordChange(now, account, before, w.changes[v-1].whole)
	}
	if w.m != keepsOldLeases {
		n.holder.Refresh(now)
	}
	n.wake = 0
}

// standing reports whether the node may act: it knows all that is in force for long enough.
func (w *world) standing(n *node) bool {
	for _, c := range w.changes[max(n.view, n.strict):] {
		if c.at+standingTime <= w.t && w.m != actsWithoutStanding {
			return false
		}
	}
	return true
}

func (w *world) send(from, to int, p packet) {
	if to < 0 || w.cut[[2]int{from, to}] || w.r.Intn(100) < w.lost {
		return
	}
	if w.measured && from != to {
		w.sent++
		w.bytes += p.size()
	}
	p.from, p.to, p.process = from, to, w.nodes[to].id
	p.at = w.t + w.latency/2 + time.Duration(w.r.Int63n(int64(w.latency)))
	if w.r.Intn(100) < w.late {
		p.at += []time.Duration{100, 350, 1000, 3000}[w.r.Intn(4)] * time.Millisecond
	}
	w.packets = append(w.packets, p)
	if w.r.Intn(100) < w.doubled {
		p.at += time.Duration(w.r.Int63n(int64(5 * time.Second)))
		w.packets = append(w.packets, p)
	}
}

func (w *world) find(id string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
}

// deliver hands over what is due, in any order.
func (w *world) deliver() {
	w.r.Shuffle(len(w.packets), func(i, j int) { w.packets[i], w.packets[j] = w.packets[j], w.packets[i] })
	due := w.packets
	w.packets = nil
	for _, p := range due {
		if n := w.nodes[p.to]; p.at > w.t || n.paused > w.t {
			w.packets = append(w.packets, p)
			continue
		}
		w.handle(p)
	}
}

func (w *world) handle(p packet) {
	n := w.nodes[p.to]
	now := n.clock(w.t)
	n.wake = 0
	switch {
	case p.request != nil:
		if w.standing(n) {
			w.exchange(n, p, now)
		}
	case p.reply != nil && p.process == n.id:
		home := w.nodes[p.from].id
		if l := n.holder.homes[home]; l != nil && w.m == leaseFromReceipt {
			l.sent = now
		}
		n.holder.HandleReply(now, home, *p.reply)
	case p.nudge != nil:
		n.holder.HandleNudge(now, *p.nudge)
	}
}

func (w *world) exchange(n *node, p packet, now time.Duration) {
	reply, nudges, ok := n.home.HandleRequest(now, *p.request, func(a string) Allocation { return n.entitlement.Allocation(now, a) })
	if !ok {
		return
	}
	a := n.home.accounts[account]
	for i, g := range reply.Grants {
		if held := p.request.Accounts[i].Held; g.Level > max(g.Quota.Burst-held.Burst, 0) && w.fault == nil {
			w.fault = fmt.Errorf("at %v a reply carries %d tokens beside the held burst %d and only %d in all", w.t, g.Level, held.Burst, g.Quota.Burst)
		}
		switch {
		case a == nil:
		case w.m == levelCopied:
			a.rest.level = min(a.rest.level+g.Level, a.rest.share.Burst)
		case w.m == tokenNotCounted && g.Quota.Rate == 0:
			a.leases[reply.Session].now, a.leases[reply.Session].before = Quota{}, Quota{}
		case w.m == statementTwice:
			n.home.sessions[reply.Session].seq = 0
		}
	}
	w.send(p.to, p.from, packet{reply: &reply})
	for _, x := range nudges {
		holder, _ := n.home.SessionHolder(x.Session)
		w.send(p.to, w.find(holder), packet{nudge: &x})
	}
}

// ask brings one request to a node.
func (w *world) ask(i int, patience time.Duration) error { return w.askFor(i, account, patience) }

func (w *world) askFor(i int, name string, patience time.Duration) error {
	n := w.nodes[i]
	if n.paused > w.t || !w.standing(n) {
		return nil
	}
	n.wake = 0
	v, id, _ := n.holder.Admit(n.clock(w.t), name, n.clock(w.t)+patience)
	switch v {
	case AdmitNow:
		w.waits = append(w.waits, 0)
		return w.count()
	case Queued:
		w.waiting[[2]uint64{uint64(i), id}] = w.t
	default:
		w.hopeless++
	}
	return nil
}

func (w *world) poll(i int) error {
	n := w.nodes[i]
	now := n.clock(w.t)
	if n.paused > w.t || !w.standing(n) || now < n.wake {
		return nil
	}
	work := n.holder.Poll(now)
	n.wake = work.NextPoll
	for _, id := range work.Admitted {
		k := [2]uint64{uint64(i), id}
		w.waits = append(w.waits, w.t-w.waiting[k])
		delete(w.waiting, k)
		if err := w.count(); err != nil {
			return err
		}
	}
	for _, o := range work.Requests {
		w.send(i, w.find(o.Coordinator), packet{request: &o.Request})
	}
	return nil
}

// count charges one admission to the reference bucket, which allows rate x t + burst over every interval.
func (w *world) count() error {
	w.admitted++
	if w.measured {
		return nil
	}
	w.level.Sub(w.level, toUnits(Token))
	if w.level.Sign() < 0 {
		return fmt.Errorf("at %v admission %d is over the limit by %v billionths of a billionth", w.t, w.admitted, w.level)
	}
	return nil
}

// advance moves time on and fills the reference bucket, with the highest limit that may be in force.
func (w *world) advance(d time.Duration) {
	gain := new(big.Int).Mul(big.NewInt(int64(w.limit.Rate)), big.NewInt(int64(d)))
	w.t += d
	w.level.Add(w.level, gain)
	w.limit = Quota{}
	for i, c := range w.changes {
		if c.at <= w.t && (i+1 >= len(w.changes) || w.changes[i+1].at+standingTime > w.t) {
			w.limit = w.limit.max(c.whole)
		}
	}
	if full := toUnits(w.limit.Burst); w.level.Cmp(full) > 0 {
		w.level = full
	}
}

// step moves time on and runs everything that is due.
func (w *world) step(d time.Duration) error {
	w.advance(d)
	for {
		before := len(w.packets)
		w.deliver()
		for i := range w.nodes {
			if err := w.poll(i); err != nil {
				return err
			}
		}
		if w.fault != nil || len(w.packets) >= before {
			return w.fault
		}
	}
}

// disturb lets something go wrong.
func (w *world) disturb() {
	i := w.r.Intn(len(w.nodes))
	n := w.nodes[i]
	switch w.r.Intn(40) {
	case 0, 1:
		w.cut[[2]int{i, w.r.Intn(len(w.nodes))}] = true
	case 2:
		for j := range w.nodes {
			w.cut[[2]int{i, j}] = true
		}
	case 3, 4:
		clear(w.cut)
	case 5:
		n.paused = w.t + time.Duration(w.r.Int63n(int64(6*time.Second)))
	case 6:
		n.paused = w.t + time.Duration(w.r.Int63n(int64(500*time.Millisecond)))
	case 7:
		w.restart(i)
	case 8, 9:
		w.propose()
		n.blind = w.t + time.Duration(w.r.Intn(4))*5*time.Second
	}
	for _, n := range w.nodes {
		if n.blind <= w.t && w.r.Intn(4) == 0 && n.paused <= w.t {
			strict := n.strict
			for strict < len(w.changes) && w.changes[strict].announced <= w.t {
				strict++
			}
			w.learn(n, w.newest(), strict)
		}
	}
}

// propose announces a change that is accepted a little later.
func (w *world) propose() {
	last := w.changes[len(w.changes)-1]
	if last.at > w.t {
		return
	}
	c := change{announced: w.t, at: w.t + []time.Duration{1, 12}[w.r.Intn(2)]*time.Duration(w.r.Int63n(int64(time.Second))), roster: last.roster, whole: last.whole}
	if w.r.Intn(2) == 0 {
		c.roster = w.roster(last.roster.Epoch + 1)
	} else {
		c.whole = Quota{Rate: Tokens(1+w.r.Intn(40)) * Token / 2, Burst: Tokens(1+w.r.Intn(9)) * Token}
	}
	w.changes = append(w.changes, c)
}
