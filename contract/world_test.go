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
	creditTime = 3 * time.Second
	account      = "a"
)

// change is one accepted configuration of the world.
type change struct {
	acceptedAt        time.Duration // of acceptance
	announcedAt time.Duration
	roster    *ticket.Roster
	quota     Quota
}

// node is an instance: home and holder with a clock of its own.
type node struct {
	id          string
	offset      time.Duration
	drift       int64 // in millionths
	pausedUntil      time.Duration
	accepted        int // changes known as accepted
	known      int // changes known at all
	holder      *LeaseHolder
	home        *LeaseHome
	allocator *Allocator
	nextPoll        time.Duration
	blindUntil       time.Duration // learns of no change before
}

func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t + time.Duration(int64(t)/1_000_000*n.drift)
}

type packet struct {
	deliverAt       time.Duration
	from, to int
	recipient  string // a reply reaches the process that asked, by its connection
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

// simulatedFleet is a small fleet under faults with an exact account of what it admits.
type simulatedFleet struct {
	random       *rand.Rand
	mutation       mutation
	now       time.Duration
	nodes   []*node
	changes []change
	packets []packet
	cutLinks     map[[2]int]bool
	timings   LeaseTimings
	// percent of the messages
	lostPercent, latePercent, duplicatePercent int
	latency             time.Duration

	fault    error
	countsTraffic bool // counts bytes, and not the one account
	sent     int
	bytes    int
	reference    *big.Int // of the reference bucket, in billionths of Tokens
	limit    Quota
	admitted int
	waiting  map[[2]uint64]time.Duration // by node and number: arrival
	waits    []time.Duration
	refused int
}

func newSimulatedFleet(seed int64, m mutation, nodes int, whole Quota, timeout time.Duration) *simulatedFleet {
	w := &simulatedFleet{random: rand.New(rand.NewSource(seed)), mutation: m, cutLinks: map[[2]int]bool{}, timings: DefaultLeaseTimings(), waiting: map[[2]uint64]time.Duration{}, latency: time.Millisecond}
	w.timings.Timeout = timeout
	for range nodes {
		w.nodes = append(w.nodes, nil)
		w.restart(len(w.nodes) - 1)
	}
	w.changes = []change{{roster: w.roster(1), quota: whole}}
	w.limit = whole
	w.reference = toUnits(whole.Burst)
	for _, n := range w.nodes {
		w.applyChanges(n, 1, 1)
	}
	return w
}

func toUnits(v Tokens) *big.Int { return new(big.Int).Mul(big.NewInt(int64(v)), big.NewInt(1e9)) }

// roster holds all nodes, or some of them.
func (w *simulatedFleet) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, n := range w.nodes {
		if epoch == 1 || w.random.Intn(3) > 0 || i == 0 {
			r.Homes = append(r.Homes, ticket.RosterMember{ID: n.id, Domain: fmt.Sprint(i % 3)})
		}
	}
	return r
}

// restart replaces a node by a new process.
func (w *simulatedFleet) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, w.random.Int31()), offset: time.Duration(w.random.Int63n(int64(time.Hour)))}
	n.drift = w.random.Int63n(2*400) - 400
	wait := creditTime + creditTime>>8 + DefaultLeaseTimings().SafeExpiry() + DefaultLeaseTimings().SafeExpiry()>>8
	if w.mutation == takeoverWithoutWait {
		wait = 0
	}
	n.allocator = NewAllocator(n.id, n.clock(w.now), wait, func(string) AccountQuotas { return w.quotas(n) })
	n.home = NewLeaseHome(n.id, w.timings)
	n.holder = NewLeaseHolder(n.id, w.timings, func(name string) (Quota, []string) { return w.lookup(n, name) })
	w.nodes[i] = n
	for k := range w.waiting {
		if k[0] == uint64(i) {
			delete(w.waiting, k)
		}
	}
	if w.changes != nil {
		v := w.newest()
		w.applyChanges(n, v, v)
	}
}

// newest counts the changes accepted by now.
func (w *simulatedFleet) newest() int {
	v := 0
	for v < len(w.changes) && w.changes[v].acceptedAt <= w.now {
		v++
	}
	return v
}

func (w *simulatedFleet) lookup(n *node, name string) (Quota, []string) {
	whole := w.strictQuota(n)
	var homes []string
	for _, p := range Divide(name, whole, w.changes[n.accepted-1].roster) {
		homes = append(homes, p.Home.ID)
	}
	return whole, homes
}

// strictQuota is the least of what is accepted and pending, as far as the node knows.
func (w *simulatedFleet) strictQuota(n *node) Quota {
	s := w.changes[n.accepted-1].quota
	for _, c := range w.changes[n.accepted:max(n.known, n.accepted)] {
		s = s.min(c.quota)
	}
	return s
}

