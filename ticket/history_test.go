package ticket_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/result"
	"amaranthstile/ticket"
)

// drawTicket draws a small ticket over a few names, so that tickets meet.
func drawTicket(t *rapid.T, maxNumber uint64) *ticket.Ticket {
	out := &ticket.Ticket{
		Number:   rapid.Uint64Range(1, maxNumber).Draw(t, "number"),
		Services: map[string]*ticket.Service{},
		Routes:   map[string]*ticket.Route{},
		Accounts: map[string]*ticket.Account{},
	}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
		gone := rapid.IntRange(0, 3).Draw(t, "gone") == 0
		switch rapid.SampledFrom([]string{"service", "route", "account", "account", "account"}).Draw(t, "kind") {
		case "service":
			out.Services[name] = &ticket.Service{Floor: float64(rapid.IntRange(0, 4).Draw(t, "floor")) / 4}
			if gone {
				out.Services[name] = nil
			}
		case "route":
			out.Routes[name] = &ticket.Route{Prefix: "/" + rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "prefix"), Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")}
			if gone {
				out.Routes[name] = nil
			}
		case "account":
			out.Accounts[name] = &ticket.Account{Rate: 1, Burst: rapid.IntRange(1, 3).Draw(t, "burst"), Keys: []ticket.Hash{ticket.HashKey(name + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key"))}}
			if gone {
				out.Accounts[name] = nil
			}
		}
	}
	return out
}

// touched lists what a ticket touches, with its new value as text, "" for removed.
func touched(t *ticket.Ticket) map[string]string {
	out := map[string]string{}
	add(out, "services", t.Services)
	add(out, "routes", t.Routes)
	add(out, "accounts", t.Accounts)
	return out
}

func add[T any](out map[string]string, kind string, m map[string]*T) {
	for name, v := range m {
		out[kind+"."+name] = ""
		if v != nil {
			out[kind+"."+name] = fmt.Sprintf("%+v", *v)
		}
	}
}

// inForce lists what is in force in a book, as touched does.
func inForce(b *ticket.ConfigState) map[string]string {
	all := &ticket.Ticket{Services: map[string]*ticket.Service{}, Routes: map[string]*ticket.Route{}, Accounts: map[string]*ticket.Account{}}
	for n, o := range b.Services() {
		all.Services[n] = o.Value
	}
	for n, o := range b.Routes() {
		all.Routes[n] = o.Value
	}
	for n, o := range b.Accounts() {
		all.Accounts[n] = o.Value
	}
	return touched(all)
}

// history is the reference: it remembers everything.
type history struct {
	accepted map[uint64]ticket.Record
	revision ticket.Revision
	numbers  map[string]uint64 // last number that touched an object
	values   map[string]string
}

func newHistory() *history {
	return &history{accepted: map[uint64]ticket.Record{}, numbers: map[string]uint64{}, values: map[string]string{}}
}

// replaces reports whether t is not older than everything that it would replace.
func (h *history) replaces(t *ticket.Ticket) bool {
	for name := range touched(t) {
		if h.numbers[name] >= t.Number {
			return false
		}
	}
	return true
}

func (h *history) accept(t *ticket.Ticket) {
	h.revision++
	h.accepted[t.Number] = ticket.Record{Number: t.Number, Revision: h.revision, Digest: t.Digest()}
	for name, v := range touched(t) {
		h.numbers[name] = t.Number
		h.values[name] = v
		if v == "" {
			delete(h.values, name)
		}
	}
}

// judge says what is wrong with a book's decision on x, or "".
func (h *history) judge(x *ticket.Ticket, got ticket.Record, err error, sure int) string {
	old, known := h.accepted[x.Number]
	outdated := result.Is(err, result.TicketOutdated)
	switch {
	case !known && err == nil && !h.replaces(x):
		return "it is older than what it would replace"
	case !known:
		return ""
	case old.Digest != x.Digest() && !outdated && !result.Is(err, result.TicketNumberUsed):
		return fmt.Sprintf("other content under one number: %v", err)
	case old.Digest != x.Digest():
		return ""
	case err == nil && got != old:
		return fmt.Sprintf("sent again, it has record %v, not %v", got, old)
	case err != nil && (!outdated || old.Revision+ticket.Revision(sure) > h.revision):
		return fmt.Sprintf("sent again: %v", err)
	}
	return ""
}

// state is what a refusal must leave as it is.
func state(b *ticket.ConfigState) string {
	records, tombstones := b.Remembered()
	return fmt.Sprint(b.Revision(), b.LowWatermark(), records, tombstones, inForce(b))
}

// TestHistoriesNeverRevert compares a book that remembers little with a history that remembers everything.
func TestHistoriesNeverRevert(t *testing.T) {
	const records, sure, tombstones = 8, 3, 6
	rapid.Check(t, func(t *rapid.T) {
		b, h := ticket.NewSmallBook(records, sure, tombstones), newHistory()
		var sent []*ticket.Ticket
		first := &ticket.Ticket{Number: 1, Services: map[string]*ticket.Service{"a": {}, "b": {}}}
		submit(t, b, h, first, sure)
		for i := range rapid.IntRange(20, 60).Draw(t, "steps") {
			x := drawTicket(t, uint64(8+2*i))
			if len(sent) > 0 {
				old := rapid.SampledFrom(sent).Draw(t, "sent")
				switch rapid.IntRange(0, 5).Draw(t, "again") {
				case 0:
					x = old
				case 1:
					x.Number = old.Number
				}
			}
			sent = append(sent, x)
			before := state(b)
			if accepted := submit(t, b, h, x, sure); !accepted && state(b) != before {
				t.Fatal("a refused ticket changed the state")
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b = restart(t, b)
			}
			r, n := b.Remembered()
			if r > records || n > tombstones {
				t.Fatalf("%d records, %d tombstones", r, n)
			}
		}
	})
}

// submit checks x, applies it if it may be accepted, and reports whether it was.
func submit(t *rapid.T, b *ticket.ConfigState, h *history, x *ticket.Ticket, sure int) bool {
	got, err := b.Check(x)
	if wrong := h.judge(x, got, err, sure); wrong != "" {
		t.Fatalf("ticket %d: %s", x.Number, wrong)
	}
	if err != nil || got.Revision != 0 {
		return false
	}
	h.accept(x)
	if !b.Apply(ticket.Entry{Revision: h.revision, Ticket: x}) {
		t.Fatal("not applied")
	}
	if !maps.Equal(inForce(b), h.values) {
		t.Fatalf("in force: %v, want %v", inForce(b), h.values)
	}
	return true
}

// restart rebuilds the book from its snapshot.
func restart(t *rapid.T, b *ticket.ConfigState) *ticket.ConfigState {
	s, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ticket.DecodeConfigState(s.Manifest, s.Chunks)
	if err != nil {
		t.Fatal(err)
	}
	again.TakeLimits(b)
	return again
}

func TestCloneIsIndependent(t *testing.T) {
	is := is.New(t)
	b := ticket.NewConfigState()
	at := state(b)
	c := b.Clone()
	is.True(b.Apply(ticket.Entry{Revision: 1, Ticket: &ticket.Ticket{Number: 7, Services: map[string]*ticket.Service{"roster": {Floor: 1}}}}))
	is.Equal(state(c), at)
	is.True(state(b) != at)
	is.True(!b.Apply(ticket.Entry{Revision: 3})) // a gap
	is.Equal(b.Revision(), ticket.Revision(1))
}
