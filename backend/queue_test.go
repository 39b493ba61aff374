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

// queueModel is a FairQueue under test with the requests that should hold a slot or wait for one, in order of arrival.
type queueModel struct {
	*backend.FairQueue
	slots            int
	now              time.Time
	holding, waiting []*backend.Waiter
}

func (m *queueModel) arrive(t *rapid.T) {
	r := backend.SlotRequest{
		Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")),
		Weight:  rapid.IntRange(0, 3).Draw(t, "weight"),
	}
	w, granted, err := m.Arrive(m.now, time.Time{}, r)
	switch {
	case err != nil:
	case granted:
		m.holding = append(m.holding, w)
	default:
		m.waiting = append(m.waiting, w)
	}
}

// takeRandom removes a random waiter from a list and returns it, or nil if the list is empty.
func takeRandom(t *rapid.T, list *[]*backend.Waiter) *backend.Waiter {
	if len(*list) == 0 {
		return nil
	}
	n := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	w := (*list)[n]
	*list = slices.Delete(*list, n, n+1)
	return w
}

// moveToHolding notes that the waiters in list were granted slots.
func (m *queueModel) moveToHolding(t *rapid.T, list []*backend.Waiter) {
	for _, w := range list {
		n := slices.Index(m.waiting, w)
		if n < 0 {
			t.Fatal("a slot was granted to a request that was not waiting")
		}
		m.waiting = slices.Delete(m.waiting, n, n+1)
		m.holding = append(m.holding, w)
	}
}

// step performs one random operation.
func (m *queueModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1, 2:
		m.arrive(t)
	case 3:
		if w := takeRandom(t, &m.holding); w != nil {
			m.moveToHolding(t, m.Release(m.now, w))
			if len(m.Release(m.now, w)) > 0 {
				t.Fatal("a second release granted a slot")
			}
		}
	case 4:
		if w := takeRandom(t, &m.waiting); w != nil {
			m.Cancel(w)
		}
	case 5:
		m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
		m.moveToHolding(t, m.SetSlots(m.now, m.slots))
	}
}

// TestFairQueueInvariants runs random sequences of arrivals, releases, cancellations and changes of the number of
// slots. The load must always match the requests, and no slot may be free while a request waits.
func TestFairQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &queueModel{FairQueue: backend.NewFairQueue(slots), slots: slots, now: time.Unix(0, 0)}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			if l := m.Load(); l.Running != len(m.holding) || l.Waiting != len(m.waiting) || l.Slots != m.slots {
				t.Fatalf("load is %v, but %d requests hold a slot and %d wait", l, len(m.holding), len(m.waiting))
			}
			if len(m.holding) < m.slots && len(m.waiting) > 0 {
				t.Fatal("a slot is free while a request waits")
			}
		}
	})
}

// TestFairQueueLimitsRunningRequests checks that no more requests run than there are slots, also after the number of
// slots was reduced while all were taken.
func TestFairQueueLimitsRunningRequests(t *testing.T) {
	is := is.New(t)
	q := backend.NewFairQueue(2)
	now := time.Unix(0, 0)
	var holders []*backend.Waiter
	for range 10 {
		w, granted, err := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "a"})
		is.NoErr(err)
		if granted {
			holders = append(holders, w)
		}
	}
	is.Equal(len(holders), 2)
	is.Equal(len(q.SetSlots(now, 1)), 0)
	is.Equal(len(q.Release(now, holders[0])), 0) // one request still holds the only slot
	is.Equal(len(q.Release(now, holders[1])), 1)
}

// TestFairQueueServesOthersDespiteABacklog checks that a backlog of one account, whatever its length, does not delay
// the first request of another account beyond the fair share of the heavy account.
func TestFairQueueServesOthersDespiteABacklog(t *testing.T) {
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
				t.Fatalf("%d requests were granted slots first", n)
			}
			next := q.Release(now, running)
			running = next[0]
			granted = running == light
		}
	})
}

// TestFairQueueRefusals checks the limit of waiting requests per account and the refusal of requests whose estimated
// wait ends after their deadline.
func TestFairQueueRefusals(t *testing.T) {
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
	is.NoErr(err) // the limit applies to each account separately

	q = backend.NewFairQueue(1)
	w, _, _ := q.Arrive(now, time.Time{}, backend.SlotRequest{Account: "a"})
	q.Release(now.Add(time.Second), w) // the mean duration is now a second
	for range 4 {
		_, _, err = q.Arrive(now, now.Add(3*time.Second), backend.SlotRequest{Account: "a"})
		is.NoErr(err)
	}
	_, _, err = q.Arrive(now, now.Add(2*time.Second), backend.SlotRequest{Account: "a"})
	is.Equal(result.CodeOf(err), result.BackendBusy) // three waiting requests are ahead of it
	_, _, err = q.Arrive(now, now.Add(2*time.Second), backend.SlotRequest{Account: "b"})
	is.NoErr(err) // a request of another account is ahead of two of them
}

// TestFairGateUnderCancellation cancels many requests at arbitrary moments and checks that no slot is lost or granted
// twice.
func TestFairGateUnderCancellation(t *testing.T) {
	is := is.New(t)
	s := backend.NewFairGate(3)
	var running, most atomic.Int64
	var done sync.WaitGroup
	for n := range 300 {
		done.Go(func() {
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
			release() // a second call does nothing
		})
	}
	done.Wait()
	is.True(most.Load() <= 3)
	is.Equal(s.Load(), backend.Load{Slots: 3})
}
