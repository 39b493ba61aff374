package sidecar

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"amaranthstile/freshness"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// simulation plays a fleet and its store under a simulated clock. Which instance reads the store, whom it tells and what they do with it
// is decided by the code of the product; calls and datagrams are events.
type simulation struct {
	t        *testing.T
	now      time.Time
	rand     *rand.Rand
	events   eventQueue
	sequence int
	deadline time.Duration
	// loss is the share of the datagrams that are lost.
	loss      float64
	instances []*simulated
	at        map[netip.AddrPort]*simulated
	// view is what all instances know of each other, unless they run the membership protocol.
	view    *membership.Directory
	turns   map[*membership.Directory]turnChoice
	version uint64 // that the store holds
	down    bool   // the store refuses all calls
	acked   map[uint64]time.Time
	reads   []time.Time
}

// simulated is one instance.
type simulated struct {
	record   *membership.Record
	state    *membership.State // nil if the instances share a view
	tracker  *freshness.Tracker
	version  uint64
	inForce  map[uint64]time.Time
	ended    bool
	frozen   bool
	paused   bool     // now or before
	isolated bool     // from all other instances
	held     []func() // what arrived while the instance was frozen
	watching bool
	fetching bool
}

type turnChoice struct {
	turn   int64
	reader membership.ID
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at.Before(q[b].at) || q[a].at.Equal(q[b].at) && q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simDomains      = 4
	simStoreLatency = 4 * time.Millisecond
	simFetchLatency = 8 * time.Millisecond
	simStart        = 1_800_000_000 // the time of day at the start, in Unix seconds
)

// newSimulation returns a fleet of n instances that all know each other and have version 1 in force. With protocol, they run the membership
// protocol; otherwise they share one view, which never changes.
func newSimulation(t *testing.T, n int, protocol bool, seed uint64) *simulation {
	t.Helper()
	f := &simulation{
		t: t, now: time.Unix(simStart, 0), rand: rand.New(rand.NewPCG(seed, 44)), deadline: DefaultBounds().ConfigDeadline,
		at: make(map[netip.AddrPort]*simulated), turns: make(map[*membership.Directory]turnChoice),
		version: 1, acked: make(map[uint64]time.Time),
	}
	records := make(map[membership.ID]*membership.Record, n)
	for k := range n {
		x := f.newInstance(k, protocol)
		f.instances = append(f.instances, x)
		f.at[x.record.Control] = x
		records[x.record.ID] = x.record
	}
	f.view = membership.NewDirectory(records)
	for _, x := range f.instances {
		f.start(x)
	}
	f.eachTurn()
	if protocol {
		f.run(20 * time.Second)
		for _, x := range f.instances {
			if len(f.directory(x).Records()) != n {
				t.Fatalf("%s knows %d of %d instances", x.record.ID, len(f.directory(x).Records()), n)
			}
		}
	}
	return f
}

func (f *simulation) newInstance(k int, protocol bool) *simulated {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(k >> 8), byte(k)}), 7000)
	r := &membership.Record{
		ID: membership.ID(fmt.Sprintf("%012x", f.rand.Uint64()>>16)), Version: 1, Domain: fmt.Sprintf("domain%d", k%simDomains),
		Link: address, Control: address, Protocols: [2]uint8{link.ProtocolOldest, link.ProtocolNewest},
	}
	x := &simulated{record: r, version: 1, inForce: make(map[uint64]time.Time)}
	x.tracker = freshness.NewTracker(freshness.Options{
		Self: r.ID, Domain: r.Domain, Protocol: link.ProtocolReadings, Rand: rand.New(rand.NewPCG(uint64(k), f.rand.Uint64())),
	})
	x.tracker.Start(f.now)
	if protocol {
		x.state = membership.New(membership.Options{
			Self: *r, Config: membership.DefaultConfig(), Rand: rand.New(rand.NewPCG(uint64(k), f.rand.Uint64())), Now: f.now,
		})
		if k > 0 {
			x.state.Join([]netip.AddrPort{f.instances[0].record.Control})
		}
	}
	return x
}

// start schedules what an instance does by itself.
func (f *simulation) start(x *simulated) {
	if x.state != nil {
		f.do(x, x.state.SetRevision(f.now, x.version))
		f.every(x, membership.DefaultConfig().TickInterval, func() { f.do(x, x.state.Tick(f.now)) })
	}
	if x.state != nil || f.isWatcher(x) {
		f.every(x, roleCheckInterval, func() { f.watch(x) })
	}
	f.keepFresh(x)
}

