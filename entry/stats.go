package entry

import "sync/atomic"

// counters are the counters of a Handler.
type counters struct {
	retries, elsewhere, slow, budgetSpent, latePaths atomic.Uint64
}

// Stats are the counters of the entry side's attempts.
type Stats struct {
	// Retries counts further attempts of repeatable requests, which the retry budget allowed.
	Retries uint64 `json:"retries"`
	// Elsewhere counts attempts at another endpoint after an attempt that was not run.
	Elsewhere uint64 `json:"elsewhere"`
	// Slow counts attempts that took longer than their service's slow threshold.
	Slow uint64 `json:"slow"`
	// BudgetSpent counts retries that the retry budget denied.
	BudgetSpent uint64 `json:"budgetSpent"`
	// LatePaths counts requests that waited for an instance whose path probe was late, since no other endpoint was left.
	LatePaths uint64 `json:"latePaths"`
}

// Stats returns the counters.
func (h *Handler) Stats() Stats {
	return Stats{
		Retries:     h.counters.retries.Load(),
		Elsewhere:   h.counters.elsewhere.Load(),
		Slow:        h.counters.slow.Load(),
		BudgetSpent: h.counters.budgetSpent.Load(),
		LatePaths:   h.counters.latePaths.Load(),
	}
}
