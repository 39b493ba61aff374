package inspect

import (
	"fmt"
	"io"
	"slices"
	"time"

	"amaranthstile/event"
	"amaranthstile/result"
)

// Summary holds the figures that the log lines of a fleet yield.
type Summary struct {
	// Requests counts the decisions on requests with a key: Served those with an answer that is not a failure,
	// Refused those that were not run, and Failed all others.
	Requests, Served, Refused, Failed int
	// DetectionTimes holds, for each time that a backend server began to fail, the time from the end of its first
	// failed attempt since a successful one to the start of its first cooldown.
	DetectionTimes []time.Duration
	// FailedByBackend counts the requests that failed and whose last attempt was failed by the backend server.
	FailedByBackend int
	// GoodAttempts counts the successful attempts. UnconfirmedCooldowns counts the cooldowns after a single failed
	// attempt whose next attempt succeeded; it is an upper bound for the number of wrong cooldowns.
	GoodAttempts, UnconfirmedCooldowns int
	// Accounts holds the figures of the client accounts by name.
	Accounts map[string]*AccountSummary
}

// AccountSummary holds the figures of one client account.
type AccountSummary struct{ Requests, Served, RateExceeded int }

// backendHistory is the recent history of one backend server.
type backendHistory struct {
	failures     int       // failed attempts since the last successful one
	firstFailure time.Time // end of the first of them
	detected     bool      // a cooldown began since the last successful attempt
	unconfirmed  bool      // a cooldown began after at most one failed attempt, and no second one followed
}

// Summarize computes the summary of lines that are sorted by time.
func Summarize(lines []Line) *Summary {
	s := &Summary{Accounts: make(map[string]*AccountSummary)}
	backends := make(map[string]*backendHistory)
	historyOf := func(id string) *backendHistory {
		if backends[id] == nil {
			backends[id] = &backendHistory{}
		}
		return backends[id]
	}
	for _, l := range lines {
		switch {
		case l.Event == event.BackendRests:
			s.addCooldown(historyOf(l.Backend), l.Time)
		case l.isDecision():
			s.addRequest(l)
			for _, a := range l.attempts() {
				s.addAttempt(historyOf(a.backend), a, l.Time)
			}
		}
	}
	slices.Sort(s.DetectionTimes)
	return s
}

// addCooldown records the start of a cooldown. The line of the entry side whose attempt caused it comes later in the
// log.
func (s *Summary) addCooldown(b *backendHistory, now time.Time) {
	if !b.detected {
		b.detected = true
		took := time.Duration(0)
		if b.failures > 0 {
			took = now.Sub(b.firstFailure)
		}
		s.DetectionTimes = append(s.DetectionTimes, took)
	}
	b.unconfirmed = b.failures <= 1
}

// addRequest records the decision on a request.
func (s *Summary) addRequest(l Line) {
	attempts := l.attempts()
	if !l.served() && len(attempts) > 0 && attempts[len(attempts)-1].failed() {
		s.FailedByBackend++
	}
	if l.Account == "" {
		return
	}
	a := s.Accounts[l.Account]
	if a == nil {
		a = &AccountSummary{}
		s.Accounts[l.Account] = a
	}
	s.Requests++
	a.Requests++
	switch {
	case l.served():
		s.Served++
		a.Served++
	case l.Run == result.NotRun:
		s.Refused++
	default:
		s.Failed++
	}
	if l.Code == result.RateExceeded {
		a.RateExceeded++
	}
}

// addAttempt records the outcome of an attempt at a backend server.
func (s *Summary) addAttempt(b *backendHistory, a attempt, at time.Time) {
	switch {
	case a.failed():
		if b.failures == 0 {
			b.firstFailure = at
		}
		b.failures++
		b.unconfirmed = b.unconfirmed && b.failures <= 1
	case a.succeeded():
		s.GoodAttempts++
		if b.unconfirmed {
			s.UnconfirmedCooldowns++
		}
		*b = backendHistory{}
	}
}

// perMillion scales a ratio to a count per million.
const perMillion = 1e6

// Write writes the summary as a Markdown table.
func (s *Summary) Write(w io.Writer) error {
	rows := [][2]string{
		{"requests with a key; served, refused, failed", fmt.Sprintf("%d; %d, %d, %d", s.Requests, s.Served, s.Refused, s.Failed)},
		{"from a backend server's first failed attempt to its first cooldown: median, 99th percentile, count", fmt.Sprintf("%v, %v, %d", percentile(s.DetectionTimes, 50), percentile(s.DetectionTimes, 99), len(s.DetectionTimes))},
		{"requests that failed at an attempt which the backend server failed, calls included", fmt.Sprint(s.FailedByBackend)},
		{"cooldowns that the next attempt did not confirm, in a million good attempts", fmt.Sprintf("%.0f (%d of %d)", perMillion*float64(s.UnconfirmedCooldowns)/float64(max(s.GoodAttempts, 1)), s.UnconfirmedCooldowns, s.GoodAttempts)},
	}
	worst, name, mean := s.worstServed()
	rows = append(rows, [2]string{"share served of the requests within the rate: mean of accounts, worst account", fmt.Sprintf("%.3f, %.3f (%s)", mean, worst, name)})
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

// percentile returns a percentile of sorted times, 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)].Round(time.Millisecond)
}

// worstServed returns the account with the smallest share of served requests and that share, and the mean share of
// all accounts.
func (s *Summary) worstServed() (share float64, name string, mean float64) {
	share = 1
	for n, a := range s.Accounts {
		served := float64(a.Served) / float64(max(a.Requests-a.RateExceeded, 1))
		mean += served / float64(len(s.Accounts))
		if served < share || served == share && (name == "" || n < name) {
			share, name = served, n
		}
	}
	return share, name, mean
}
