package admission

import (
	"container/heap"
	"slices"
	"time"
)

// slotSchedule estimates when the slots of a backend server become free: each request in turn takes the slot that
// becomes free first and keeps it for its expected duration. With several slots, the first one becomes free long before
// the average request that holds one ends, so that an urgent request waits for a short time only, however long the other
// requests take.
type slotSchedule struct{ free slotHeap }

// newSlotSchedule returns the schedule of so many slots, given the expected rest of each running request. It keeps rest.
func newSlotSchedule(slots int, rest []time.Duration) *slotSchedule {
	slots = max(slots, 1)
	if excess := len(rest) - slots; excess > 0 {
		// the number of slots was reduced: none is granted before so many requests have ended
		slices.Sort(rest)
		rest = rest[excess:]
	}
	for len(rest) < slots {
		rest = append(rest, 0)
	}
	s := &slotSchedule{free: rest}
	heap.Init(&s.free)
	return s
}

// next returns the time from now until the next request gets a slot.
func (s *slotSchedule) next() time.Duration { return s.free[0] }

// add gives the next slot to a request with an expected duration.
func (s *slotSchedule) add(duration time.Duration) {
	s.free[0] += duration
	heap.Fix(&s.free, 0)
}

// slotHeap is a min-heap of the times until slots become free. It implements heap.Interface.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(a, b int) bool { return h[a] < h[b] }
func (h slotHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface; the number of slots does not change.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
