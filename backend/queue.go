package backend

import (
	"container/heap"
	"time"

	"amaranthstile/result"
)

const (
	// A client account may have up to maxWaitingPerSlot waiting requests per slot of a backend server, and never
	// fewer than minWaitingLimit.
	maxWaitingPerSlot = 32
	minWaitingLimit   = 64

	// The cost of a request is the mean duration of its account's requests divided by the mean duration of all
	// requests, limited to minCost and maxCost.
	minCost = 0.25
	maxCost = 4.0
	// durationWeight is the weight of one request in the moving averages of durations.
	durationWeight = 0.05
)

// FairQueue shares the slots of a backend server among client accounts by start-time fair queueing: each request gets
// a start tag, which is the later of the account's last finish tag and the queue's virtual time, and a free slot goes
// to the request with the smallest start tag. An account that exceeds its share only delays its own requests.
//
// FairQueue is a plain state machine and not safe for concurrent use; FairGate is the concurrent form.
type FairQueue struct {
	slots        int
	running      int
	virtualTime  float64
	sequence     uint64
	accounts     map[string]*queueAccount
	waiting      waiterHeap
	meanDuration float64 // moving average of the seconds that a request holds a slot
}

// queueAccount is the state of one client account.
type queueAccount struct {
	name          string
	lastFinishTag float64
	waiting       int
	running       int
	meanDuration  float64 // the same moving average for this account, in seconds
}

// Waiter is one request in a FairQueue, waiting or holding a slot.
type Waiter struct {
	account   *queueAccount
	startTag  float64
	finishTag float64
	sequence  uint64
	index     int // position in the heap, -1 if not in it
	grantedAt time.Time
	granted   chan struct{} // closed when the slot is granted; set by FairGate only
	holdsSlot bool
}

// NewFairQueue returns an empty queue for the given number of slots, all free.
func NewFairQueue(slots int) *FairQueue {
	return &FairQueue{slots: slots, accounts: make(map[string]*queueAccount)}
}

// Load returns the current load.
func (q *FairQueue) Load() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots}
}

// Arrive adds a request. If granted is true, the request holds a slot; otherwise it waits until Release or SetSlots
// grants one. The error carries QueueFull, or BackendBusy if the request must not wait or its estimated wait ends
// after the deadline. A zero deadline means no deadline.
func (q *FairQueue) Arrive(now, deadline time.Time, r SlotRequest) (w *Waiter, granted bool, err error) {
	a := q.accountFor(r.Account)
	w = &Waiter{account: a, index: -1}
	w.startTag = max(q.virtualTime, a.lastFinishTag)
	w.finishTag = w.startTag + q.cost(a)/float64(max(r.Weight, 1))
	q.sequence++
	w.sequence = q.sequence
	if q.running < q.slots && len(q.waiting) == 0 {
		a.lastFinishTag = w.finishTag
		q.grant(now, w)
		return w, true, nil
	}
	if r.NoWait {
		q.dropIfIdle(a)
		return nil, false, result.New(result.BackendBusy, "no slot is free")
	}
	if err := q.checkWait(now, deadline, w); err != nil {
		q.dropIfIdle(a)
		return nil, false, err
	}
	a.lastFinishTag = w.finishTag
	a.waiting++
	heap.Push(&q.waiting, w)
	return w, false, nil
}

// checkWait returns an error if a request may not wait: its account's queue is full, or its wait would end too late.
func (q *FairQueue) checkWait(now, deadline time.Time, w *Waiter) error {
	if w.account.waiting >= max(minWaitingLimit, maxWaitingPerSlot*q.slots) {
		return result.New(result.QueueFull, "the client account already has %d waiting requests", w.account.waiting)
	}
	if deadline.IsZero() {
		return nil
	}
	if wait := q.estimateWait(w); now.Add(wait).After(deadline) {
		return result.New(result.BackendBusy, "the estimated wait of %v exceeds the remaining time", wait)
	}
	return nil
}

// estimateWait estimates the time until w is granted a slot.
func (q *FairQueue) estimateWait(w *Waiter) time.Duration {
	ahead := 0
	for _, x := range q.waiting {
		if x.startTag <= w.startTag {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(q.slots) * q.meanDuration * float64(time.Second))
}

// accountFor returns the state of an account and creates it if needed.
func (q *FairQueue) accountFor(name string) *queueAccount {
	a := q.accounts[name]
	if a == nil {
		a = &queueAccount{name: name}
		q.accounts[name] = a
	}
	return a
}

// cost returns the cost of one request of an account, 1 for an average one.
func (q *FairQueue) cost(a *queueAccount) float64 {
	if q.meanDuration == 0 || a.meanDuration == 0 {
		return 1
	}
	return min(max(a.meanDuration/q.meanDuration, minCost), maxCost)
}

// grant gives w a slot and advances the virtual time.
func (q *FairQueue) grant(now time.Time, w *Waiter) {
	w.holdsSlot = true
	w.grantedAt = now
	w.account.running++
	q.running++
	q.virtualTime = max(q.virtualTime, w.startTag)
}

// Cancel removes a waiting request; it does nothing for a request that holds a slot.
func (q *FairQueue) Cancel(w *Waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.waiting, w.index)
	w.account.waiting--
	if w.account.lastFinishTag == w.finishTag {
		w.account.lastFinishTag = w.startTag
	}
	q.dropIfIdle(w.account)
}

// Release frees the slot of a request and returns the requests that were granted one. A second call does nothing.
func (q *FairQueue) Release(now time.Time, w *Waiter) []*Waiter {
	if !w.holdsSlot {
		return nil
	}
	w.holdsSlot = false
	q.running--
	w.account.running--
	q.recordDuration(w.account, now.Sub(w.grantedAt).Seconds())
	next := q.grantFreeSlots(now)
	q.dropIfIdle(w.account)
	return next
}

// recordDuration adds the time that a request held its slot to the moving averages of the queue and the account.
func (q *FairQueue) recordDuration(a *queueAccount, seconds float64) {
	for _, mean := range []*float64{&q.meanDuration, &a.meanDuration} {
		if *mean == 0 {
			*mean = seconds
		}
		*mean += durationWeight * (seconds - *mean)
	}
}

// SetSlots changes the number of slots and returns the requests that were granted one.
func (q *FairQueue) SetSlots(now time.Time, slots int) []*Waiter {
	q.slots = slots
	return q.grantFreeSlots(now)
}

// grantFreeSlots grants the free slots to waiting requests and returns those requests.
func (q *FairQueue) grantFreeSlots(now time.Time) []*Waiter {
	var out []*Waiter
	for q.running < q.slots && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*Waiter)
		w.account.waiting--
		q.grant(now, w)
		out = append(out, w)
	}
	return out
}

// dropIfIdle deletes an account without requests whose finish tag no longer affects a new start tag.
func (q *FairQueue) dropIfIdle(a *queueAccount) {
	if a.waiting == 0 && a.running == 0 && a.lastFinishTag <= q.virtualTime {
		delete(q.accounts, a.name)
	}
}

// waiterHeap orders waiting requests by start tag and then by arrival.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
