package ticket_test

import (
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"amaranthstile/ticket"
)

// The size that the fleet is built for.
const (
	fullServices = 2_600
	fullRoutes   = 54_000
	fullAccounts = 120_000
	perTicket    = 1_000
)

// fullBook is a book of the full size; callers clone it.
var fullBook = sync.OnceValue(func() *ticket.ConfigState {
	b := ticket.NewConfigState()
	apply := func(t *ticket.Ticket) {
		t.Number = uint64(b.Revision()) + 1
		b.Apply(ticket.Entry{Revision: b.Revision() + 1, Ticket: t})
	}
	t := &ticket.Ticket{Services: map[string]*ticket.Service{}}
	for n := range fullServices {
		t.Services["service-"+strconv.Itoa(n)] = &ticket.Service{Floor: 0.5}
	}
	apply(t)
	for at := 0; at < fullRoutes; at += perTicket {
		t := &ticket.Ticket{Routes: map[string]*ticket.Route{}}
		for n := at; n < at+perTicket; n++ {
			t.Routes[fmt.Sprintf("route-%d", n)] = &ticket.Route{Host: fmt.Sprintf("team-%d.example", n%900), Prefix: fmt.Sprintf("/area/%d", n), Service: "service-" + strconv.Itoa(n%fullServices)}
		}
		apply(t)
	}
	for at := 0; at < fullAccounts; at += perTicket {
		t := &ticket.Ticket{Accounts: map[string]*ticket.Account{}}
		for n := at; n < at+perTicket; n++ {
			name := fmt.Sprintf("account-%d", n)
			t.Accounts[name] = &ticket.Account{Rate: 20, Burst: 40, Keys: []ticket.Hash{ticket.HashKey(name)}}
		}
		apply(t)
	}
	return b
})

// BenchmarkBookFull measures one ticket, a snapshot and its reading at full size, and the memory of a book.
func BenchmarkBookFull(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	full := fullBook()
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
		book := full.Clone()
		for n := 0; b.Loop(); n++ {
			t := &ticket.Ticket{Number: 1e6 + uint64(n), Accounts: map[string]*ticket.Account{
				fmt.Sprintf("account-%d", n%fullAccounts): {Rate: 30, Burst: 3, Keys: []ticket.Hash{ticket.HashKey(strconv.Itoa(n))}},
			}}
			if _, err := book.Check(t); err != nil {
				b.Fatal(err)
			}
			book.Apply(ticket.Entry{Revision: book.Revision() + 1, Ticket: t})
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
