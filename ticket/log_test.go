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

// operation is one submission by an operator at one instance, or a compaction.
type operation struct {
	client  *client
	ticket  *ticket.Ticket // nil for a compaction
	replica *ticket.ConfigState
	record  ticket.Record
	err     error
	done    bool
	// announced is the last announced revision; resolved holds the outcomes that were reported, by revision.
	announced ticket.Revision
	resolved  map[ticket.Revision]bool
	next      func() (struct{}, bool)
	stop      func()
}

// simulation runs operations and tracks which entries the platform accepted.
type simulation struct {
	*fakePlatform
	reference  *ticket.ConfigState
	states     map[ticket.Revision]string
	accepted   []*operation // by revision, from 1
	operations []*operation
}

// announcer records announcements in place of the witnesses. An announcement can fail like a call of the platform.
type announcer struct {
	simulation *simulation
	operation  *operation
}

func (a announcer) Announce(_ context.Context, e ticket.Entry) error {
	if err := a.operation.client.awaitScheduler(); err != nil {
		return err
	}
	a.operation.announced = e.Revision
	return nil
}

func (a announcer) Resolved(e ticket.Entry, accepted bool) {
	if before, ok := a.operation.resolved[e.Revision]; ok && before != accepted {
		a.simulation.t.Fatalf("revision %d was resolved both as accepted and as not accepted", e.Revision)
	}
	a.operation.resolved[e.Revision] = accepted
}

func newSimulation(t *rapid.T) *simulation {
	x := &simulation{fakePlatform: newFakePlatform(t), reference: ticket.NewConfigState(), states: map[ticket.Revision]string{}}
	x.states[0] = state(x.reference)
	x.onWrite = x.checkAcceptance
	return x
}

// checkAcceptance checks each entry at the moment when its write takes effect.
func (x *simulation) checkAcceptance(c *client, name string, value []byte) {
	if name != ticket.HeadName {
		return
	}
	var e ticket.Entry
	if err := json.Unmarshal(value, &e); err != nil || e.Revision != x.reference.Revision()+1 {
		x.t.Fatalf("the head changed from revision %d to %d", x.reference.Revision(), e.Revision)
	}
	if r, err := x.reference.Check(e.Ticket); err != nil || r.Revision != 0 {
		x.t.Fatalf("revision %d was accepted, but the reference refuses it: %v %v", e.Revision, r, err)
	}
	x.reference.Apply(e)
	x.states[e.Revision] = state(x.reference)
	if x.operations[c.id].announced < e.Revision {
		x.t.Fatalf("revision %d was accepted without an announcement", e.Revision)
	}
	x.accepted = append(x.accepted, x.operations[c.id])
}

// add prepares an operation on a ConfigState, which may be empty, as after a restart.
func (x *simulation) add(t *ticket.Ticket, replica *ticket.ConfigState) *operation {
	r := &operation{ticket: t, replica: replica, resolved: map[ticket.Revision]bool{}, client: &client{platform: x.fakePlatform, id: len(x.operations)}}
	log := ticket.NewLog(r.client, announcer{x, r})
	r.next, r.stop = r.client.start(func() {
		if t == nil {
			r.err = log.Compact(context.Background(), replica.Clone())
		} else {
			r.record, r.err = log.Submit(context.Background(), replica, t)
		}
		r.done = true
	})
	x.operations = append(x.operations, r)
	return r
}

// step lets an operation make one call under a fault, and reports whether it is still running.
func (x *simulation) step(r *operation, f fault) (running bool) {
	r.client.fault = f
	if _, ok := r.next(); ok {
		return true
	}
	x.checkOutcome(r)
	return false
}

// checkOutcome checks the result of an operation when it ends.
func (x *simulation) checkOutcome(r *operation) {
	if x.states[r.replica.Revision()] != state(r.replica) {
		x.t.Fatalf("at revision %d the state of an instance differs from the reference", r.replica.Revision())
	}
	if r.ticket == nil {
		return
	}
	if r.err != nil {
		_, refused := r.replica.Check(r.ticket)
		if refused != nil && result.Is(r.err, result.TicketOutcomeUnknown) {
			x.t.Fatalf("ticket %d is refused with %v, but its operator got %v", r.ticket.Number, refused, r.err)
		}
		return
	}
	if got, ok := x.reference.Accepted(r.ticket.Number); !ok || got != r.record || got.Digest != r.ticket.Digest() {
		x.t.Fatalf("ticket %d: its operator got record %v, accepted was %v", r.ticket.Number, r.record, got)
	}
}