func (w *simulatedFleet) quotas(n *node) AccountQuotas {
	out := AccountQuotas{Strict: w.strictQuota(n), InForce: w.changes[n.accepted-1].quota}
	for _, c := range w.changes[n.accepted:max(n.known, n.accepted)] {
		out.Pending = append(out.Pending, c.quota)
	}
	return out
}

// applyChanges brings a node up to the first view changes as accepted and up to strict as pending.
func (w *simulatedFleet) applyChanges(n *node, view, strict int) {
	now := n.clock(w.now)
	for v := n.accepted; v <= view; v++ {
		if v == 0 {
			continue
		}
		before := Quota{}
		if n.accepted > 0 {
			before = w.changes[n.accepted-1].quota
		}
		n.accepted, n.known = v, max(strict, v)
		var pending []*ticket.Roster
		for _, c := range w.changes[n.accepted:n.known] {
			pending = append(pending, c.roster)
		}
		n.allocator.SetRoster(now, w.changes[v-1].roster, pending)
		n.allocator.RecordChange(now, account, before, w.changes[v-1].quota)
	}
	if w.mutation != keepsOldLeases {
		n.holder.Refresh(now)
	}
	n.nextPoll = 0
}

// mayAct reports whether the node may act: it knows all that is in force for long enough.
func (w *simulatedFleet) mayAct(n *node) bool {
	for _, c := range w.changes[max(n.accepted, n.known):] {
		if c.acceptedAt+creditTime <= w.now && w.mutation != actsWithoutStanding {
			return false
		}
	}
	return true
}

func (w *simulatedFleet) send(from, to int, p packet) {
	if to < 0 || w.cutLinks[[2]int{from, to}] || w.random.Intn(100) < w.lostPercent {
		return
	}
	if w.countsTraffic && from != to {
		w.sent++
		w.bytes += p.size()
	}
	p.from, p.to, p.recipient = from, to, w.nodes[to].id
	p.deliverAt = w.now + w.latency/2 + time.Duration(w.random.Int63n(int64(w.latency)))
	if w.random.Intn(100) < w.latePercent {
		p.deliverAt += []time.Duration{100, 350, 1000, 3000}[w.random.Intn(4)] * time.Millisecond
	}
	w.packets = append(w.packets, p)
	if w.random.Intn(100) < w.duplicatePercent {
		p.deliverAt += time.Duration(w.random.Int63n(int64(5 * time.Second)))
		w.packets = append(w.packets, p)
	}
}

func (w *simulatedFleet) indexOf(id string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
}

// deliver hands over what is due, in any order.
func (w *simulatedFleet) deliver() {
	w.random.Shuffle(len(w.packets), func(i, j int) { w.packets[i], w.packets[j] = w.packets[j], w.packets[i] })
	due := w.packets
	w.packets = nil
	for _, p := range due {
		if n := w.nodes[p.to]; p.deliverAt > w.now || n.pausedUntil > w.now {
			w.packets = append(w.packets, p)
			continue
		}
		w.handle(p)
	}
}

func (w *simulatedFleet) handle(p packet) {
	n := w.nodes[p.to]
	now := n.clock(w.now)
	n.nextPoll = 0
	switch {
	case p.request != nil:
		if w.mayAct(n) {
			w.exchange(n, p, now)
		}
	case p.reply != nil && p.recipient == n.id:
		home := w.nodes[p.from].id
		if l := n.holder.homes[home]; l != nil && w.mutation == leaseFromReceipt {
			l.sentAt = now
		}
		n.holder.HandleReply(now, home, *p.reply)
	case p.nudge != nil:
		n.holder.HandleNudge(now, *p.nudge)
	}
}

func (w *simulatedFleet) exchange(n *node, p packet, now time.Duration) {
	reply, nudges, ok := n.home.HandleRequest(now, *p.request, func(a string) Allocation { return n.allocator.Allocation(now, a) })
	if !ok {
		return
	}
	a := n.home.accounts[account]
	for i, g := range reply.Grants {
		if held := p.request.Accounts[i].Held; g.Level > max(g.Quota.Burst-held.Burst, 0) && w.fault == nil {
			w.fault = fmt.Errorf("at %v a reply carries %d tokens beside the held burst %d and only %d in all", w.now, g.Level, held.Burst, g.Quota.Burst)
		}
		switch {
		case a == nil:
		case w.mutation == levelCopied:
			a.unleased.level = min(a.unleased.level+g.Level, a.unleased.quota.Burst)
		case w.mutation == tokenNotCounted && g.Quota.Rate == 0:
			a.leases[reply.Session].current, a.leases[reply.Session].previous = Quota{}, Quota{}
		case w.mutation == statementTwice:
			n.home.sessions[reply.Session].seq = 0
		}
	}
	w.send(p.to, p.from, packet{reply: &reply})
	for _, x := range nudges {
		holder, _ := n.home.SessionHolder(x.Session)
		w.send(p.to, w.indexOf(holder), packet{nudge: &x})
	}
}

