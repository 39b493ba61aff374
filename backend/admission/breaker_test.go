package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/backend"
)

var epoch = time.Unix(1000, 0)

var (
	repeatable = backend.SlotRequest{Repeatable: true}
	once       = backend.SlotRequest{}
)

func admits(b *Breaker, now time.Time, c backend.SlotRequest) bool {
	ok, _ := b.Allow(now, c)
	return ok
}

func TestBreakerRestsAfterOneBrokenExchange(t *testing.T) {
	for _, o := range []backend.Outcome{
		backend.OutcomeAborted, backend.OutcomeTruncated, backend.OutcomeCrossed, backend.OutcomeUnreachable, backend.OutcomeTimeout,
	} {
		t.Run(o.String(), func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			is.True(admits(&b, epoch, once))
			is.True(b.Observe(epoch, o))
			is.True(!admits(&b, epoch.Add(firstRest/2), repeatable))
			is.True(admits(&b, epoch.Add(firstRest), repeatable)) // it proves the backend server
			is.True(!admits(&b, epoch.Add(firstRest), once))
			is.True(!admits(&b, epoch.Add(firstRest+proofWait), once)) // repeatable ones come
			is.True(admits(&b, epoch.Add(firstRest+proofWaitSeen), once))
		})
	}
}

func TestBreakerKeepsOnAfter(t *testing.T) {
	for name, outcomes := range map[string][]backend.Outcome{
		"one error":     {backend.OutcomeError},
		"errors apart":  {backend.OutcomeError, backend.OutcomeAnswered, backend.OutcomeError},
		"shed":          {backend.OutcomeShed, backend.OutcomeShed, backend.OutcomeShed},
		"callers leave": {backend.OutcomeCancelled, backend.OutcomeCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			for _, o := range outcomes {
				is.True(!b.Observe(epoch, o))
			}
			is.True(admits(&b, epoch, once))
		})
	}
}

func TestBreakerTakesOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	var b Breaker
	b.Observe(epoch, backend.OutcomeAborted)
	now := epoch.Add(firstRest)
	is.True(admits(&b, now, repeatable))
	trial := b.Begin()
	is.True(trial)
	is.True(!admits(&b, now, repeatable))
	b.Observe(now, backend.OutcomeAnswered)
	b.End(trial)
	is.True(admits(&b, now, once))
}

// TestBreakerIsProvedByAnyRequestWhereNoneIsRepeatable keeps services in use that get no repeatable requests.
func TestBreakerIsProvedByAnyRequestWhereNoneIsRepeatable(t *testing.T) {
	is := is.New(t)
	var b Breaker
	b.Observe(epoch, backend.OutcomeAborted)
	is.True(!admits(&b, epoch.Add(firstRest), once))
	is.True(admits(&b, epoch.Add(firstRest+proofWait), once))
}

// TestBreakerNeverRestsLong plays random outcomes: whatever happened, a backend server that is well again gets a request
// within lastRest.
func TestBreakerNeverRestsLong(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Breaker
		now := epoch
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond)
			b.Observe(now, backend.Outcome(rapid.IntRange(1, 9).Draw(r, "outcome")))
			if rest := b.Cooldown(now); rest > lastRest {
				r.Fatalf("a rest of %v", rest)
			}
		}
		now = now.Add(lastRest)
		alone := b // no repeatable request asks this one
		if !admits(&b, now, repeatable) {
			r.Fatal("no repeatable request is admitted after the longest rest")
		}
		if !admits(&alone, now.Add(proofWait), once) {
			r.Fatal("no request is admitted after the longest rest and the wait for proof")
		}
	})
}
