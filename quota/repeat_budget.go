package quota

import "time"

// RepeatBudget bounds how many of the attempts to call one coordinator repeat a report. Without it, a coordinator that has too
// little processor time for its calls would get several times as many, from all instances at once. The zero value is full.
type RepeatBudget struct{ spent float64 }

const (
	// maxRepeats is how many repetitions may follow each other, on top of those that each call earns.
	maxRepeats = 20
	// minRepeats is how many each call may make: one by a relay, and one that may be answered late.
	minRepeats = 2
	// repeatsPerCall is what each call earns. A path that loses 12 of 100 packets each way needs about 0.5.
	repeatsPerCall = 1
)

// Begin returns how many repetitions a call that begins may make.
func (b *RepeatBudget) Begin() int {
	b.spent = max(b.spent-repeatsPerCall, 0)
	return max(int(maxRepeats-b.spent), minRepeats)
}

// Spend records a repetition.
func (b *RepeatBudget) Spend() { b.spent = min(b.spent+1, maxRepeats) }

// ReplyTime estimates the usual time of a direct reply: the shortest one of late, so that retransmissions do not count. The
// zero value has seen none.
type ReplyTime struct{ usual time.Duration }

const (
	// replyTimeGrowth is the fraction by which a longer reply may raise the estimate.
	replyTimeGrowth = 0.25
	// minReplyTimeStep is the least by which one may raise it.
	minReplyTimeStep = time.Millisecond
	// maxRepeatDelay bounds the delay of repetitions on a slow path, so that a few fit into a call.
	maxRepeatDelay = 90 * time.Millisecond
)

// Observe records the time of a direct reply.
func (t *ReplyTime) Observe(took time.Duration) {
	if t.usual == 0 || took < t.usual {
		t.usual = took
		return
	}
	t.usual = min(took, t.usual+max(time.Duration(replyTimeGrowth*float64(t.usual)), minReplyTimeStep))
}

// RepeatDelay returns how long an attempt may take before the report is repeated.
func (t *ReplyTime) RepeatDelay() time.Duration {
	return min(max(2*t.usual, repeatDelay), maxRepeatDelay)
}