// end applies the delayed writes and then checks the results of all operations.
func (x *simulation) end() {
	for _, write := range x.delayedWrites {
		write()
	}
	x.checkResolved()
	for _, r := range x.accepted {
		if r.done && r.err != nil && !result.Is(r.err, result.TicketOutcomeUnknown) {
			x.t.Fatalf("ticket %d was accepted, but its operator got %v", r.ticket.Number, r.err)
		}
	}
	x.resubmitAll()
}

// checkResolved compares the outcomes that were reported to the announcers with the accepted entries.
func (x *simulation) checkResolved() {
	for _, r := range x.operations {
		for revision, outcome := range r.resolved {
			if outcome != (int(revision) <= len(x.accepted) && x.accepted[revision-1].ticket.Digest() == r.ticket.Digest()) {
				x.t.Fatalf("revision %d was resolved with the wrong outcome %t", revision, outcome)
			}
		}
	}
}

// resubmitAll submits each accepted ticket again from a new instance, and finally a new ticket.
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
			x.t.Fatalf("submitted again: %v %v", again.record, again.err)
		}
	}
}

// TestConcurrentSubmissionsOnFaultyPlatform runs submissions at several instances, and compactions, on a faulty
// platform. The interleaving and the fault of every call are drawn at random.
func TestConcurrentSubmissionsOnFaultyPlatform(t *testing.T) {
	for range 3 { // three times rapid's default number of simulations
		rapid.Check(t, simulateSubmissions)
	}
}

// simulateSubmissions runs one simulation with a few instances, each of which runs one operation at a time.
func simulateSubmissions(t *rapid.T) {
	x := newSimulation(t)
	replicas := make([]*ticket.ConfigState, rapid.IntRange(1, 3).Draw(t, "instances"))
	for i := range replicas {
		replicas[i] = ticket.NewConfigState()
	}
	sent := []*ticket.Ticket{{Number: 1, Services: map[string]*ticket.Service{"a": {}, "b": {}}}}
	running := make([]*operation, len(replicas))
	for range rapid.IntRange(5, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, len(replicas)-1).Draw(t, "instance")
		if len(x.delayedWrites) > 0 && rapid.IntRange(0, 7).Draw(t, "apply a delayed write") == 0 {
			x.delayedWrites[0]()
			x.delayedWrites = x.delayedWrites[1:]
		}
		if running[i] == nil {
			var next *ticket.Ticket
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0: // a compaction
			case 1, 2, 3:
				next = rapid.SampledFrom(sent).Draw(t, "resubmit")
			case 4:
				replicas[i] = ticket.NewConfigState()
				next = rapid.SampledFrom(sent).Draw(t, "resubmit")
			default:
				next = drawTicket(t, uint64(len(sent)+4))
				sent = append(sent, next)
			}
			running[i] = x.add(next, replicas[i])
		}
		f := fault(max(0, rapid.IntRange(-6, int(staleRead)).Draw(t, "fault")))
		if !x.step(running[i], f) {
			running[i] = nil
		} else if rapid.IntRange(0, 30).Draw(t, "crash") == 0 {
			running[i].crash()
			replicas[i], running[i] = ticket.NewConfigState(), nil
		}
	}
	for _, r := range running {
		for r != nil && x.step(r, noFault) {
		}
	}
	x.end()
}

// crash ends an operation at its current call; its operator gets no result.
func (r *operation) crash() {
	r.stop()
	r.err, r.done = nil, false
}

// TestCompactionBoundsTheLog submits many tickets and checks that the number of stored objects and of the reads of a
// new instance stay bounded.
func TestCompactionBoundsTheLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := objects.NewMemory()
	log, replica := ticket.NewLog(store, nil), ticket.NewConfigState()
	const tickets, every = 2100, 512
	for n := range uint64(tickets) {
		x := &ticket.Ticket{Number: n + 1, Services: map[string]*ticket.Service{"s" + strconv.FormatUint(n%9, 10): {Floor: 0.5}}}
		r, err := log.Submit(ctx, replica, x)
		is.NoErr(err)
		if ticket.CompactionDue(r.Revision) {
			is.NoErr(log.Compact(ctx, replica.Clone()))
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
	is.Equal(state(fresh), state(replica))
	is.True(store.Calls()[objects.CallGet]-before < every)
}
