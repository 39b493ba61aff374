package backend

import (
	"container/heap"
	"time"

	"amaranthstile/result"
)

const (
	// queuePerSlot and leastQueue bound how many requests of one client account wait for a backend server.
	queuePerSlot = 32
	leastQueue   = 64

	// A request costs its account's usual time over the usual time of all, within these bounds.
	leastCost  = 0.25
	mostCost   = 4.0
	costWeight = 0.05 // of one request in the usual times
)

// FairQueue shares the slots of a backend server among client accounts by start-time fair queueing: each request gets
// a start tag, which is the account's last finish tag or the queue's virtual time, whichever is later, and the
// free slot goes to the smallest start tag. An account that sends more than its share waits behind itself.
//
// FairQueue is a plain state machine and not safe for concurrent use; Slots is its concurrent form.
type FairQueue struct {
	slots    int
	running  int
	virtual  float64
	sequence uint64
	accounts map[string]*queueAccount
	waiting  waiterHeap
	usual    float64 // seconds that a request holds a slot
}

type queueAccount struct {
	name    string
	finish  float64
	waiting int
	running int
	usual   float64 // seconds
}

// Waiter is one request at a Queue.
type Waiter struct {
	account  *queueAccount
	start    float64
	finish   float64
	sequence uint64
	index    int // in the heap, -1 outside
	since    time.Time
	granted  chan struct{} // used by Slots
	holds    bool
}

// NewFairQueue returns a queue before a number of free slots.
func NewFairQueue(slots int) *FairQueue {
	return &FairQueue{slots: slots, accounts: make(map[string]*queueAccount)}
}

// Load returns the present load.
func (q *FairQueue) Load() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots}
}

// Arrive adds a request. A granted one holds a slot at once; any other waits until Release or SetSlots grants it.
// The error carries QueueFull, or BackendBusy where a claim won't wait or the wait would be longer than until the
// deadline; a zero deadline is none.
func (q *FairQueue) Arrive(now, deadline time.Time, c SlotRequest) (w *Waiter, granted bool, err error) {
	a := q.account(c.Account)
	w = &Waiter{account: a, index: -1}
	w.start = max(q.virtual, a.finish)
	w.finish = w.start + q.cost(a)/float64(max(c.Weight, 1))
	q.sequence++
	w.sequence = q.sequence
	if q.running < q.slots && len(q.waiting) == 0 {
		a.finish = w.finish
		q.grant(now, w)
		return w, true, nil
	}
	if c.NoWait {
		q.forget(a)
		return nil, false, result.New(result.BackendBusy, "no slot is free")
	}
	if err := q.refuse(now, deadline, w); err != nil {
		q.forget(a)
		return nil, false, err
	}
	a.finish = w.finish
	a.waiting++
	heap.Push(&q.waiting, w)
	return w, false, nil
}

func (q *FairQueue) refuse(now, deadline time.Time, w *Waiter) error {
	if w.account.waiting >= max(leastQueue, queuePerSlot*q.slots) {
		return result.New(result.QueueFull, "%d requests of the client account wait", w.account.waiting)
	}
	if deadline.IsZero() {
		return nil
	}
	if wait := q.wait(w); now.Add(wait).After(deadline) {
		return result.New(result.BackendBusy, "the wait of about %v is longer than the time left", wait)
	}
	return nil
}

// wait estimates the time until w would be granted.
func (q *FairQueue) wait(w *Waiter) time.Duration {
	ahead := 0
	for _, x := range q.waiting {
		if x.start <= w.start {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(q.slots) * q.usual * float64(time.Second))
}

func (q *FairQueue) account(name string) *queueAccount {
	a := q.accounts[name]
	if a == nil {
		a = &queueAccount{name: name}
		q.accounts[name] = a
	}
	return a
}

func (q *FairQueue) cost(a *queueAccount) float64 {
	if q.usual == 0 || a.usual == 0 {
		return 1
	}
	return min(max(a.usual/q.usual, leastCost), mostCost)
}

func (q *FairQueue) grant(now time.Time, w *Waiter) {
	w.holds = true
	w.since = now
	w.account.running++
	q.running++
	q.virtual = max(q.virtual, w.start)
}

// Cancel takes a waiting request out; one that holds a slot stays.
func (q *FairQueue) Cancel(w *Waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.waiting, w.index)
	w.account.waiting--
	if w.account.finish == w.finish {
		w.account.finish = w.start
	}
	q.forget(w.account)
}

// Release gives the slot of a request back and returns the requests that got one. A second release does nothing.
func (q *FairQueue) Release(now time.Time, w *Waiter) []*Waiter {
	if !w.holds {
		return nil
	}
	w.holds = false
	q.running--
	w.account.running--
	q.learn(w.account, now.Sub(w.since).Seconds())
	next := q.fill(now)
	q.forget(w.account)
	return next
}

func (q *FairQueue) learn(a *queueAccount, seconds float64) {
	for _, usual := range []*float64{&q.usual, &a.usual} {
		if *usual == 0 {
			*usual = seconds
		}
		*usual += costWeight * (seconds - *usual)
	}
}

// SetSlots changes the number of slots and returns the requests that got one.
func (q *FairQueue) SetSlots(now time.Time, slots int) []*Waiter {
	q.slots = slots
	return q.fill(now)
}

// fill grants the free slots.
func (q *FairQueue) fill(now time.Time) []*Waiter {
	var out []*Waiter
	for q.running < q.slots && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*Waiter)
		w.account.waiting--
		q.grant(now, w)
		out = append(out, w)
	}
	return out
}

// forget drops an account of which nothing is left to know.
func (q *FairQueue) forget(a *queueAccount) {
	if a.waiting == 0 && a.running == 0 && a.finish <= q.virtual {
		delete(q.accounts, a.name)
	}
}

// waiterHeap orders waiting requests by start tag and then by arrival.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
