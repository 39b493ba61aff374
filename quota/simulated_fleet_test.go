package quota

import (
	"encoding/json"
	"fmt"
	"math/big"
	"math/rand"
	"slices"
	"time"

	"amaranthstile/ticket"
)

// mutation is a deliberate fault that the simulation has to detect; the empty mutation means none.
type mutation string

const (
	leaseFromReceipt    mutation = "lease counted from receipt"
	takeoverWithoutWait mutation = "takeover without wait"
	levelCopied         mutation = "level copied"
	tokenNotCounted     mutation = "token not counted against the burst"
	statementTwice      mutation = "statement taken twice"
	actsWithoutLease    mutation = "acts without an authority lease"
	keepsOldLeases      mutation = "lease of a higher rate kept"
)

const (
	// authorityLeaseTime is how long a node may act without learning of an accepted change.
	authorityLeaseTime = 3 * time.Second
	account            = "a"
)

// change is an accepted configuration of the fleet.
type change struct {
	acceptedAt  time.Duration
	announcedAt time.Duration
	roster      *ticket.Roster
	quota       Quota
}

// node is an instance: a coordinator and a holder with a clock of its own.
type node struct {
	id             string
	offset         time.Duration
	drift          int64 // in millionths of the elapsed time
	pausedUntil    time.Duration
	accepted       int // number of changes that it knows to be accepted
	known          int // number of changes that it knows, including pending ones
	holder         *LeaseHolder
	coordinator    *LeaseCoordinator
	allocator      *Allocator
	nextPoll       time.Duration
	noChangesUntil time.Duration // it learns of no change before this time
}

// clock returns the time that the clock of the node shows at time t of the simulation.
func (n *node) clock(t time.Duration) time.Duration {
	return n.offset + t + time.Duration(int64(t)/1_000_000*n.drift)
}

// packet is a message in flight between two nodes; one of request, reply and nudge is set.
type packet struct {
	deliverAt time.Duration
	from, to  int
	recipient string // ID of the receiving process, as only the process that sent a request can receive its reply
	request   *LeaseRequest
	reply     *LeaseReply
	nudge     *Nudge
}

// size returns the length of a message in JSON, including the frame of a call.
func (p packet) size() int {
	const frame = 40
	data, err := json.Marshal([]any{p.request, p.reply, p.nudge})
	if err != nil {
		panic(err)
	}
	return len(data) + frame
}

// simulatedFleet is a small fleet under faults. It counts exactly what the fleet admits.
type simulatedFleet struct {
	random   *rand.Rand
	mutation mutation
	now      time.Duration
	nodes    []*node
	changes  []change
	packets  []packet
	cutLinks map[[2]int]bool
	timings  LeaseTimings
	// The percentages of messages that are lost, delayed and duplicated.
	lostPercent, latePercent, duplicatePercent int
	latency                                    time.Duration

	fault         error
	countsTraffic bool // counts messages and bytes, and does not check the limit of the account
	sent          int
	bytes         int
	reference     *big.Int // level of the reference bucket, in billionths of Tokens
	limit         Quota
	admitted      int
	waiting       map[[2]uint64]time.Duration // time of arrival, by node and request number
	waits         []time.Duration
	refused       int
}

func newSimulatedFleet(seed int64, m mutation, nodes int, quota Quota, timeout time.Duration) *simulatedFleet {
	f := &simulatedFleet{
		random: rand.New(rand.NewSource(seed)), mutation: m, cutLinks: map[[2]int]bool{}, timings: DefaultLeaseTimings(),
		waiting: map[[2]uint64]time.Duration{}, latency: time.Millisecond,
	}
	f.timings.Timeout = timeout
	for range nodes {
		f.nodes = append(f.nodes, nil)
		f.restart(len(f.nodes) - 1)
	}
	f.changes = []change{{roster: f.roster(1), quota: quota}}
	f.limit = quota
	f.reference = toUnits(quota.Burst)
	for _, n := range f.nodes {
		f.applyChanges(n, 1, 1)
	}
	return f
}

// toUnits returns v in the unit of the reference bucket.
func toUnits(v Tokens) *big.Int { return new(big.Int).Mul(big.NewInt(int64(v)), big.NewInt(1e9)) }

