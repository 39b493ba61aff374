package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// network carries datagrams and synchronizations between states under a simulated clock.
type network struct {
	now      time.Time
	rand     *rand.Rand
	nodes    []*node
	at       map[netip.AddrPort]*node
	inFlight []packet
	cut      func(from, to int) bool
	// loss, duplicate and late are shares of the datagrams; a late one takes up to two seconds.
	loss, duplicate, late float64
	bytes                 int
}

// node is one instance of a network. ended counts the ends of other members that it has reported.
type node struct {
	n      int
	state  *State
	addr   netip.AddrPort
	paused bool
	ended  map[ID]int
}

// packet is a datagram in flight.
type packet struct {
	at   time.Time
	from *node
	to   netip.AddrPort
	m    *Message
}

// newNetwork returns a network of n instances, which have not joined yet.
func newNetwork(n int, seed uint64) *network {
	w := &network{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), at: make(map[netip.AddrPort]*node)}
	w.cut = func(_, _ int) bool { return false }
	for range n {
		w.start(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(w.nodes))), "")
	}
	return w
}

// start adds an instance that joins through the first one.
func (w *network) start(addr netip.AddrPort, id string) {
	n := len(w.nodes)
	if id == "" {
		id = fmt.Sprintf("id-%04d", n)
	}
	x := &node{n: n, addr: addr, ended: make(map[ID]int)}
	x.state = New(Options{
		Self:   Record{ID: ID(id), Domain: fmt.Sprint("d", n%4), Control: addr, Link: addr},
		Config: DefaultConfig(), Rand: rand.New(rand.NewPCG(uint64(n), w.rand.Uint64())), Now: w.now,
	})
	if n > 0 {
		x.state.Join([]netip.AddrPort{w.nodes[0].addr})
	}
	w.nodes = append(w.nodes, x)
	w.at[addr] = x
}

// do carries out the actions of an instance.
func (w *network) do(x *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.bytes += a.Message.size()
			w.post(x, a)
		case SyncWith:
			w.sync(x, w.at[a.Address])
		case Ended:
			x.ended[a.ID]++
		}
	}
}

// post puts a datagram in flight, subject to loss, delay and duplication.
func (w *network) post(x *node, a Send) {
	if w.rand.Float64() < w.loss {
		return
	}
	delay := time.Duration(1+w.rand.IntN(4)) * time.Millisecond
	if w.rand.Float64() < w.late {
		delay = time.Duration(w.rand.IntN(2000)) * time.Millisecond
	}
	data, _ := a.Message.Encode()
	m, err := DecodeMessage(data)
	if err != nil {
		panic(err)
	}
	w.inFlight = append(w.inFlight, packet{w.now.Add(delay), x, a.To, m})
	if w.rand.Float64() < w.duplicate {
		w.inFlight = append(w.inFlight, packet{w.now.Add(2 * delay), x, a.To, m})
	}
}

// reaches reports whether x can send to y.
func (w *network) reaches(x, y *node) bool {
	return y != nil && !y.paused && !x.paused && !w.cut(x.n, y.n)
}

// sync runs a synchronization from x to y, if both can reach each other.
func (w *network) sync(x, y *node) {
	if y == nil || !w.reaches(x, y) || !w.reaches(y, x) {
		return
	}
	exchange := func(r *SyncRequest) *SyncResponse {
		a, out := y.state.HandleSync(w.now, recode(r, &SyncRequest{}))
		w.do(y, out)
		return recode(a, &SyncResponse{})
	}
	next, out := x.state.ContinueSync(w.now, exchange(x.state.StartSync()))
	w.do(x, out)
	for _, r := range next {
		w.do(x, x.state.FinishSync(w.now, exchange(r)))
	}
}

