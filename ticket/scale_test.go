package ticket_test

import (
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"amaranthstile/ticket"
)

// The size for which the fleet is built.
const (
	fullServices = 2_600
	fullRoutes   = 54_000
	fullAccounts = 120_000
	perTicket    = 1_000
)

// fullState returns a ConfigState of the full size; callers clone it.
var fullState = sync.OnceValue(func() *ticket.ConfigState {
	c := ticket.NewConfigState()
	apply := func(t *ticket.Ticket) {
		t.Number = uint64(c.Revision()) + 1
		c.Apply(ticket.Entry{Revision: c.Revision() + 1, Ticket: t})
	}
	t := &ticket.Ticket{Services: map[string]*ticket.Service{}}
	for n := range fullServices {
		t.Services["service-"+strconv.Itoa(n)] = &ticket.Service{Floor: 0.5}
	}
	apply(t)
	for first := 0; first < fullRoutes; first += perTicket {
		t := &ticket.Ticket{Routes: map[string]*ticket.Route{}}
		for n := first; n < first+perTicket; n++ {
			t.Routes[fmt.Sprintf("route-%d", n)] = &ticket.Route{Host: fmt.Sprintf("team-%d.example", n%900), Prefix: fmt.Sprintf("/area/%d", n), Service: "service-" + strconv.Itoa(n%fullServices)}
		}
		apply(t)
	}
	for first := 0; first < fullAccounts; first += perTicket {
		t := &ticket.Ticket{Accounts: map[string]*ticket.Account{}}
		for n := first; n < first+perTicket; n++ {
			name := fmt.Sprintf("account-%d", n)
			t.Accounts[name] = &ticket.Account{Rate: 20, Burst: 40, Keys: []ticket.Hash{ticket.HashKey(name)}}
		}
		apply(t)
	}
	return c
})

// BenchmarkFullConfigState measures one ticket, the encoding and the decoding of a snapshot at full size, and the
// memory of a ConfigState.
func BenchmarkFullConfigState(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	full := fullState()
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	snapshot, err := full.Encode()
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for _, c := range snapshot.Chunks {
		size += len(c)
	}
	b.Run("ticket", func(b *testing.B) {
		state := full.Clone()
		for n := 0; b.Loop(); n++ {
			t := &ticket.Ticket{Number: 1e6 + uint64(n), Accounts: map[string]*ticket.Account{
				fmt.Sprintf("account-%d", n%fullAccounts): {Rate: 30, Burst: 3, Keys: []ticket.Hash{ticket.HashKey(strconv.Itoa(n))}},
			}}
			if _, err := state.Check(t); err != nil {
				b.Fatal(err)
			}
			state.Apply(ticket.Entry{Revision: state.Revision() + 1, Ticket: t})
		}
		b.ReportMetric(held, "MB-held")
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := full.Clone().Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size)/(1<<20), "MB-compressed")
		b.ReportMetric(float64(len(snapshot.Chunks)), "chunks")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := ticket.DecodeConfigState(snapshot.Manifest, snapshot.Chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}
