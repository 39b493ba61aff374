package fleet

import (
	"net/http"
	"sync"

	"amaranthstile/result"
)

// CallLog gathers calls and compares them with what the backend servers counted.
type CallLog struct {
	mu    sync.Mutex
	calls []Call
}

// Add takes one call.
func (l *CallLog) Add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// Calls returns a copy of all calls.
func (l *CallLog) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// Violations counts what a ledger must not hold; each count is 0 in a fleet that keeps its promises.
type Violations struct {
	// DuplicateRuns counts requests that may not be repeated and ran more than once.
	DuplicateRuns int
	// FalseNotRun counts requests that were told "not run" and ran.
	FalseNotRun int
	// WrongResponses counts answers of backend servers that were not the whole answer to their request,
	// though they came as if they were.
	WrongResponses int
	// KeysLeaked counts requests that reached a backend server with a key.
	KeysLeaked int
	// MissingRunStatus counts answers of the fleet without a statement on the run.
	MissingRunStatus int
}

// Total returns the number of all findings.
func (f Violations) Total() int {
	return f.DuplicateRuns + f.FalseNotRun + f.WrongResponses + f.KeysLeaked + f.MissingRunStatus
}

// Add adds what another ledger of the same fleet holds. The keys that backend servers saw are counted over the whole fleet
// in each, so the later count stands.
func (f *Violations) Add(o Violations) {
	f.DuplicateRuns += o.DuplicateRuns
	f.FalseNotRun += o.FalseNotRun
	f.WrongResponses += o.WrongResponses
	f.MissingRunStatus += o.MissingRunStatus
	f.KeysLeaked = o.KeysLeaked
}

// Check compares the calls with the runs that the fleet's backend servers counted.
func (l *CallLog) Check(f *Fleet) Violations {
	runs := make(map[string]int)
	var out Violations
	for _, b := range f.Backends {
		counts := b.Server.Counts()
		out.KeysLeaked += counts.KeysSeen
		for id, n := range counts.Runs {
			runs[id] += n
		}
	}
	for _, c := range l.Calls() {
		out.check(c, runs[c.ID])
	}
	return out
}

func (f *Violations) check(c Call, runs int) {
	if runs > 1 && c.Method != http.MethodGet {
		f.DuplicateRuns++
	}
	if c.Code != result.OK && c.Run == result.NotRun && runs > 0 {
		f.FalseNotRun++
	}
	if c.Code != result.OK && c.Run == "" {
		f.MissingRunStatus++
	}
	if c.Code == result.OK && c.Err == nil && c.Status == http.StatusOK && !c.Complete {
		f.WrongResponses++
	}
}

// OutcomeCounts counts calls by what came of them.
type OutcomeCounts struct {
	// Succeeded counts whole answers with status 200.
	Succeeded int
	// Failed counts answers of backend servers with another status.
	Failed int
	// NoResponse counts calls without an answer.
	NoResponse int
	// Codes counts the answers that the fleet itself made.
	Codes map[result.Code]int
}

// CountOutcomes counts all calls so far.
func (l *CallLog) CountOutcomes() OutcomeCounts {
	t := OutcomeCounts{Codes: make(map[result.Code]int)}
	for _, c := range l.Calls() {
		switch {
		case c.Succeeded():
			t.Succeeded++
		case c.Code != result.OK:
			t.Codes[c.Code]++
		case c.Err != nil:
			t.NoResponse++
		default:
			t.Failed++
		}
	}
	return t
}