// recode encodes and decodes a synchronization message.
func recode[T any](in, out *T) *T {
	data, err := EncodeSync(in)
	if err == nil {
		err = DecodeSync(data, out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

// run advances the clock by d.
func (w *network) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		if w.now.Sub(time.Unix(1000, 0))%(100*time.Millisecond) == 0 {
			for _, x := range w.nodes {
				if !x.paused {
					w.do(x, x.state.Tick(w.now))
				}
			}
		}
	}
}

// deliver passes on the datagrams that are due.
func (w *network) deliver() {
	inFlight := w.inFlight
	w.inFlight = nil
	for _, p := range inFlight {
		to := w.at[p.to]
		switch {
		case p.at.After(w.now):
			w.inFlight = append(w.inFlight, p)
		case to != nil && w.reaches(p.from, to):
			w.do(to, to.state.Receive(w.now, p.from.addr, p.m))
		}
	}
}

// viewSize returns the number of instances in the view of x.
func (x *node) viewSize() int { return len(x.state.Directory().Records()) }

// checkViews checks that the view of every running instance has the given size.
func (w *network) checkViews(t *testing.T, what string, want int) {
	t.Helper()
	for _, x := range w.nodes {
		if got := x.viewSize(); !x.paused && got != want {
			t.Errorf("%s: instance %d sees %d instances, not %d", what, x.n, got, want)
		}
	}
}

// runAndMeasure runs for d and returns the bytes sent per second and instance.
func (w *network) runAndMeasure(d time.Duration) float64 {
	w.bytes = 0
	w.run(d)
	return float64(w.bytes) / d.Seconds() / float64(len(w.nodes))
}

// floodBound is the limit of what an instance may send per second: the budgets of gossip and acknowledgements.
func floodBound() float64 {
	c := DefaultConfig()
	return c.GossipRate + c.AckRate
}

func TestViewsAreCorrectAfterFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(w *network)
		within time.Duration
		size   int
		want   int
	}{
		{"none", func(*network) {}, 20 * time.Second, 40, 40},
		{"10 in 100 lost", func(w *network) { w.loss = 0.1 }, 30 * time.Second, 40, 40},
		{"duplicated", func(w *network) { w.duplicate = 0.5 }, 20 * time.Second, 40, 40},
		{"reordered and late", func(w *network) { w.late = 0.1 }, 30 * time.Second, 40, 40},
		{"one-way between two", func(w *network) { w.cut = func(a, b int) bool { return a == 1 && b == 2 } }, 30 * time.Second, 40, 40},
		{"one killed", func(w *network) { w.nodes[5].paused = true }, 15 * time.Second, 40, 39},
		{"a rack of 40 lost", func(w *network) {
			for _, x := range w.nodes[20:60] {
				x.paused = true
			}
		}, 20 * time.Second, 100, 60},
		{"one leaves", func(w *network) {
			w.do(w.nodes[7], w.nodes[7].state.Leave(w.now))
			w.run(300 * time.Millisecond)
			w.nodes[7].paused = true
		}, 1700 * time.Millisecond, 40, 39},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newNetwork(c.size, 1)
			w.run(15 * time.Second)
			w.checkViews(t, "after the start", c.size)
			c.fault(w)
			if r := w.runAndMeasure(c.within); r > floodBound() {
				t.Errorf("sent %.0f bytes per second and instance, above the limit", r)
			}
			w.checkViews(t, "after the fault", c.want)
		})
	}
}

// TestIsolatedInstanceSpreadsNoSuspicion cuts all traffic to one instance. The others remove it, and it must not make
// them remove any other member.
func TestIsolatedInstanceSpreadsNoSuspicion(t *testing.T) {
	is := is.New(t)
	w := newNetwork(20, 2)
	w.run(10 * time.Second)
	w.cut = func(_, to int) bool { return to == 3 }
	w.run(30 * time.Second)
	for _, x := range w.nodes {
		if x.n != 3 {
			is.Equal(x.viewSize(), 19)
			is.Equal(len(x.ended), 1)
		}
	}
	w.cut = func(_, _ int) bool { return false }
	w.run(40 * time.Second)
	w.checkViews(t, "after the cut", 20)
}