// watch begins a watch call of the store if an instance is a watcher and has none in flight.
func (f *simulation) watch(x *simulated) {
	if !x.watching && f.isWatcher(x) {
		x.watching = true
		f.after(watchDuration, func() { x.watching = false })
	}
}

// isWatcher is configurationManager.isWatcher.
func (f *simulation) isWatcher(x *simulated) bool {
	return slices.Contains(f.directory(x).SelectInstances(x.record.Domain, "watch", watchersPerDomain), x.record.ID)
}

// every runs f in an instance at an interval, from a random moment on.
func (f *simulation) every(x *simulated, interval time.Duration, run func()) {
	var next func()
	next = func() {
		if !x.frozen && !x.ended {
			run()
		}
		f.after(interval, next)
	}
	f.after(time.Duration(f.rand.Int64N(int64(interval))), next)
}

// keepFresh schedules the reads of configurationManager.keepFresh.
func (f *simulation) keepFresh(x *simulated) {
	pause := x.tracker.OverdueAt(f.deadline).Sub(f.now) + time.Duration(f.rand.Int64N(int64(turnLength(f.deadline))))
	f.after(pause, func() {
		f.arrive(x, func() {
			if !x.tracker.BeginOverdue(f.now, f.deadline) {
				f.keepFresh(x)
				return
			}
			f.poll(x, func() { f.keepFresh(x) })
		})
	})
}

// eachTurn lets the instances read whose turn it is.
func (f *simulation) eachTurn() {
	length := turnLength(f.deadline)
	turn := f.now.UnixNano()/int64(length) + 1
	f.after(time.Unix(0, turn*int64(length)).Sub(f.now), func() {
		for _, x := range f.instances {
			if !x.ended && !x.frozen && f.reader(x, turn) == x.record.ID && x.tracker.BeginTurn(f.now, f.deadline) {
				f.poll(x, func() {})
			}
		}
		f.eachTurn()
	})
}

// reader returns which instance x takes for the reader of a turn.
func (f *simulation) reader(x *simulated, turn int64) membership.ID {
	d, suspected := f.directory(x), f.suspected(x)
	if c, ok := f.turns[d]; ok && c.turn == turn && len(suspected) == 0 {
		return c.reader
	}
	reader := pollerOf(d, turn, suspected)
	if len(suspected) == 0 && x.state == nil {
		f.turns[d] = turnChoice{turn, reader}
	}
	return reader
}

func (f *simulation) directory(x *simulated) *membership.Directory {
	if x.state == nil {
		return f.view
	}
	return x.state.Directory()
}

func (f *simulation) suspected(x *simulated) map[membership.ID]bool {
	if x.state == nil {
		return nil
	}
	return x.state.Suspected()
}

// after schedules an event.
func (f *simulation) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, simEvent{f.now.Add(max(d, 0)), f.sequence, run})
}

// run plays a time.
func (f *simulation) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// arrive runs f in an instance, once it is no longer frozen.
func (f *simulation) arrive(x *simulated, run func()) {
	switch {
	case x.ended:
	case x.frozen:
		x.held = append(x.held, run)
	default:
		run()
	}
}

// reaches reports whether a packet from x arrives at y.
func (f *simulation) reaches(x, y *simulated) bool {
	return y != nil && !y.ended && !x.isolated && !y.isolated
}

// read reads the store, and then calls done.
func (f *simulation) read(x *simulated, done func(ok bool)) {
	f.reads = append(f.reads, f.now)
	requestedAt := f.now
	f.after(simStoreLatency/2, func() {
		version, ok := f.version, !f.down
		f.after(simStoreLatency/2, func() {
			f.arrive(x, func() {
				if ok {
					f.apply(x, version)
					x.tracker.Succeeded(requestedAt)
				}
				done(ok)
			})
		})
	})
}

// poll is configurationManager.poll; done is called when it ends.
func (f *simulation) poll(x *simulated, done func()) {
	requestedAt := f.now
	f.read(x, func(ok bool) {
		if ok {
			r := membership.Reading{At: requestedAt, Revision: x.version}
			f.sendReadings(x, x.tracker.Spread(r, f.directory(x), f.suspected(x)))
		} else {
			x.tracker.Failed(f.now, f.deadline)
		}
		done()
	})
}

// sendReadings sends the readings of an instance with the version in force there.
func (f *simulation) sendReadings(x *simulated, out []membership.ReadingTo) {
	if x.state != nil {
		f.do(x, x.state.SendReadings(f.now, out))
		return
	}
	for _, r := range out {
		r.Reading.Revision = x.version
		f.deliver(x, r.Address, func(y *simulated) {
			f.fetch(y, x) // the membership protocol would report the newer version
			f.receiveReading(y, r.Reading)
		})
	}
}

