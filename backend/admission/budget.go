package admission

import "time"

// buckets is into how many parts the window of a Budget is divided; what is counted ages by one part at a time.
const buckets = 10

// budgetMargin is the share of the bound that is used: calls that a repeated request makes count as repeats, too, and can't
// be told apart here.
const budgetMargin = 0.75

// RetryBound says how many repeats may arrive in any window.
type RetryBound struct {
	// Window is the length of the window; 0 for no bound.
	Window time.Duration
	// Ratio is the share of the first arrivals that repeats may reach.
	Ratio float64
	// Slack is the number of repeats beyond that.
	Slack float64
}

// RetryBudget bounds the repeats at one backend server by the first arrivals there.
type RetryBudget struct {
	first, repeats [buckets]float64
	part           int64
}

func (b *RetryBudget) advance(now time.Time, bound RetryBound) int {
	part := now.UnixNano() / int64(bound.Window/buckets)
	for n := max(b.part+1, part-buckets+1); n <= part; n++ {
		b.first[n%buckets], b.repeats[n%buckets] = 0, 0
	}
	b.part = max(b.part, part)
	return int(b.part % buckets)
}

// RecordFirst notes a first arrival.
func (b *RetryBudget) RecordFirst(now time.Time, bound RetryBound) {
	if bound.Window > 0 {
		b.first[b.advance(now, bound)]++
	}
}

// AllowRetry notes a repeat if the bound allows it.
func (b *RetryBudget) AllowRetry(now time.Time, bound RetryBound) bool {
	if bound.Window == 0 {
		return true
	}
	at := b.advance(now, bound)
	first, repeats := 0.0, 0.0
	for n := range buckets {
		first += b.first[n]
		repeats += b.repeats[n]
	}
	if repeats+1 > budgetMargin*(bound.Ratio*first+bound.Slack) {
		return false
	}
	b.repeats[at]++
	return true
}