// roster returns a roster with all nodes in epoch 1, and with a random selection of them later.
func (f *simulatedFleet) roster(epoch uint64) *ticket.Roster {
	r := &ticket.Roster{Epoch: epoch}
	for i, n := range f.nodes {
		if epoch == 1 || f.random.Intn(3) > 0 || i == 0 {
			r.Coordinators = append(r.Coordinators, ticket.RosterMember{ID: n.id, Domain: fmt.Sprint(i % 3)})
		}
	}
	return r
}

// restart replaces a node by a new process.
func (f *simulatedFleet) restart(i int) {
	n := &node{id: fmt.Sprintf("n%d-%d", i, f.random.Int31()), offset: time.Duration(f.random.Int63n(int64(time.Hour)))}
	n.drift = f.random.Int63n(2*400) - 400
	wait := authorityLeaseTime + authorityLeaseTime>>8 + DefaultLeaseTimings().SafeExpiry() + DefaultLeaseTimings().SafeExpiry()>>8
	if f.mutation == takeoverWithoutWait {
		wait = 0
	}
	n.allocator = NewAllocator(n.id, n.clock(f.now), wait, func(string) AccountQuotas { return f.quotas(n) })
	n.coordinator = NewLeaseCoordinator(n.id, f.timings)
	n.holder = NewLeaseHolder(n.id, f.timings, func(name string) (Quota, []string) { return f.lookup(n, name) })
	f.nodes[i] = n
	for k := range f.waiting {
		if k[0] == uint64(i) {
			delete(f.waiting, k)
		}
	}
	if f.changes != nil {
		v := f.newest()
		f.applyChanges(n, v, v)
	}
}

// newest returns the number of changes accepted by now.
func (f *simulatedFleet) newest() int {
	v := 0
	for v < len(f.changes) && f.changes[v].acceptedAt <= f.now {
		v++
	}
	return v
}

// lookup implements LookupFunc for a node.
func (f *simulatedFleet) lookup(n *node, name string) (Quota, []string) {
	quota := f.strictQuota(n)
	var coordinators []string
	for _, p := range Divide(name, quota, f.changes[n.accepted-1].roster) {
		coordinators = append(coordinators, p.Coordinator.ID)
	}
	return quota, coordinators
}

// strictQuota returns the smallest quota of the accepted and the pending changes that the node knows.
func (f *simulatedFleet) strictQuota(n *node) Quota {
	s := f.changes[n.accepted-1].quota
	for _, c := range f.changes[n.accepted:max(n.known, n.accepted)] {
		s = s.min(c.quota)
	}
	return s
}

// quotas returns the quotas that some node may act on, as far as the node knows.
func (f *simulatedFleet) quotas(n *node) AccountQuotas {
	out := AccountQuotas{Strict: f.strictQuota(n), InForce: f.changes[n.accepted-1].quota}
	for _, c := range f.changes[n.accepted:max(n.known, n.accepted)] {
		out.Pending = append(out.Pending, c.quota)
	}
	return out
}

// applyChanges lets a node learn that the first accepted changes are accepted, and that those after them, up to known,
// are pending.
func (f *simulatedFleet) applyChanges(n *node, accepted, known int) {
	now := n.clock(f.now)
	for v := n.accepted; v <= accepted; v++ {
		if v == 0 {
			continue
		}
		before := Quota{}
		if n.accepted > 0 {
			before = f.changes[n.accepted-1].quota
		}
		n.accepted, n.known = v, max(known, v)
		var pending []*ticket.Roster
		for _, c := range f.changes[n.accepted:n.known] {
			pending = append(pending, c.roster)
		}
		n.allocator.SetRoster(now, f.changes[v-1].roster, pending)
		n.allocator.RecordChange(now, account, before, f.changes[v-1].quota)
	}
	if f.mutation != keepsOldLeases {
		n.holder.Refresh(now)
	}
	n.nextPoll = 0
}

// mayAct reports whether the node may act: it knows every change that was accepted long enough ago.
func (f *simulatedFleet) mayAct(n *node) bool {
	for _, c := range f.changes[max(n.accepted, n.known):] {
		if c.acceptedAt+authorityLeaseTime <= f.now && f.mutation != actsWithoutLease {
			return false
		}
	}
	return true
}

