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

// run is one call of an operator at one instance, or a compaction.
type run struct {
	client *client
	ticket *ticket.Ticket // nil for a compaction
	book   *ticket.ConfigState
	record ticket.Record
	err    error
	done   bool
	// announced is the last announced revision; settled says what was told of it.
	announced ticket.Revision
	settled   map[ticket.Revision]bool
	next      func() (struct{}, bool)
	stop      func()
}

// trial follows what the platform really accepted.
type trial struct {
	*world
	truth    *ticket.ConfigState
	states   map[ticket.Revision]string
	accepted []*run // by revision, from 1
	runs     []*run
}

// announcer takes part as witnesses would; an announcement can fail like a call.
type announcer struct {
	trial *trial
	run   *run
}

func (a announcer) Announce(_ context.Context, e ticket.Entry) error {
	if err := a.run.client.turn(); err != nil {
		return err
	}
	a.run.announced = e.Revision
	return nil
}

func (a announcer) Resolved(e ticket.Entry, accepted bool) {
	if told, twice := a.run.settled[e.Revision]; twice && told != accepted {
		a.trial.t.Fatalf("revision %d was settled both ways", e.Revision)
	}
	a.run.settled[e.Revision] = accepted
}

func newTrial(t *rapid.T) *trial {
	x := &trial{world: newWorld(t), truth: ticket.NewConfigState(), states: map[ticket.Revision]string{}}
	x.states[0] = state(x.truth)
	x.wrote = x.note
	return x
}

// note checks each entry at the moment when it takes effect.
func (x *trial) note(c *client, name string, value []byte) {
	if name != ticket.HeadName {
		return
	}
	var e ticket.Entry
	if err := json.Unmarshal(value, &e); err != nil || e.Revision != x.truth.Revision()+1 {
		x.t.Fatalf("head went from revision %d to %d", x.truth.Revision(), e.Revision)
	}
	if r, err := x.truth.Check(e.Ticket); err != nil || r.Revision != 0 {
		x.t.Fatalf("revision %d must not be accepted: %v %v", e.Revision, r, err)
	}
	x.truth.Apply(e)
	x.states[e.Revision] = state(x.truth)
	if x.runs[c.id].announced < e.Revision {
		x.t.Fatalf("revision %d was not announced", e.Revision)
	}
	x.accepted = append(x.accepted, x.runs[c.id])
}

// add prepares a run of a book, which may be fresh, as after a restart.
func (x *trial) add(t *ticket.Ticket, b *ticket.ConfigState) *run {
	r := &run{ticket: t, book: b, settled: map[ticket.Revision]bool{}, client: &client{world: x.world, id: len(x.runs)}}
	log := ticket.NewLog(r.client, announcer{x, r})
	r.next, r.stop = r.client.start(func() {
		if t == nil {
			r.err = log.Compact(context.Background(), b.Clone())
		} else {
			r.record, r.err = log.Submit(context.Background(), b, t)
		}
		r.done = true
	})
	x.runs = append(x.runs, r)
	return r
}

// step lets a run make one call under a fault.
func (x *trial) step(r *run, f fault) (alive bool) {
	r.client.fault = f
	if _, ok := r.next(); ok {
		return true
	}
	x.judge(r)
	return false
}

// judge checks what an operator was told, when it was told.
func (x *trial) judge(r *run) {
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
	if got, ok := x.truth.Accepted(r.ticket.Number); !ok || got != r.record || got.Digest != r.ticket.Digest() {
		x.t.Fatalf("ticket %d was told %v, accepted is %v", r.ticket.Number, r.record, got)
	}
}

// end checks what can be told when every late write has taken effect or failed.
func (x *trial) end() {
	for _, late := range x.late {
		late()
	}
	x.checkSettled()
	for _, r := range x.accepted {
		if r.done && r.err != nil && !result.Is(r.err, result.TicketOutcomeUnknown) {
			x.t.Fatalf("ticket %d was accepted, and its operator was told %v", r.ticket.Number, r.err)
		}
	}
	x.sendAgain()
}

// checkSettled compares what announcers were told with what was accepted.
func (x *trial) checkSettled() {
	for _, r := range x.runs {
		for revision, told := range r.settled {
			if told != (int(revision) <= len(x.accepted) && x.accepted[revision-1].ticket.Digest() == r.ticket.Digest()) {
				x.t.Fatalf("revision %d was settled as accepted: %t", revision, told)
			}
		}
	}
}

// sendAgain sends each accepted ticket again from a new instance, and a new ticket at last.
func (x *trial) sendAgain() {
	for _, r := range append(x.accepted, nil) {
		var again *run
		if r == nil {
			again = x.add(&ticket.Ticket{Number: 1 << 40, Services: map[string]*ticket.Service{"last": {}}}, ticket.NewConfigState())
		} else {
			again = x.add(r.ticket, ticket.NewConfigState())
		}
		for x.step(again, fine) {
		}
		if again.err != nil || (r != nil && x.accepted[again.record.Revision-1] != r) {
			x.t.Fatalf("sent again: %v %v", again.record, again.err)
		}
	}
}

// TestSubmissionsRace runs operators at several instances, and compactions, against a faulty platform, with a
// chosen interleaving and fault at every call.
func TestSubmissionsRace(t *testing.T) {
	for range 3 { // three times rapid's default number of histories
		rapid.Check(t, raceOnce)
	}
}

func raceOnce(t *rapid.T) {
	x := newTrial(t)
	books := make([]*ticket.ConfigState, rapid.IntRange(1, 3).Draw(t, "instances"))
	for i := range books {
		books[i] = ticket.NewConfigState()
	}
	sent := []*ticket.Ticket{{Number: 1, Services: map[string]*ticket.Service{"a": {}, "b": {}}}}
	busy := make([]*run, len(books))
	for range rapid.IntRange(5, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, len(books)-1).Draw(t, "instance")
		if len(x.late) > 0 && rapid.IntRange(0, 7).Draw(t, "late") == 0 {
			x.late[0]()
			x.late = x.late[1:]
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
		f := fault(max(0, rapid.IntRange(-6, int(stale)).Draw(t, "fault")))
		if !x.step(busy[i], f) {
			busy[i] = nil
		} else if rapid.IntRange(0, 30).Draw(t, "crash") == 0 {
			busy[i].crash()
			books[i], busy[i] = ticket.NewConfigState(), nil
		}
	}
	for _, r := range busy {
		for r != nil && x.step(r, fine) {
		}
	}
	x.end()
}

// crash ends a run at its present call: its operator hears nothing.
func (r *run) crash() {
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
