package ticket_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/result"
	objects "amaranthstile/store"
	"amaranthstile/ticket"
)

// operation is one call of an operator at one instance, or a compaction.
type operation struct {
	client *client
	ticket *ticket.Ticket // nil for a compaction
	book   *ticket.ConfigState
	record ticket.Record
	err    error
	done   bool
	// announced is the last announced revision; settled says what was told of it.
	announced ticket.Revision
	resolved   map[ticket.Revision]bool
	next      func() (struct{}, bool)
	stop      func()
}

// simulation follows what the platform really accepted.
type simulation struct {
	*fakePlatform
	reference    *ticket.ConfigState
	states   map[ticket.Revision]string
	accepted []*operation // by revision, from 1
	operations     []*operation
}

// announcer takes part as witnesses would; an announcement can fail like a call.
type announcer struct {
	simulation *simulation
	operation   *operation
}

func (a announcer) Announce(_ context.Context, e ticket.Entry) error {
	if err := a.operation.client.awaitScheduler(); err != nil {
		return err
	}
	a.operation.announced = e.Revision
	return nil
}

func (a announcer) Resolved(e ticket.Entry, accepted bool) {
	if told, twice := a.operation.resolved[e.Revision]; twice && told != accepted {
		a.simulation.t.Fatalf("revision %d was settled both ways", e.Revision)
	}
	a.operation.resolved[e.Revision] = accepted
}

func newSimulation(t *rapid.T) *simulation {
	x := &simulation{fakePlatform: newFakePlatform(t), reference: ticket.NewConfigState(), states: map[ticket.Revision]string{}}
	x.states[0] = state(x.reference)
	x.onWrite = x.checkAcceptance
	return x
}

// checkAcceptance checks each entry at the moment when it takes effect.
func (x *simulation) checkAcceptance(c *client, name string, value []byte) {
	if name != ticket.HeadName {
		return
	}
	var e ticket.Entry
	if err := json.Unmarshal(value, &e); err != nil || e.Revision != x.reference.Revision()+1 {
		x.t.Fatalf("head went from revision %d to %d", x.reference.Revision(), e.Revision)
	}
	if r, err := x.reference.Check(e.Ticket); err != nil || r.Revision != 0 {
		x.t.Fatalf("revision %d must not be accepted: %v %v", e.Revision, r, err)
	}
	x.reference.Apply(e)
	x.states[e.Revision] = state(x.reference)
	if x.operations[c.id].announced < e.Revision {
		x.t.Fatalf("revision %d was not announced", e.Revision)
	}
	x.accepted = append(x.accepted, x.operations[c.id])
}

// add prepares a run of a book, which may be fresh, as after a restart.
func (x *simulation) add(t *ticket.Ticket, b *ticket.ConfigState) *operation {
	r := &operation{ticket: t, book: b, resolved: map[ticket.Revision]bool{}, client: &client{world: x.fakePlatform, id: len(x.operations)}}
	log := ticket.NewLog(r.client, announcer{x, r})
	r.next, r.stop = r.client.start(func() {
		if t == nil {
			r.err = log.Compact(context.Background(), b.Clone())
		} else {
			r.record, r.err = log.Submit(context.Background(), b, t)
		}
		r.done = true
	})
	x.operations = append(x.operations, r)
	return r
}

// step lets a run make one call under a fault.
func (x *simulation) step(r *operation, f fault) (alive bool) {
	r.client.fault = f
	if _, ok := r.next(); ok {
		return true
	}
	x.checkOutcome(r)
	return false
}

// checkOutcome checks what an operator was told, when it was told.
func (x *simulation) checkOutcome(r *operation) {
	if x.states[r.book.Revision()] != state(r.book) {
		x.t.Fatalf("at revision %d an instance holds another state", r.book.Revision())
	}
	if r.ticket == nil {
		return
	}
	if r.err != nil {
		_, refused := r.book.Check(r.ticket)
		if refused != nil && result.Is(r.err, result.TicketOutcomeUnknown) {
			x.t.Fatalf("ticket %d is refused with %v, and its operator was told %v", r.ticket.Number, refused, r.err)
		}
		return
	}
	if got, ok := x.reference.Accepted(r.ticket.Number); !ok || got != r.record || got.Digest != r.ticket.Digest() {
		x.t.Fatalf("ticket %d was told %v, accepted is %v", r.ticket.Number, r.record, got)
	}
}

// end checks what can be told when every late write has taken effect or failed.
func (x *simulation) end() {
	for _, late := range x.delayedWrites {
		late()
	}
	x.checkResolved()
	for _, r := range x.accepted {
		if r.done && r.err != nil && !result.Is(r.err, result.TicketOutcomeUnknown) {
			x.t.Fatalf("ticket %d was accepted, and its operator was told %v", r.ticket.Number, r.err)
		}
	}
	x.resubmitAll()
}