// send sends a packet, which may be lost, delayed or duplicated.
func (f *simulatedFleet) send(from, to int, p packet) {
	if to < 0 || f.cutLinks[[2]int{from, to}] || f.random.Intn(100) < f.lostPercent {
		return
	}
	if f.countsTraffic && from != to {
		f.sent++
		f.bytes += p.size()
	}
	p.from, p.to, p.recipient = from, to, f.nodes[to].id
	p.deliverAt = f.now + f.latency/2 + time.Duration(f.random.Int63n(int64(f.latency)))
	if f.random.Intn(100) < f.latePercent {
		p.deliverAt += []time.Duration{100, 350, 1000, 3000}[f.random.Intn(4)] * time.Millisecond
	}
	f.packets = append(f.packets, p)
	if f.random.Intn(100) < f.duplicatePercent {
		p.deliverAt += time.Duration(f.random.Int63n(int64(5 * time.Second)))
		f.packets = append(f.packets, p)
	}
}

func (f *simulatedFleet) indexOf(id string) int {
	return slices.IndexFunc(f.nodes, func(n *node) bool { return n.id == id })
}

// deliver delivers the packets that are due, in random order.
func (f *simulatedFleet) deliver() {
	f.random.Shuffle(len(f.packets), func(i, j int) { f.packets[i], f.packets[j] = f.packets[j], f.packets[i] })
	due := f.packets
	f.packets = nil
	for _, p := range due {
		if n := f.nodes[p.to]; p.deliverAt > f.now || n.pausedUntil > f.now {
			f.packets = append(f.packets, p)
			continue
		}
		f.handle(p)
	}
}

// handle processes a packet at its receiver.
func (f *simulatedFleet) handle(p packet) {
	n := f.nodes[p.to]
	now := n.clock(f.now)
	n.nextPoll = 0
	switch {
	case p.request != nil:
		if f.mayAct(n) {
			f.exchange(n, p, now)
		}
	case p.reply != nil && p.recipient == n.id:
		coordinator := f.nodes[p.from].id
		if l := n.holder.coordinators[coordinator]; l != nil && f.mutation == leaseFromReceipt {
			l.sentAt = now
		}
		n.holder.HandleReply(now, coordinator, *p.reply)
	case p.nudge != nil:
		n.holder.HandleNudge(now, *p.nudge)
	}
}

// exchange lets a coordinator reply to a request, and applies the mutations of coordinators.
func (f *simulatedFleet) exchange(n *node, p packet, now time.Duration) {
	reply, nudges, ok := n.coordinator.HandleRequest(now, *p.request, func(a string) Allocation { return n.allocator.Allocation(now, a) })
	if !ok {
		return
	}
	a := n.coordinator.accounts[account]
	for i, g := range reply.Grants {
		if held := p.request.Accounts[i].Held; g.Level > max(g.Quota.Burst-held.Burst, 0) && f.fault == nil {
			f.fault = fmt.Errorf("at %v a reply carries %d tokens in addition to the held burst %d, but the new burst is only %d",
				f.now, g.Level, held.Burst, g.Quota.Burst)
		}
		switch {
		case a == nil:
		case f.mutation == levelCopied:
			a.unleased.level = min(a.unleased.level+g.Level, a.unleased.quota.Burst)
		case f.mutation == tokenNotCounted && g.Quota.Rate == 0:
			a.leases[reply.Session].current, a.leases[reply.Session].previous = Quota{}, Quota{}
		case f.mutation == statementTwice:
			n.coordinator.sessions[reply.Session].seq = 0
		}
	}
	f.send(p.to, p.from, packet{reply: &reply})
	for _, x := range nudges {
		holder, _ := n.coordinator.SessionHolder(x.Session)
		f.send(p.to, f.indexOf(holder), packet{nudge: &x})
	}
}

// request sends one request of the account to a node.
func (f *simulatedFleet) request(i int, maxWait time.Duration) error {
	return f.requestFor(i, account, maxWait)
}

// requestFor sends one request of the named account to a node; maxWait is how long it may wait.
func (f *simulatedFleet) requestFor(i int, name string, maxWait time.Duration) error {
	n := f.nodes[i]
	if n.pausedUntil > f.now || !f.mayAct(n) {
		return nil
	}
	n.nextPoll = 0
	decision, id, _ := n.holder.Admit(n.clock(f.now), name, n.clock(f.now)+maxWait)
	switch decision {
	case AdmitNow:
		f.waits = append(f.waits, 0)
		return f.countAdmission()
	case Queued:
		f.waiting[[2]uint64{uint64(i), id}] = f.now
	default:
		f.refused++
	}
	return nil
}

