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

// network carries datagrams and synchronizations between states under an injected clock.
type network struct {
	now    time.Time
	rand   *rand.Rand
	nodes  []*node
	at     map[netip.AddrPort]*node
	flight []packet
	cut    func(from, to int) bool
	// loss, double and late are shares of datagrams; a late one takes up to two seconds.
	loss, double, late float64
	bytes              int
}

type node struct {
	n      int
	state  *State
	addr   netip.AddrPort
	paused bool
	ended  map[ID]int
}

type packet struct {
	at   time.Time
	from *node
	to   netip.AddrPort
	m    *Message
}

func newNetwork(n int, seed uint64) *network {
	w := &network{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), at: make(map[netip.AddrPort]*node)}
	w.cut = func(_, _ int) bool { return false }
	for range n {
		w.start(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(w.nodes))), "")
	}
	return w
}

// start adds an instance that joins through the first.
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
	w.flight = append(w.flight, packet{w.now.Add(delay), x, a.To, m})
	if w.rand.Float64() < w.double {
		w.flight = append(w.flight, packet{w.now.Add(2 * delay), x, a.To, m})
	}
}

func (w *network) reach(x, y *node) bool {
	return y != nil && !y.paused && !x.paused && !w.cut(x.n, y.n)
}

func (w *network) sync(x, y *node) {
	if y == nil || !w.reach(x, y) || !w.reach(y, x) {
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

func (w *network) deliver() {
	flight := w.flight
	w.flight = nil
	for _, p := range flight {
		to := w.at[p.to]
		switch {
		case p.at.After(w.now):
			w.flight = append(w.flight, p)
		case to != nil && w.reach(p.from, to):
			w.do(to, to.state.Receive(w.now, p.from.addr, p.m))
		}
	}
}

// sees tells how many instances are in the view of x.
func (x *node) sees() int { return len(x.state.Directory().Records()) }

// agree checks that every running instance has exactly the given view size.
func (w *network) agree(t *testing.T, what string, want int) {
	t.Helper()
	for _, x := range w.nodes {
		if got := x.sees(); !x.paused && got != want {
			t.Errorf("%s: instance %d sees %d instances, not %d", what, x.n, got, want)
		}
	}
}

// rate returns the bytes per second and instance that a run sent.
func (w *network) rate(d time.Duration) float64 {
	w.bytes = 0
	w.run(d)
	return float64(w.bytes) / d.Seconds() / float64(len(w.nodes))
}

// floodBound is what an instance may send per second: the budgets of news and answers with the probes.
func floodBound() float64 {
	c := DefaultConfig()
	return c.GossipRate + c.AckRate
}

func TestFaultsGiveTheRightView(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(w *network)
		within time.Duration
		size   int
		want   int
	}{
		{"none", func(*network) {}, 20 * time.Second, 40, 40},
		{"10 in 100 lost", func(w *network) { w.loss = 0.1 }, 30 * time.Second, 40, 40},
		{"doubled", func(w *network) { w.double = 0.5 }, 20 * time.Second, 40, 40},
		{"crossed and late", func(w *network) { w.late = 0.1 }, 30 * time.Second, 40, 40},
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
			w.agree(t, "after the start", c.size)
			c.fault(w)
			if r := w.rate(c.within); r > floodBound() {
				t.Errorf("%.0f bytes per second and instance", r)
			}
			w.agree(t, "after the fault", c.want)
		})
	}
}

// A deaf instance hears nobody: the others drop it, and it accuses nobody to them.
func TestDeafInstanceAccusesNobody(t *testing.T) {
	is := is.New(t)
	w := newNetwork(20, 2)
	w.run(10 * time.Second)
	w.cut = func(_, to int) bool { return to == 3 }
	w.run(30 * time.Second)
	for _, x := range w.nodes {
		if x.n != 3 {
			is.Equal(x.sees(), 19)
			is.Equal(len(x.ended), 1)
		}
	}
	w.cut = func(_, _ int) bool { return false }
	w.run(40 * time.Second)
	w.agree(t, "after the cut", 20)
}

func TestPausedInstanceComesBackWithoutStorm(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 3)
	w.run(10 * time.Second)
	w.nodes[4].paused = true
	w.run(40 * time.Second)
	w.agree(t, "while it sleeps", 39)
	w.nodes[4].paused = false
	is.True(w.rate(15*time.Second) < floodBound())
	w.agree(t, "after it woke", 40)
	is.Equal(len(w.nodes[4].ended), 0) // it takes nobody for failed because it slept
	is.Equal(w.nodes[4].state.Stats().Refuted, uint64(1))
}

func TestSplitHeals(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 4)
	w.run(10 * time.Second)
	w.cut = func(a, b int) bool { return (a < 20) != (b < 20) }
	w.run(60 * time.Second)
	w.agree(t, "split", 20)
	w.cut = func(_, _ int) bool { return false }
	is.True(w.rate(30*time.Second) < floodBound())
	w.agree(t, "healed", 40)
}

func TestRestartTakesItsAddressOver(t *testing.T) {
	is := is.New(t)
	w := newNetwork(30, 5)
	w.run(10 * time.Second)
	old := w.nodes[9]
	old.paused = true
	w.start(old.addr, "reborn")
	w.run(5 * time.Second)
	w.agree(t, "after the restart", 30)
	_, ok := w.nodes[1].state.Directory().Record("reborn")
	is.True(ok)
	_, ok = w.nodes[1].state.Directory().Record(old.state.self.ID)
	is.True(!ok)
}

// Two live processes claim one address; datagrams reach the second only.
func TestOfTwoWithOneAddressTheReachableOneIsUsed(t *testing.T) {
	w := newNetwork(20, 6)
	w.run(10 * time.Second)
	first := w.nodes[9]
	w.start(first.addr, "second")
	w.run(30 * time.Second)
	wrong, total := 0, 0
	for range 60 {
		if r := w.rate(500 * time.Millisecond); r > floodBound() {
			t.Errorf("%.0f bytes per second and instance", r)
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

// Whatever is lost, paused and cut, the views agree once it is over.
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
				w.loss, w.late, w.double = 0.3, 0.2, 0.2
			case 5:
				w.do(w.nodes[a], w.nodes[a].state.SetSelf(w.now, []Endpoint{{Backend: "b", Service: "s", Slots: b, State: Active}}, false))
			}
			w.run(time.Duration(rapid.IntRange(0, 25).Draw(t, "seconds")) * time.Second)
		}
		w.cut, w.loss, w.late, w.double = func(_, _ int) bool { return false }, 0, 0, 0
		for _, x := range w.nodes {
			x.paused = false
		}
		w.run(90 * time.Second)
		first, _ := json.Marshal(w.nodes[0].state.Directory().Records())
		for _, x := range w.nodes {
			view, _ := json.Marshal(x.state.Directory().Records())
			if x.sees() != size || string(view) != string(first) {
				t.Fatalf("instance %d sees %d instances, instance 0 %d of %d", x.n, x.sees(), w.nodes[0].sees(), size)
			}
			if x.state.digest != w.nodes[0].state.digest {
				t.Fatalf("digests differ at instance %d", x.n)
			}
		}
	})
}
