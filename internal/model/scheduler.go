package model

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	seq uint64 // orders events at the same time
	run func()
}

// eventHeap orders events by time and, at the same time, by seq.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// scheduler runs functions in the order of their simulated times.
type scheduler struct {
	now    time.Duration // since the start
	events eventHeap
	seq    uint64
}

// clock returns the simulated time.
func (s *scheduler) clock() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// schedule runs f after a delay.
func (s *scheduler) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// step runs the next event.
func (s *scheduler) step() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.run()
}
