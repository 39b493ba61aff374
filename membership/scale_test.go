package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// The size that the fleet is built towards.
const (
	fullMembers   = 2800
	fullEndpoints = 14 // beside each
	fullServices  = 2600
	// recordsPerSecond are 7,100 restarts a day, each a new record and the end of an old one.
	recordsPerSecond = 2 * 7100.0 / 86400
)

func fullRecord(r *rand.Rand, n int) *Record {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
	out := &Record{
		ID: ID(fmt.Sprintf("%016x", n)), Version: 1, Name: fmt.Sprint("instance-", n), Domain: fmt.Sprint("domain-", n%15),
		Region: fmt.Sprint("region-", n%7), Link: addr, Control: addr, Protocols: [2]uint8{1, 1},
	}
	for e := range fullEndpoints {
		out.Endpoints = append(out.Endpoints, Endpoint{
			Backend: fmt.Sprintf("backend-%d-%d", n, e), Service: fmt.Sprint("service-", r.IntN(fullServices)), Slots: 3, State: Active,
		})
	}
	return out
}

func fullFleet() map[ID]*Record {
	r := rand.New(rand.NewPCG(1, 1))
	records := make(map[ID]*Record, fullMembers)
	for n := range fullMembers {
		x := fullRecord(r, n)
		records[x.ID] = x
	}
	return records
}

func BenchmarkDirectoryRebuild(b *testing.B) {
	records := fullFleet()
	for b.Loop() {
		NewDirectory(records)
	}
}

func BenchmarkDirectoryUpdate(b *testing.B) {
	records := fullFleet()
	d := NewDirectory(records)
	r := rand.New(rand.NewPCG(2, 2))
	for b.Loop() {
		x := fullRecord(r, r.IntN(fullMembers))
		d = d.Update(map[ID]*Record{x.ID: x})
	}
}

// fullState is a state with all members, and the heap that it fills.
func fullState(b *testing.B) (*State, time.Time, uint64) {
	before := heap()
	w := newNetwork(1, 1)
	s := w.nodes[0].state
	var answer SyncResponse
	for id, r := range fullFleet() {
		raw, err := encodeRecord(r)
		if err != nil {
			b.Fatal(err)
		}
		answer.Updates = append(answer.Updates, news{ID: id, Incarnation: 1, Version: 1, Status: statusAlive})
		answer.Records = append(answer.Records, raw)
	}
	s.FinishSync(w.now, &answer)
	s.Directory()
	s.queue = make(map[ID]*item)
	if len(s.alive.ids) != fullMembers {
		b.Fatal(len(s.alive.ids), "members")
	}
	answer = SyncResponse{}
	return s, w.now, heap() - before
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFullSizeSecond is one second of a member of the full fleet: ten ticks, a ping by another, an answer to its own
// probe, and the news, pulls and records of the day's restarts. Bytes are those sent, with headers.
func BenchmarkFullSizeSecond(b *testing.B) {
	s, now, bytes := fullState(b)
	r := rand.New(rand.NewPCG(3, 3))
	seconds, next, version := 0, 0.0, uint64(1)
	sentBefore := s.stats.BytesSent
	from := func() (netip.AddrPort, ID) {
		m := s.members[s.alive.ids[r.IntN(len(s.alive.ids))]]
		return m.record.Control, m.id
	}
	deliver := func(out []Action) {
		for _, a := range out {
			send, ok := a.(Send)
			if !ok {
				continue
			}
			_, _ = send.Message.Encode()
			switch send.Message.Kind {
			case kindPing:
				s.Receive(now, send.To, &Message{Kind: kindAck, From: send.Message.Target, Seq: send.Message.Seq})
			case kindPull:
				reply := &Message{Kind: kindRecords}
				for _, id := range send.Message.Want {
					x := fullRecord(r, r.IntN(fullMembers))
					x.ID, x.Version, x.Control = id, version, s.members[id].record.Control
					raw, _ := encodeRecord(x)
					reply.Records = append(reply.Records, raw)
				}
				addr, id := from()
				reply.From = id
				s.Receive(now, addr, reply)
			}
		}
	}
	for b.Loop() {
		seconds++
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			deliver(s.Tick(now))
			s.Directory()
		}
		addr, id := from()
		deliver(s.Receive(now, addr, &Message{Kind: kindPing, From: id, Seq: 1, Target: s.self.ID}))
		for next += recordsPerSecond; next >= 1; next-- {
			version++
			_, changed := from()
			n := news{ID: changed, Incarnation: 1, Version: version, Status: statusAlive}
			for range s.retransmits() { // everyone sends it that often, so that is how often it comes
				addr, id := from()
				deliver(s.Receive(now, addr, &Message{Kind: kindSpread, From: id, Updates: []news{n}}))
			}
			addr, id := from() // and one other asks for the record
			deliver(s.Receive(now, addr, &Message{Kind: kindPull, From: id, Want: []ID{changed}}))
		}
	}
	b.ReportMetric(float64(s.stats.BytesSent-sentBefore)/float64(seconds), "B-sent/s")
	b.ReportMetric(float64(bytes)/1e6, "MB-state")
	b.ReportMetric(float64(b.Elapsed())/float64(seconds)/1e7, "%core")
}

// BenchmarkBytesByInstances is what an instance sends per second over the size of the fleet, quiet and with one
// record in a hundred changing each second.
func BenchmarkBytesByInstances(b *testing.B) {
	for _, size := range []int{10, 20, 40, 80, 160} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/busy=%t", size, busy), func(b *testing.B) {
				w := newNetwork(size, 1)
				w.run(20 * time.Second)
				w.bytes = 0
				seconds, next := 0, 0.0
				for b.Loop() {
					for next += float64(size) / 100; busy && next >= 1; next-- {
						x := w.nodes[w.rand.IntN(size)]
						w.do(x, x.state.SetSelf(w.now, testRecord("", 14).Endpoints, false))
					}
					w.run(time.Second)
					seconds++
				}
				b.ReportMetric(float64(w.bytes)/float64(seconds)/float64(size), "B-sent/s/instance")
			})
		}
	}
}

// BenchmarkSpread is how long a leave takes to reach all, over the size of the fleet, and the longest way in steps.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{20, 40, 80, 160} {
		b.Run(fmt.Sprint("instances=", size), func(b *testing.B) {
			var total, worst time.Duration
			rounds := 0
			w := newNetwork(size, 1)
			w.run(20 * time.Second)
			for b.Loop() {
				rounds++
				x := w.nodes[w.rand.IntN(size)]
				w.do(x, x.state.SetSelf(w.now, nil, false))
				w.run(10 * time.Second)
				w.do(x, x.state.SetSelf(w.now, nil, true))
				start, version := w.now, x.state.self.Version
				for !w.allHave(x.state.self.ID, version) && w.now.Sub(start) < time.Minute {
					w.run(10 * time.Millisecond)
				}
				total += w.now.Sub(start)
				worst = max(worst, w.now.Sub(start))
			}
			b.ReportMetric(total.Seconds()*1000/float64(rounds), "ms-to-all")
			b.ReportMetric(worst.Seconds()*1000, "ms-worst")
		})
	}
}

func (w *network) allHave(id ID, version uint64) bool {
	for _, x := range w.nodes {
		if r, ok := x.state.Directory().Record(id); !ok || r.Version < version {
			return false
		}
	}
	return true
}
