package inspect

import (
	"fmt"
	"io"
	"slices"
	"time"

	"amaranthstile/event"
	"amaranthstile/result"
)

// Summary are what the lines of a fleet say of how it did.
type Summary struct {
	// Requests are the decisions on requests with a key, Served those with an answer that is no failure, Refused those that were
	// not run, Failed all others.
	Requests, Served, Refused, Failed int
	// DetectionTimes holds, for each backend server that turned bad, the time from the end of its first bad try since a good one to its
	// first rest.
	DetectionTimes []time.Duration
	// FailedByBackend are the requests that failed at a try which the backend server spoilt.
	FailedByBackend int
	// GoodAttempts are the tries that were answered well, UnconfirmedCooldowns the rests after one bad try whose next try was good: at most so many
	// were wrong.
	GoodAttempts, UnconfirmedCooldowns int
	// Accounts holds the decisions on requests by account.
	Accounts map[string]*AccountSummary
}

// AccountSummary are the figures of one client account.
type AccountSummary struct{ Requests, Served, RateExceeded int }

// backendHistory is what was seen of one backend server.
type backendHistory struct {
	failures      int       // tries since the last good one
	firstFailure time.Time // the first of them
	detected bool      // it rested since the last good try
	unconfirmed   bool      // after one bad try, and no try since
}

// Summarize works the figures out of lines in the order of their times.
func Summarize(lines []Line) *Summary {
	f := &Summary{Accounts: make(map[string]*AccountSummary)}
	backends := make(map[string]*backendHistory)
	of := func(id string) *backendHistory {
		if backends[id] == nil {
			backends[id] = &backendHistory{}
		}
		return backends[id]
	}
	for _, l := range lines {
		switch {
		case l.Event == event.BackendRests:
			f.addCooldown(of(l.Backend), l.Time)
		case l.isDecision():
			f.addRequest(l)
			for _, t := range l.attempts() {
				f.addAttempt(of(t.backend), t, l.Time)
			}
		}
	}
	slices.Sort(f.DetectionTimes)
	return f
}

// addCooldown notes a addCooldown. The line of the entry side whose try led to it comes after.
func (f *Summary) addCooldown(b *backendHistory, now time.Time) {
	if !b.detected {
		b.detected = true
		took := time.Duration(0)
		if b.failures > 0 {
			took = now.Sub(b.firstFailure)
		}
		f.DetectionTimes = append(f.DetectionTimes, took)
	}
	b.unconfirmed = b.failures <= 1
}

func (f *Summary) addRequest(l Line) {
	tries := l.attempts()
	if !l.served() && len(tries) > 0 && tries[len(tries)-1].failed() {
		f.FailedByBackend++
	}
	if l.Account == "" {
		return
	}
	a := f.Accounts[l.Account]
	if a == nil {
		a = &AccountSummary{}
		f.Accounts[l.Account] = a
	}
	f.Requests++
	a.Requests++
	switch {
	case l.served():
		f.Served++
		a.Served++
	case l.Run == result.NotRun:
		f.Refused++
	default:
		f.Failed++
	}
	if l.Code == result.RateExceeded {
		a.RateExceeded++
	}
}

func (f *Summary) addAttempt(b *backendHistory, t attempt, at time.Time) {
	switch {
	case t.failed():
		if b.failures == 0 {
			b.firstFailure = at
		}
		b.failures++
		b.unconfirmed = b.unconfirmed && b.failures <= 1
	case t.succeeded():
		f.GoodAttempts++
		if b.unconfirmed {
			f.UnconfirmedCooldowns++
		}
		*b = backendHistory{}
	}
}

// perMillion scales a count to a perMillion.
const perMillion = 1e6

// Write writes the figures as a table.
func (f *Summary) Write(w io.Writer) error {
	rows := [][2]string{
		{"requests with a key; served, refused, failed", fmt.Sprintf("%d; %d, %d, %d", f.Requests, f.Served, f.Refused, f.Failed)},
		{"from a backend server's first bad try to its first rest: median, 99 in 100, times", fmt.Sprintf("%v, %v, %d", percentile(f.DetectionTimes, 50), percentile(f.DetectionTimes, 99), len(f.DetectionTimes))},
		{"requests lost at a try that the backend server spoilt, calls too", fmt.Sprint(f.FailedByBackend)},
		{"rests that the next try did not confirm, in a million good tries", fmt.Sprintf("%.0f (%d of %d)", perMillion*float64(f.UnconfirmedCooldowns)/float64(max(f.GoodAttempts, 1)), f.UnconfirmedCooldowns, f.GoodAttempts)},
	}
	worst, name, mean := f.worstServed()
	rows = append(rows, [2]string{"served of what was not over its rate: mean of accounts, worst", fmt.Sprintf("%.3f, %.3f (%s)", mean, worst, name)})
	if _, err := fmt.Fprint(w, "| figure | value |\n| --- | --- |\n"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s | %s |\n", r[0], r[1]); err != nil {
			return err
		}
	}
	return nil
}

// percentile returns a percentile of sorted times, 0 of none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)].Round(time.Millisecond)
}

// worstServed returns the worstServed-served account with its share, and the mean of all.
func (f *Summary) worstServed() (share float64, name string, mean float64) {
	share = 1
	for n, a := range f.Accounts {
		s := float64(a.Served) / float64(max(a.Requests-a.RateExceeded, 1))
		mean += s / float64(len(f.Accounts))
		if s < share || s == share && (name == "" || n < name) {
			share, name = s, n
		}
	}
	return share, name, mean
}