// poll polls the holder of a node and sends its requests.
func (f *simulatedFleet) poll(i int) error {
	n := f.nodes[i]
	now := n.clock(f.now)
	if n.pausedUntil > f.now || !f.mayAct(n) || now < n.nextPoll {
		return nil
	}
	res := n.holder.Poll(now)
	n.nextPoll = res.NextPoll
	for _, id := range res.Admitted {
		k := [2]uint64{uint64(i), id}
		f.waits = append(f.waits, f.now-f.waiting[k])
		delete(f.waiting, k)
		if err := f.countAdmission(); err != nil {
			return err
		}
	}
	for _, o := range res.Requests {
		f.send(i, f.indexOf(o.Coordinator), packet{request: &o.Request})
	}
	return nil
}

// countAdmission charges one admission to the reference bucket, which allows rate × t + burst admissions in every
// interval of length t.
func (f *simulatedFleet) countAdmission() error {
	f.admitted++
	if f.countsTraffic {
		return nil
	}
	f.reference.Sub(f.reference, toUnits(Token))
	if f.reference.Sign() < 0 {
		return fmt.Errorf("at %v admission %d is over the limit by %v billionths of a billionth", f.now, f.admitted, f.reference)
	}
	return nil
}

// advance advances the time and fills the reference bucket at the highest limit that may be in force.
func (f *simulatedFleet) advance(d time.Duration) {
	gained := new(big.Int).Mul(big.NewInt(int64(f.limit.Rate)), big.NewInt(int64(d)))
	f.now += d
	f.reference.Add(f.reference, gained)
	f.limit = Quota{}
	for i, c := range f.changes {
		if c.acceptedAt <= f.now && (i+1 >= len(f.changes) || f.changes[i+1].acceptedAt+authorityLeaseTime > f.now) {
			f.limit = f.limit.max(c.quota)
		}
	}
	if full := toUnits(f.limit.Burst); f.reference.Cmp(full) > 0 {
		f.reference = full
	}
}

// step advances the time and processes everything that is due.
func (f *simulatedFleet) step(d time.Duration) error {
	f.advance(d)
	for {
		before := len(f.packets)
		f.deliver()
		for i := range f.nodes {
			if err := f.poll(i); err != nil {
				return err
			}
		}
		if f.fault != nil || len(f.packets) >= before {
			return f.fault
		}
	}
}

// injectFault injects one random fault or change, or nothing: it cuts or restores links, pauses or restarts a node, or
// proposes a configuration. Then some nodes learn of the changes.
func (f *simulatedFleet) injectFault() {
	i := f.random.Intn(len(f.nodes))
	n := f.nodes[i]
	switch f.random.Intn(40) {
	case 0, 1:
		f.cutLinks[[2]int{i, f.random.Intn(len(f.nodes))}] = true
	case 2:
		for j := range f.nodes {
			f.cutLinks[[2]int{i, j}] = true
		}
	case 3, 4:
		clear(f.cutLinks)
	case 5:
		n.pausedUntil = f.now + time.Duration(f.random.Int63n(int64(6*time.Second)))
	case 6:
		n.pausedUntil = f.now + time.Duration(f.random.Int63n(int64(500*time.Millisecond)))
	case 7:
		f.restart(i)
	case 8, 9:
		f.propose()
		n.noChangesUntil = f.now + time.Duration(f.random.Intn(4))*5*time.Second
	}
	for _, n := range f.nodes {
		if n.noChangesUntil <= f.now && f.random.Intn(4) == 0 && n.pausedUntil <= f.now {
			known := n.known
			for known < len(f.changes) && f.changes[known].announcedAt <= f.now {
				known++
			}
			f.applyChanges(n, f.newest(), known)
		}
	}
}

// propose announces a random change that is accepted a little later.
func (f *simulatedFleet) propose() {
	last := f.changes[len(f.changes)-1]
	if last.acceptedAt > f.now {
		return
	}
	c := change{
		announcedAt: f.now,
		acceptedAt:  f.now + []time.Duration{1, 12}[f.random.Intn(2)]*time.Duration(f.random.Int63n(int64(time.Second))),
		roster:      last.roster, quota: last.quota,
	}
	if f.random.Intn(2) == 0 {
		c.roster = f.roster(last.roster.Epoch + 1)
	} else {
		c.quota = Quota{Rate: Tokens(1+f.random.Intn(40)) * Token / 2, Burst: Tokens(1+f.random.Intn(9)) * Token}
	}
	f.changes = append(f.changes, c)
}