// request brings one request to a node.
func (w *simulatedFleet) request(i int, patience time.Duration) error { return w.requestFor(i, account, patience) }

func (w *simulatedFleet) requestFor(i int, name string, patience time.Duration) error {
	n := w.nodes[i]
	if n.pausedUntil > w.now || !w.mayAct(n) {
		return nil
	}
	n.nextPoll = 0
	v, id, _ := n.holder.Admit(n.clock(w.now), name, n.clock(w.now)+patience)
	switch v {
	case AdmitNow:
		w.waits = append(w.waits, 0)
		return w.countAdmission()
	case Queued:
		w.waiting[[2]uint64{uint64(i), id}] = w.now
	default:
		w.refused++
	}
	return nil
}

func (w *simulatedFleet) poll(i int) error {
	n := w.nodes[i]
	now := n.clock(w.now)
	if n.pausedUntil > w.now || !w.mayAct(n) || now < n.nextPoll {
		return nil
	}
	work := n.holder.Poll(now)
	n.nextPoll = work.NextPoll
	for _, id := range work.Admitted {
		k := [2]uint64{uint64(i), id}
		w.waits = append(w.waits, w.now-w.waiting[k])
		delete(w.waiting, k)
		if err := w.countAdmission(); err != nil {
			return err
		}
	}
	for _, o := range work.Requests {
		w.send(i, w.indexOf(o.Home), packet{request: &o.Request})
	}
	return nil
}

// countAdmission charges one admission to the reference bucket, which allows rate x t + burst over every interval.
func (w *simulatedFleet) countAdmission() error {
	w.admitted++
	if w.countsTraffic {
		return nil
	}
	w.reference.Sub(w.reference, toUnits(Token))
	if w.reference.Sign() < 0 {
		return fmt.Errorf("at %v admission %d is over the limit by %v billionths of a billionth", w.now, w.admitted, w.reference)
	}
	return nil
}

// advance moves time on and fills the reference bucket, with the highest limit that may be in force.
func (w *simulatedFleet) advance(d time.Duration) {
	gain := new(big.Int).Mul(big.NewInt(int64(w.limit.Rate)), big.NewInt(int64(d)))
	w.now += d
	w.reference.Add(w.reference, gain)
	w.limit = Quota{}
	for i, c := range w.changes {
		if c.acceptedAt <= w.now && (i+1 >= len(w.changes) || w.changes[i+1].acceptedAt+creditTime > w.now) {
			w.limit = w.limit.max(c.quota)
		}
	}
	if full := toUnits(w.limit.Burst); w.reference.Cmp(full) > 0 {
		w.reference = full
	}
}

// step moves time on and runs everything that is due.
func (w *simulatedFleet) step(d time.Duration) error {
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

// injectFault lets something go wrong.
func (w *simulatedFleet) injectFault() {
	i := w.random.Intn(len(w.nodes))
	n := w.nodes[i]
	switch w.random.Intn(40) {
	case 0, 1:
		w.cutLinks[[2]int{i, w.random.Intn(len(w.nodes))}] = true
	case 2:
		for j := range w.nodes {
			w.cutLinks[[2]int{i, j}] = true
		}
	case 3, 4:
		clear(w.cutLinks)
	case 5:
		n.pausedUntil = w.now + time.Duration(w.random.Int63n(int64(6*time.Second)))
	case 6:
		n.pausedUntil = w.now + time.Duration(w.random.Int63n(int64(500*time.Millisecond)))
	case 7:
		w.restart(i)
	case 8, 9:
		w.propose()
		n.blindUntil = w.now + time.Duration(w.random.Intn(4))*5*time.Second
	}
	for _, n := range w.nodes {
		if n.blindUntil <= w.now && w.random.Intn(4) == 0 && n.pausedUntil <= w.now {
			strict := n.known
			for strict < len(w.changes) && w.changes[strict].announcedAt <= w.now {
				strict++
			}
			w.applyChanges(n, w.newest(), strict)
		}
	}
}

// propose announces a change that is accepted a little later.
func (w *simulatedFleet) propose() {
	last := w.changes[len(w.changes)-1]
	if last.acceptedAt > w.now {
		return
	}
	c := change{announcedAt: w.now, acceptedAt: w.now + []time.Duration{1, 12}[w.random.Intn(2)]*time.Duration(w.random.Int63n(int64(time.Second))), roster: last.roster, quota: last.quota}
	if w.random.Intn(2) == 0 {
		c.roster = w.roster(last.roster.Epoch + 1)
	} else {
		c.quota = Quota{Rate: Tokens(1+w.random.Intn(40)) * Token / 2, Burst: Tokens(1+w.random.Intn(9)) * Token}
	}
	w.changes = append(w.changes, c)
}
