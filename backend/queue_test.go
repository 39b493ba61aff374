package backend_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"

	"amaranthstile/backend"
	"amaranthstile/result"
)

// queueHistory is a queue with the requests that hold a slot or wait for one, in the order of their arrival.
type queueHistory struct {
	*backend.FairQueue
	slots            int
	now              time.Time
	holding, waiting []*backend.Waiter
}

func (h *queueHistory) arrive(t *rapid.T) {
	c := backend.SlotRequest{Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), Weight: rapid.IntRange(0, 3).Draw(t, "weight")}
	w, granted, err := h.Arrive(h.now, time.Time{}, c)
	switch {
	case err != nil:
	case granted:
		h.holding = append(h.holding, w)
	default:
		h.waiting = append(h.waiting, w)
	}
}

// take removes and returns one of a list, nil from an empty one.
func take(t *rapid.T, list *[]*backend.Waiter) *backend.Waiter {
	if len(*list) == 0 {
		return nil
	}
	n := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	w := (*list)[n]
	*list = slices.Delete(*list, n, n+1)
	return w
}

func (h *queueHistory) granted(t *rapid.T, list []*backend.Waiter) {
	for _, w := range list {
		n := slices.Index(h.waiting, w)
		if n < 0 {
			t.Fatal("granted a request that does not wait")
		}
		h.waiting = slices.Delete(h.waiting, n, n+1)
		h.holding = append(h.holding, w)
	}
}

func (h *queueHistory) step(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1, 2:
		h.arrive(t)
	case 3:
		if w := take(t, &h.holding); w != nil {
			h.granted(t, h.Release(h.now, w))
			if len(h.Release(h.now, w)) > 0 {
				t.Fatal("a second release granted a slot")
			}
		}
	case 4:
		if w := take(t, &h.waiting); w != nil {
			h.Cancel(w)
		}
	case 5:
		h.slots = rapid.IntRange(1, 4).Draw(t, "slots")
		h.granted(t, h.SetSlots(h.now, h.slots))
	}
}

// TestQueueKeepsItsPromises runs random histories of arrivals, releases, leaves and changed slots.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		h := &queueHistory{FairQueue: backend.NewFairQueue(slots), slots: slots, now: time.Unix(0, 0)}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h.step(t)
			if l := h.Load(); l.Running != len(h.holding) || l.Waiting != len(h.waiting) || l.Slots != h.slots {
				t.Fatalf("load %v, but %d hold and %d wait", l, len(h.holding), len(h.waiting))
			}
			if len(h.holding) < h.slots && len(h.waiting) > 0 {
				t.Fatal("a slot is free while a request waits")
			}
		}
	})
}

// TestQueueNeverGrantsBeyondItsSlots holds while the number of slots stays.
func TestQueueNeverGrantsBeyondItsSlots(t *testing.T) {
	is := is.New(t)
	q := backend.NewFairQueue(2)
	now := time.Unix(0, 0)
	var held []*backend.Waiter
	for range 10 {
		w, granted, err := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "a"})
		is.NoErr(err)
		if granted {
			held = append(held, w)
		}
	}
	is.Equal(len(held), 2)
	is.Equal(len(q.SetSlots(now, 1)), 0)
	is.Equal(len(q.Release(now, held[0])), 0) // one slot, one request runs
	is.Equal(len(q.Release(now, held[1])), 1)
}

// TestQueueServesOthersBesideABacklog: whatever backlog one account has, another account's request that arrives is
// among the next grants of its share.
func TestQueueServesOthersBesideABacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := backend.NewFairQueue(1)
		now := time.Unix(0, 0)
		weight := rapid.IntRange(1, 4).Draw(t, "weight of the heavy account")
		running, _, _ := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "heavy", Weight: weight})
		for range rapid.IntRange(0, 60).Draw(t, "backlog") {
			_, _, _ = q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "heavy", Weight: weight})
		}
		served := rapid.IntRange(0, 20).Draw(t, "served before")
		for range served {
			if next := q.Release(now, running); len(next) == 1 {
				running = next[0]
			}
		}
		light, granted, err := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "light", Weight: 1})
		if err != nil {
			t.Fatal(err)
		}
		for n := 0; !granted; n++ {
			if n > weight+1 {
				t.Fatalf("%d grants went before", n)
			}
			next := q.Release(now, running)
			running = next[0]
			granted = running == light
		}
	})
}

func TestQueueRefusals(t *testing.T) {
	is := is.New(t)
	q := backend.NewFairQueue(1)
	now := time.Unix(0, 0)
	for account, code := range map[string]result.Code{"a": result.QueueFull} {
		var err error
		for range 100 {
			_, _, err = q.Arrive(now, time.Time{}, backend.SlotRequest{Account: account})
		}
		is.Equal(result.CodeOf(err), code)
	}
	_, _, err := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "b"})
	is.NoErr(err) // the bound is each account's own

	q = backend.NewFairQueue(1)
	w, _, _ := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "a"})
	q.Release(now.Add(time.Second), w) // a request takes a second
	for range 4 {
		_, _, err = q.Arrive(now, now.Add(3*time.Second), backend.SlotRequest{Account: "a"})
		is.NoErr(err)
	}
	_, _, err = q.Arrive(now, now.Add(2*time.Second), backend.SlotRequest{Account: "a"})
	is.Equal(result.CodeOf(err), result.BackendBusy) // three wait before it
	_, _, err = q.Arrive(now, now.Add(2*time.Second), backend.SlotRequest{Account: "b"})
	is.NoErr(err) // another account goes ahead of two of them
}

// TestSlotsUnderCancellation lets many requests give up at any moment and looks for lost or doubled slots.
func TestSlotsUnderCancellation(t *testing.T) {
	is := is.New(t)
	s := backend.NewFairGate(3)
	var running, most atomic.Int64
	var all sync.WaitGroup
	for n := range 300 {
		all.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			if n%3 == 0 {
				go cancel()
			}
			defer cancel()
			release, err := s.Acquire(ctx, backend.SlotRequest{Account: fmt.Sprint(n % 7), Weight: 1})
			if err != nil {
				return
			}
			now := running.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			running.Add(-1)
			release()
			release() // a second one does nothing
		})
	}
	all.Wait()
	is.True(most.Load() <= 3)
	is.Equal(s.Load(), backend.Load{Slots: 3})
}