// checkResolved compares what announcers were told with what was accepted.
func (x *simulation) checkResolved() {
	for _, r := range x.operations {
		for revision, told := range r.resolved {
			if told != (int(revision) <= len(x.accepted) && x.accepted[revision-1].ticket.Digest() == r.ticket.Digest()) {
				x.t.Fatalf("revision %d was settled as accepted: %t", revision, told)
			}
		}
	}
}

// resubmitAll sends each accepted ticket again from a new instance, and a new ticket at last.
func (x *simulation) resubmitAll() {
	for _, r := range append(x.accepted, nil) {
		var again *operation
		if r == nil {
			again = x.add(&ticket.Ticket{Number: 1 << 40, Services: map[string]*ticket.Service{"last": {}}}, ticket.NewConfigState())
		} else {
			again = x.add(r.ticket, ticket.NewConfigState())
		}
		for x.step(again, noFault) {
		}
		if again.err != nil || (r != nil && x.accepted[again.record.Revision-1] != r) {
			x.t.Fatalf("sent again: %v %v", again.record, again.err)
		}
	}
}

// TestConcurrentSubmissionsOnFaultyPlatform runs operators at several instances, and compactions, against a faulty platform, with a
// chosen interleaving and fault at every call.
func TestConcurrentSubmissionsOnFaultyPlatform(t *testing.T) {
	for range 3 { // three times rapid's default number of histories
		rapid.Check(t, simulateSubmissions)
	}
}

func simulateSubmissions(t *rapid.T) {
	x := newSimulation(t)
	books := make([]*ticket.ConfigState, rapid.IntRange(1, 3).Draw(t, "instances"))
	for i := range books {
		books[i] = ticket.NewConfigState()
	}
	sent := []*ticket.Ticket{{Number: 1, Services: map[string]*ticket.Service{"a": {}, "b": {}}}}
	busy := make([]*operation, len(books))
	for range rapid.IntRange(5, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, len(books)-1).Draw(t, "instance")
		if len(x.delayedWrites) > 0 && rapid.IntRange(0, 7).Draw(t, "late") == 0 {
			x.delayedWrites[0]()
			x.delayedWrites = x.delayedWrites[1:]
		}
		if busy[i] == nil {
			var next *ticket.Ticket
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // a compaction
			case 1, 2, 3:
				next = rapid.SampledFrom(sent).Draw(t, "again")
			case 4:
				books[i] = ticket.NewConfigState()
				next = rapid.SampledFrom(sent).Draw(t, "again")
			default:
				next = drawTicket(t, uint64(len(sent)+4))
				sent = append(sent, next)
			}
			busy[i] = x.add(next, books[i])
		}
		f := fault(max(0, rapid.IntRange(-6, int(staleRead)).Draw(t, "fault")))
		if !x.step(busy[i], f) {
			busy[i] = nil
		} else if rapid.IntRange(0, 30).Draw(t, "crash") == 0 {
			busy[i].crash()
			books[i], busy[i] = ticket.NewConfigState(), nil
		}
	}
	for _, r := range busy {
		for r != nil && x.step(r, noFault) {
		}
	}
	x.end()
}

// crash ends a run at its present call: its operator hears nothing.
func (r *operation) crash() {
	r.stop()
	r.err, r.done = nil, false
}

// TestCompactionBoundsTheLog records many tickets: what is stored, and what a new instance reads, stays bounded.
func TestCompactionBoundsTheLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := objects.NewMemory()
	log, book := ticket.NewLog(store, nil), ticket.NewConfigState()
	const tickets, every = 2100, 512
	for n := range uint64(tickets) {
		x := &ticket.Ticket{Number: n + 1, Services: map[string]*ticket.Service{"s" + strconv.FormatUint(n%9, 10): {Floor: 0.5}}}
		r, err := log.Submit(ctx, book, x)
		is.NoErr(err)
		if ticket.CompactionDue(r.Revision) {
			is.NoErr(log.Compact(ctx, book.Clone()))
		}
	}
	entries, err := store.List(ctx, "ticket/log/")
	is.NoErr(err)
	is.True(len(entries) < 2*every)
	chunks, err := store.List(ctx, "ticket/snapshot/")
	is.NoErr(err)
	is.Equal(len(chunks), 3) // two snapshots of one chunk, and the head
	before := store.Calls()[objects.CallGet]
	fresh := ticket.NewConfigState()
	h, err := log.Head(ctx)
	is.NoErr(err)
	is.NoErr(log.CatchUp(ctx, fresh, h))
	is.Equal(state(fresh), state(book))
	is.True(store.Calls()[objects.CallGet]-before < every)
}
