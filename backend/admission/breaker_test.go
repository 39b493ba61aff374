package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/backend"
)

// epoch is the time at which the tests of this package start.
var epoch = time.Unix(1000, 0)

var (
	repeatable    = backend.SlotRequest{Repeatable: true}
	nonRepeatable = backend.SlotRequest{}
)

func allows(b *Breaker, now time.Time, r backend.SlotRequest) bool {
	ok, _ := b.Allow(now, r)
	return ok
}

// TestBreakerOpensAfterOneFailedExchange checks that one exchange without a complete and correct response opens the
// breaker, and that a repeatable request is the first trial after the cooldown.
func TestBreakerOpensAfterOneFailedExchange(t *testing.T) {
	for _, o := range []backend.Outcome{
		backend.OutcomeAborted, backend.OutcomeTruncated, backend.OutcomeCrossed, backend.OutcomeUnreachable,
		backend.OutcomeTimeout,
	} {
		t.Run(o.String(), func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			is.True(allows(&b, epoch, nonRepeatable))
			is.True(b.Observe(epoch, o))
			is.True(!allows(&b, epoch.Add(initialCooldown/2), repeatable))
			is.True(allows(&b, epoch.Add(initialCooldown), repeatable)) // the trial
			is.True(!allows(&b, epoch.Add(initialCooldown), nonRepeatable))
			is.True(!allows(&b, epoch.Add(initialCooldown+repeatableWait), nonRepeatable)) // repeatable ones arrived
			is.True(allows(&b, epoch.Add(initialCooldown+repeatableWaitRecent), nonRepeatable))
		})
	}
}

// TestBreakerStaysClosed checks outcomes that do not open the breaker.
func TestBreakerStaysClosed(t *testing.T) {
	for name, outcomes := range map[string][]backend.Outcome{
		"one error":                   {backend.OutcomeError},
		"errors between successes":    {backend.OutcomeError, backend.OutcomeAnswered, backend.OutcomeError},
		"shed requests":               {backend.OutcomeShed, backend.OutcomeShed, backend.OutcomeShed},
		"requests given up by client": {backend.OutcomeCancelled, backend.OutcomeCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			for _, o := range outcomes {
				is.True(!b.Observe(epoch, o))
			}
			is.True(allows(&b, epoch, nonRepeatable))
		})
	}
}

// TestBreakerAllowsOneTrialAtATime checks that no second trial is allowed while one is in flight.
func TestBreakerAllowsOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	var b Breaker
	b.Observe(epoch, backend.OutcomeAborted)
	now := epoch.Add(initialCooldown)
	is.True(allows(&b, now, repeatable))
	trial := b.Begin()
	is.True(trial)
	is.True(!allows(&b, now, repeatable))
	b.Observe(now, backend.OutcomeAnswered)
	b.End(trial)
	is.True(allows(&b, now, nonRepeatable))
}

// TestBreakerAllowsAnyTrialWithoutRepeatableRequests checks that a service without repeatable requests does not stay
// out of use.
func TestBreakerAllowsAnyTrialWithoutRepeatableRequests(t *testing.T) {
	is := is.New(t)
	var b Breaker
	b.Observe(epoch, backend.OutcomeAborted)
	is.True(!allows(&b, epoch.Add(initialCooldown), nonRepeatable))
	is.True(allows(&b, epoch.Add(initialCooldown+repeatableWait), nonRepeatable))
}

// TestBreakerCooldownIsBounded observes random outcomes: whatever happened before, a backend server that has recovered
// gets a request within maxCooldown, or within repeatableWait of that if no request is repeatable.
func TestBreakerCooldownIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Breaker
		now := epoch
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond)
			b.Observe(now, backend.Outcome(rapid.IntRange(1, 9).Draw(r, "outcome")))
			if cooldown := b.Cooldown(now); cooldown > maxCooldown {
				r.Fatalf("cooldown of %v exceeds the maximum", cooldown)
			}
		}
		now = now.Add(maxCooldown)
		other := b // gets no repeatable request
		if !allows(&b, now, repeatable) {
			r.Fatal("no repeatable request is allowed after the longest cooldown")
		}
		if !allows(&other, now.Add(repeatableWait), nonRepeatable) {
			r.Fatal("no request is allowed after the longest cooldown and repeatableWait")
		}
	})
}
