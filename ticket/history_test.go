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

// drawTicket draws a small ticket over a few names, so that tickets change the same objects.
func drawTicket(t *rapid.T, maxNumber uint64) *ticket.Ticket {
	out := &ticket.Ticket{
		Number:   rapid.Uint64Range(1, maxNumber).Draw(t, "number"),
		Services: map[string]*ticket.Service{},
		Routes:   map[string]*ticket.Route{},
		Accounts: map[string]*ticket.Account{},
	}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
		removed := rapid.IntRange(0, 3).Draw(t, "removed") == 0
		switch rapid.SampledFrom([]string{"service", "route", "account", "account", "account"}).Draw(t, "kind") {
		case "service":
			out.Services[name] = &ticket.Service{Floor: float64(rapid.IntRange(0, 4).Draw(t, "floor")) / 4}
			if removed {
				out.Services[name] = nil
			}
		case "route":
			out.Routes[name] = &ticket.Route{Prefix: "/" + rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "prefix"), Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")}
			if removed {
				out.Routes[name] = nil
			}
		case "account":
			out.Accounts[name] = &ticket.Account{Rate: 1, Burst: rapid.IntRange(1, 3).Draw(t, "burst"), Keys: []ticket.Hash{ticket.HashKey(name + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key"))}}
			if removed {
				out.Accounts[name] = nil
			}
		}
	}
	return out
}

// changedObjects lists the objects that a ticket changes, with their new values as text, or "" for removed ones.
func changedObjects(t *ticket.Ticket) map[string]string {
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

// inForce lists the objects in force in the form that changedObjects has.
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
	return changedObjects(all)
}

// history is the reference model: it keeps the complete history.
type history struct {
	accepted map[uint64]ticket.Record
	revision ticket.Revision
	numbers  map[string]uint64 // number of the last ticket that changed an object
	values   map[string]string
}

func newHistory() *history {
	return &history{accepted: map[uint64]ticket.Record{}, numbers: map[string]uint64{}, values: map[string]string{}}
}

// isNewer reports whether t is newer than every ticket that changed one of its objects before.
func (h *history) isNewer(t *ticket.Ticket) bool {
	for name := range changedObjects(t) {
		if h.numbers[name] >= t.Number {
			return false
		}
	}
	return true
}

func (h *history) accept(t *ticket.Ticket) {
	h.revision++
	h.accepted[t.Number] = ticket.Record{Number: t.Number, Revision: h.revision, Digest: t.Digest()}
	for name, v := range changedObjects(t) {
		h.numbers[name] = t.Number
		h.values[name] = v
		if v == "" {
			delete(h.values, name)
		}
	}
}

// checkDecision describes what is wrong with the decision on x, or returns "". The last recent accepted tickets must be
// on record.
func (h *history) checkDecision(x *ticket.Ticket, got ticket.Record, err error, recent int) string {
	accepted, known := h.accepted[x.Number]
	outdated := result.Is(err, result.TicketOutdated)
	switch {
	case !known && err == nil && !h.isNewer(x):
		return "accepted although it is older than an object that it replaces"
	case !known:
		return ""
	case accepted.Digest != x.Digest() && !outdated && !result.Is(err, result.TicketNumberUsed):
		return fmt.Sprintf("second content with the same number: %v", err)
	case accepted.Digest != x.Digest():
		return ""
	case err == nil && got != accepted:
		return fmt.Sprintf("submitted again: got record %v, want %v", got, accepted)
	case err != nil && (!outdated || accepted.Revision+ticket.Revision(recent) > h.revision):
		return fmt.Sprintf("submitted again: %v", err)
	}
	return ""
}

// state describes everything that a refused ticket must not change.
func state(b *ticket.ConfigState) string {
	records, tombstones := b.Kept()
	return fmt.Sprint(b.Revision(), b.LowWatermark(), records, tombstones, inForce(b))
}

// TestBoundedStateNeverAcceptsOutdatedTickets compares a ConfigState with low limits with a model that keeps the
// complete history, also across restarts from a snapshot.
func TestBoundedStateNeverAcceptsOutdatedTickets(t *testing.T) {
	const records, recent, tombstones = 8, 3, 6
	rapid.Check(t, func(t *rapid.T) {
		b, h := ticket.NewSmallConfigState(records, recent, tombstones), newHistory()
		var sent []*ticket.Ticket
		first := &ticket.Ticket{Number: 1, Services: map[string]*ticket.Service{"a": {}, "b": {}}}
		submit(t, b, h, first, recent)
		for i := range rapid.IntRange(20, 60).Draw(t, "steps") {
			x := drawTicket(t, uint64(8+2*i))
			if len(sent) > 0 {
				earlier := rapid.SampledFrom(sent).Draw(t, "sent")
				switch rapid.IntRange(0, 5).Draw(t, "resubmit") {
				case 0:
					x = earlier
				case 1:
					x.Number = earlier.Number
				}
			}
			sent = append(sent, x)
			before := state(b)
			if accepted := submit(t, b, h, x, recent); !accepted && state(b) != before {
				t.Fatal("a refused ticket changed the state")
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b = restart(t, b)
			}
			r, n := b.Kept()
			if r > records || n > tombstones {
				t.Fatalf("kept %d records and %d tombstones", r, n)
			}
		}
	})
}

// submit checks x and the decision on it, applies it if it may be accepted, and reports whether it was accepted.
func submit(t *rapid.T, b *ticket.ConfigState, h *history, x *ticket.Ticket, recent int) bool {
	got, err := b.Check(x)
	if wrong := h.checkDecision(x, got, err, recent); wrong != "" {
		t.Fatalf("ticket %d: %s", x.Number, wrong)
	}
	if err != nil || got.Revision != 0 {
		return false
	}
	h.accept(x)
	if !b.Apply(ticket.Entry{Revision: h.revision, Ticket: x}) {
		t.Fatal("an accepted ticket was not applied")
	}
	if !maps.Equal(inForce(b), h.values) {
		t.Fatalf("in force: %v, want %v", inForce(b), h.values)
	}
	return true
}

// restart rebuilds the ConfigState from its snapshot.
func restart(t *rapid.T, b *ticket.ConfigState) *ticket.ConfigState {
	s, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := ticket.DecodeConfigState(s.Manifest, s.Chunks)
	if err != nil {
		t.Fatal(err)
	}
	restored.TakeLimits(b)
	return restored
}

// TestCloneIsIndependent checks that a change of a ConfigState doesn't change its clone, and that Apply refuses a gap
// in the revisions.
func TestCloneIsIndependent(t *testing.T) {
	is := is.New(t)
	b := ticket.NewConfigState()
	before := state(b)
	c := b.Clone()
	is.True(b.Apply(ticket.Entry{Revision: 1, Ticket: &ticket.Ticket{Number: 7, Services: map[string]*ticket.Service{"roster": {Floor: 1}}}}))
	is.Equal(state(c), before)
	is.True(state(b) != before)
	is.True(!b.Apply(ticket.Entry{Revision: 3})) // revision 2 is missing
	is.Equal(b.Revision(), ticket.Revision(1))
}
