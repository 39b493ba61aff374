package admission

import "time"

const (
	// windowParts is the number of parts into which the window of a RetryBudget is divided. Counts expire one part at a
	// time.
	windowParts = 10
	// retryParts is the number of parts in which retries are counted. The current part is incomplete, so that one part
	// more than the window has is needed to count every retry of a whole window.
	retryParts = windowParts + 1
)

// budgetMargin is the share of the bound that is used. The nested calls of a retried request count as retries too, and
// are counted by their probability only; an instance that restarts forgets its count. The margin leaves room for both.
const budgetMargin = 0.85

// RetryBound limits how many retries may arrive in any window.
type RetryBound struct {
	// Window is the length of the window; 0 means that retries are not limited.
	Window time.Duration
	// Ratio is the allowed number of retries per first attempt.
	Ratio float64
	// Slack is the number of retries that are allowed in addition.
	Slack float64
}

// RetryBudget limits the retries at one backend server by the number of first attempts that arrive there. The zero value
// is empty.
type RetryBudget struct {
	firstAttempts [windowParts]float64 // by part of the window
	retries       [retryParts]float64  // by part of the window and the one before it
	currentPart   int64                // number of the latest part, from 0 at begin
	begin         time.Time
	window        time.Duration // of the bound that the parts belong to
}

// restart begins anew with another window. It keeps the retries, which may have been sent just now.
func (b *RetryBudget) restart(now time.Time, window time.Duration) {
	retries := 0.0
	for _, n := range b.retries {
		retries += n
	}
	*b = RetryBudget{begin: now, window: window}
	b.retries[0] = retries
}

// advance clears the parts that have left the window and returns the number of the current part.
func (b *RetryBudget) advance(now time.Time, bound RetryBound) int64 {
	if b.window != bound.Window {
		b.restart(now, bound.Window)
	}
	part := int64(now.Sub(b.begin) / (bound.Window / windowParts))
	for n := max(b.currentPart+1, part-retryParts+1); n <= part; n++ {
		b.firstAttempts[n%windowParts], b.retries[n%retryParts] = 0, 0
	}
	b.currentPart = max(b.currentPart, part)
	return b.currentPart
}

// RecordFirst counts a first attempt.
func (b *RetryBudget) RecordFirst(now time.Time, bound RetryBound) {
	if bound.Window > 0 {
		b.firstAttempts[b.advance(now, bound)%windowParts]++
	}
}

// RecordRetries counts retries that are not refused, or the part of a request that probably is one.
func (b *RetryBudget) RecordRetries(now time.Time, bound RetryBound, n float64) {
	if bound.Window > 0 && n > 0 {
		b.retries[b.advance(now, bound)%retryParts] += n
	}
}

// lessUrgentShare is the share of the bound that retries may use while more urgent requests are in use. It answers a
// service whose backend servers reject requests for seconds: the bound then allows few retries, and the last of them go to
// the most urgent requests.
const lessUrgentShare = 0.6

// AllowRetry reports whether the bound allows a retry now, and counts it if so. With lessUrgent, more urgent requests are
// in use than the one to retry.
func (b *RetryBudget) AllowRetry(now time.Time, bound RetryBound, lessUrgent bool) bool {
	if bound.Window == 0 {
		return true
	}
	part := b.advance(now, bound)
	first, retries := 0.0, 0.0
	for _, n := range b.firstAttempts {
		first += n
	}
	for _, n := range b.retries {
		retries += n
	}
	allowed := budgetMargin * (bound.Ratio*first + bound.Slack)
	if lessUrgent {
		allowed *= lessUrgentShare
	}
	if retries+1 > allowed {
		return false
	}
	b.retries[part%retryParts]++
	return true
}
