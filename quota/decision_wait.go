package quota

import (
	"context"
	"time"
)

const (
	// targetFraction is the part of a request's target that it may wait for the decision; a later refusal has a cost for the
	// caller.
	targetFraction = 8
	// minDecisionWait is how long a request may wait even if its target is short: a machine with a fraction of a core may take
	// that long for a call.
	minDecisionWait = 100 * time.Millisecond
	// maxAsks bounds how often one request asks its coordinator.
	maxAsks = 3
)

// targetKey is the key of the target in a context.
type targetKey struct{}

// WithTarget returns a context that tells an Admitter the target latency of a request; 0 means that it has none.
func WithTarget(ctx context.Context, target time.Duration) context.Context {
	if target <= 0 {
		return ctx
	}
	return context.WithValue(ctx, targetKey{}, target)
}

// targetOf returns the target latency that WithTarget has set, or 0.
func targetOf(ctx context.Context) time.Duration {
	target, _ := ctx.Value(targetKey{}).(time.Duration)
	return target
}

// DecisionWait decides how long a request waits for the decision of its coordinator, and whether it asks once more after a
// refusal. It is a plain state machine and not safe for concurrent use.
type DecisionWait struct {
	until time.Time
	asks  int // that are left after a refusal
}

// NewDecisionWait returns the wait of a request that arrives now. Without a target, it waits as long as a call may take, and
// does not ask again.
func NewDecisionWait(ctx context.Context, now time.Time) *DecisionWait {
	if target := targetOf(ctx); target > 0 {
		return &DecisionWait{until: now.Add(max(target/targetFraction, minDecisionWait)), asks: maxAsks - 1}
	}
	return &DecisionWait{until: now.Add(ReportCallTimeout)}
}

// Left returns how long the request may still wait.
func (w *DecisionWait) Left(now time.Time) time.Duration { return w.until.Sub(now) }

// AskAgain reports whether a request that was refused now, with a token expected after some time, waits for that and asks
// again. The limiter of its account bounds how many do.
func (w *DecisionWait) AskAgain(now time.Time, after time.Duration, l *LocalLimiter) bool {
	if w.asks == 0 || !now.Add(after).Before(w.until) || !l.TakeAskAgain() {
		return false
	}
	w.asks--
	return true
}