func TestPausedInstanceReturnsWithoutTrafficPeak(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 3)
	w.run(10 * time.Second)
	w.nodes[4].paused = true
	w.run(40 * time.Second)
	w.checkViews(t, "during the pause", 39)
	w.nodes[4].paused = false
	is.True(w.runAndMeasure(15*time.Second) < floodBound())
	w.checkViews(t, "after the pause", 40)
	is.Equal(len(w.nodes[4].ended), 0) // the pause must not make it fail other members
	is.Equal(w.nodes[4].state.Stats().Refuted, uint64(1))
}

func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 4)
	w.run(10 * time.Second)
	w.cut = func(a, b int) bool { return (a < 20) != (b < 20) }
	w.run(60 * time.Second)
	w.checkViews(t, "during the partition", 20)
	w.cut = func(_, _ int) bool { return false }
	is.True(w.runAndMeasure(30*time.Second) < floodBound())
	w.checkViews(t, "after the partition", 40)
}

func TestRestartedInstanceTakesOverItsAddress(t *testing.T) {
	is := is.New(t)
	w := newNetwork(30, 5)
	w.run(10 * time.Second)
	old := w.nodes[9]
	old.paused = true
	w.start(old.addr, "reborn")
	w.run(5 * time.Second)
	w.checkViews(t, "after the restart", 30)
	_, ok := w.nodes[1].state.Directory().Record("reborn")
	is.True(ok)
	_, ok = w.nodes[1].state.Directory().Record(old.state.self.ID)
	is.True(!ok)
}

// TestReachableClaimantOfSharedAddressIsUsed starts a second live process with the address of another. Datagrams
// reach only the second, so every view must contain it and not the first.
func TestReachableClaimantOfSharedAddressIsUsed(t *testing.T) {
	w := newNetwork(20, 6)
	w.run(10 * time.Second)
	first := w.nodes[9]
	w.start(first.addr, "second")
	w.run(30 * time.Second)
	wrong, total := 0, 0
	for range 60 {
		if r := w.runAndMeasure(500 * time.Millisecond); r > floodBound() {
			t.Errorf("sent %.0f bytes per second and instance, above the limit", r)
		}
		for _, x := range w.nodes {
			_, seesFirst := x.state.Directory().Record(first.state.self.ID)
			_, seesSecond := x.state.Directory().Record("second")
			if x != first && (seesFirst || !seesSecond) {
				wrong++
			}
			total++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d views are wrong", wrong, total)
	}
}

// TestHistoriesConverge checks that all views agree again after random losses, pauses and cuts have ended.
func TestHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 8
		w := newNetwork(size, rapid.Uint64().Draw(t, "seed"))
		w.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			a, b := rapid.IntRange(0, size-1).Draw(t, "a"), rapid.IntRange(0, size-1).Draw(t, "b")
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				w.nodes[a].paused = !w.nodes[a].paused
			case 1:
				w.cut = func(x, y int) bool { return x == a && y == b }
			case 2:
				w.cut = func(x, y int) bool { return (x < a) != (y < a) }
			case 3:
				w.cut = func(_, y int) bool { return y == a }
			case 4:
				w.loss, w.late, w.duplicate = 0.3, 0.2, 0.2
			case 5:
				w.do(w.nodes[a], w.nodes[a].state.SetSelf(w.now, []Endpoint{{Backend: "b", Service: "s", Slots: b, State: Active}}, false))
			}
			w.run(time.Duration(rapid.IntRange(0, 25).Draw(t, "seconds")) * time.Second)
		}
		w.cut, w.loss, w.late, w.duplicate = func(_, _ int) bool { return false }, 0, 0, 0
		for _, x := range w.nodes {
			x.paused = false
		}
		w.run(90 * time.Second)
		first, _ := json.Marshal(w.nodes[0].state.Directory().Records())
		for _, x := range w.nodes {
			view, _ := json.Marshal(x.state.Directory().Records())
			if x.viewSize() != size || string(view) != string(first) {
				t.Fatalf("instance %d sees %d instances, instance 0 %d of %d", x.n, x.viewSize(), w.nodes[0].viewSize(), size)
			}
			if x.state.digest != w.nodes[0].state.digest {
				t.Fatalf("digests differ at instance %d", x.n)
			}
		}
	})
}