// apply puts a version in force.
func (f *simulation) apply(x *simulated, version uint64) {
	if version <= x.version {
		return
	}
	for v := x.version + 1; v <= version; v++ {
		x.inForce[v] = f.now
	}
	x.version = version
	if x.state != nil {
		f.do(x, x.state.SetRevision(f.now, version))
	}
	if r, ok := x.tracker.TakeAwaited(f.now, version); ok {
		f.sendReadings(x, x.tracker.PassOn(r, f.directory(x), f.suspected(x)))
	}
}

// receiveReading is readings.receive.
func (f *simulation) receiveReading(x *simulated, r membership.Reading) {
	if x.tracker.Receive(f.now, r, x.version) {
		f.sendReadings(x, x.tracker.PassOn(r, f.directory(x), f.suspected(x)))
	}
}

// do carries out the actions of the membership protocol.
func (f *simulation) do(x *simulated, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			f.deliver(x, a.To, func(y *simulated) { f.do(y, y.state.Receive(f.now, x.record.Control, a.Message)) })
		case membership.SyncWith:
			f.synchronize(x, f.at[a.Address])
		case membership.NewerRevision:
			f.fetch(x, f.at[a.Address])
		case membership.ReadingReceived:
			f.receiveReading(x, a.Reading)
		}
	}
}

// deliver delivers a datagram after a few milliseconds, unless it is lost.
func (f *simulation) deliver(x *simulated, to netip.AddrPort, run func(y *simulated)) {
	if f.rand.Float64() < f.loss {
		return
	}
	y := f.at[to]
	f.after(time.Duration(1+f.rand.IntN(4))*time.Millisecond, func() {
		if f.reaches(x, y) {
			f.arrive(y, func() { run(y) })
		}
	})
}

// synchronize runs a synchronization of the membership protocol.
func (f *simulation) synchronize(x, y *simulated) {
	if y == nil || !f.reaches(x, y) || x.frozen || y.frozen {
		return
	}
	exchange := func(r *membership.SyncRequest) *membership.SyncResponse {
		response, actions := y.state.HandleSync(f.now, r)
		f.do(y, actions)
		return response
	}
	requests, actions := x.state.ContinueSync(f.now, exchange(x.state.StartSync()))
	f.do(x, actions)
	for _, r := range requests {
		f.do(x, x.state.FinishSync(f.now, exchange(r)))
	}
}

// fetch is configurationManager.fetchAnnounced.
func (f *simulation) fetch(x, y *simulated) {
	if x.fetching || y.version <= x.version {
		return
	}
	x.fetching = true
	fetched := false
	f.after(simFetchLatency, func() {
		if f.reaches(x, y) && f.reaches(y, x) && !y.frozen {
			f.arrive(x, func() {
				f.apply(x, y.version)
				fetched, x.fetching = true, false
			})
		}
	})
	f.after(fetchHedgeDelay, func() {
		if !fetched {
			f.arrive(x, func() { f.read(x, func(bool) { x.fetching = false }) })
		}
	})
}

// change stores the next version. The instances whose watch calls are in flight get it at once.
func (f *simulation) change() {
	f.version++
	version := f.version
	f.acked[version] = f.now
	for _, x := range f.instances {
		if x.watching && !x.ended {
			f.after(simStoreLatency/2, func() {
				f.arrive(x, func() { f.apply(x, version) })
				x.watching = false
			})
		}
	}
}

// checkInForce checks that each instance that ran all the while has put each version in force in time.
func (f *simulation) checkInForce() {
	f.t.Helper()
	for _, x := range f.instances {
		for version, acked := range f.acked {
			at, ok := x.inForce[version]
			switch {
			case x.ended || x.paused:
			case !ok:
				f.t.Errorf("%s lacks version %d after %v", x.record.ID, version, f.now.Sub(acked))
			case at.Sub(acked) > f.deadline:
				f.t.Errorf("%s has version %d in force after %v, the deadline is %v", x.record.ID, version, at.Sub(acked), f.deadline)
			}
		}
	}
}

// choose returns all instances of a failure domain, or of all domains, but for some that are left.
func (f *simulation) choose(domain string, left int) (lost []*simulated) {
	for _, k := range f.rand.Perm(len(f.instances)) {
		if x := f.instances[k]; domain == "" || x.record.Domain == domain {
			lost = append(lost, x)
		}
	}
	return lost[left:]
}

// peak returns the highest number of reads within a time.
func (f *simulation) peak(window time.Duration) (peak int) {
	first := 0
	for k, at := range f.reads {
		for at.Sub(f.reads[first]) >= window {
			first++
		}
		peak = max(peak, k-first+1)
	}
	return peak
}
