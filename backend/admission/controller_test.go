package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/backend"
	"amaranthstile/result"
)

func unbounded() RetryBound { return RetryBound{} }

// TestQueueGrantsByPriorityThenCallThenArrival fills the slots and looks at the order of those who wait.
func TestQueueGrantsByPriorityThenCallThenArrival(t *testing.T) {
	is := is.New(t)
	c := NewController(1, unbounded)
	far := epoch.Add(time.Minute)
	holder, granted, err := c.Arrive(epoch, far, once)
	is.NoErr(err)
	is.True(granted)
	arrive := func(claim backend.SlotRequest) *Waiter {
		w, granted, err := c.Arrive(epoch, far, claim)
		is.NoErr(err)
		is.True(!granted)
		return w
	}
	missed := arrive(backend.SlotRequest{SoftDeadline: epoch.Add(time.Millisecond)}) // it can't meet its target any more
	last := arrive(backend.SlotRequest{Priority: 2})
	second := arrive(backend.SlotRequest{Priority: 1})
	third := arrive(backend.SlotRequest{Priority: 1})
	first := arrive(backend.SlotRequest{Priority: 1, NestedCall: true})
	for _, want := range []*Waiter{first, second, third, last, missed} {
		grants := c.Release(epoch, holder)
		is.Equal(len(grants), 1)
		is.NoErr(grants[0].Err)
		is.Equal(grants[0].Waiter, want)
		holder = want
	}
}

// TestQueueRefusesAtOnceWhatCanNotStartInTime refuses a request whose wait is longer than what is left, and tells when to
// come back.
func TestQueueRefusesAtOnceWhatCanNotStartInTime(t *testing.T) {
	is := is.New(t)
	c := NewController(1, unbounded)
	far := epoch.Add(time.Minute)
	deadline := epoch.Add(6 * firstUsual)
	var err error
	taken := 0
	for ; err == nil; taken++ {
		_, _, err = c.Arrive(epoch, deadline, once)
	}
	is.Equal(taken, 7) // one runs and five wait; the seventh would begin at the deadline
	is.Equal(result.CodeOf(err), result.BackendBusy)
	is.Equal(result.RetryAfterOf(err), 11*firstUsual/2)
	_, _, err = c.Arrive(epoch, far, backend.SlotRequest{NoWait: true})
	is.Equal(result.CodeOf(err), result.BackendBusy)
	// A more urgent request goes before those who wait, so it starts in time.
	_, _, err = c.Arrive(epoch, deadline, backend.SlotRequest{Priority: -1})
	is.NoErr(err)
}

// TestQueueRefusesWhatIsPushedBackTooFar lets urgent requests come before one that waits: it is refused as soon as it can't
// meet its target any more, while its caller has time to come again.
func TestQueueRefusesWhatIsPushedBackTooFar(t *testing.T) {
	is := is.New(t)
	c := NewController(1, unbounded)
	holder, _, err := c.Arrive(epoch, time.Time{}, once)
	is.NoErr(err)
	w, _, err := c.Arrive(epoch, epoch.Add(time.Minute), backend.SlotRequest{Priority: 2, SoftDeadline: epoch.Add(3 * firstUsual)})
	is.NoErr(err)
	for range 3 {
		_, _, err := c.Arrive(epoch, time.Time{}, backend.SlotRequest{Priority: 1})
		is.NoErr(err)
	}
	grants := c.Release(epoch, holder)
	is.Equal(len(grants), 2)
	is.NoErr(grants[0].Err)
	is.Equal(grants[1].Waiter, w)
	is.Equal(result.CodeOf(grants[1].Err), result.BackendBusy)
	is.True(result.RetryAfterOf(grants[1].Err) > 0)
}

// TestShortTimeLimitsSayNothingOfTheBackendServer ends exchanges at time limits of about a usual time, as crowds do.
func TestShortTimeLimitsSayNothingOfTheBackendServer(t *testing.T) {
	is := is.New(t)
	c := NewController(1, unbounded)
	for range 5 {
		c.Observe(epoch, backend.OutcomeTimeout, "r", firstUsual)
	}
	is.Equal(c.Cooldown(epoch), time.Duration(0))
	c.Observe(epoch, backend.OutcomeTimeout, "r", hangFactor*firstUsual)
	is.True(c.Cooldown(epoch) > 0)
}

// TestErrorsForWantOfACallSayNothingOfTheBackendServer lets a backend server fail because another one did.
func TestErrorsForWantOfACallSayNothingOfTheBackendServer(t *testing.T) {
	is := is.New(t)
	g := NewGate(3, unbounded, nil)
	for range 2 * errorRun {
		e := g.Begin("b", "r", epoch)
		g.NestedCallFailed(epoch.Add(time.Millisecond))
		e.End(epoch.Add(2*time.Millisecond), backend.OutcomeError)
	}
	is.Equal(g.controller.Cooldown(epoch), time.Duration(0))
	for range errorRun {
		g.Begin("b", "r", epoch.Add(time.Second)).End(epoch.Add(time.Second), backend.OutcomeError)
	}
	is.True(g.controller.Cooldown(epoch.Add(time.Second)) > 0)
}

// TestQueueIsEmptiedWhenTheBackendServerRests lets those who wait go elsewhere while they have time.
func TestQueueIsEmptiedWhenTheBackendServerRests(t *testing.T) {
	is := is.New(t)
	c := NewController(1, unbounded)
	_, _, err := c.Arrive(epoch, time.Time{}, once)
	is.NoErr(err)
	w, _, err := c.Arrive(epoch, time.Time{}, once)
	is.NoErr(err)
	grants := c.Observe(epoch, backend.OutcomeAborted, "", time.Millisecond)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Waiter, w)
	is.Equal(result.CodeOf(grants[0].Err), result.BackendEjected)
	is.Equal(result.RetryAfterOf(grants[0].Err), firstRest)
}

// TestRepeatsKeepTheBound plays first arrivals and repeats: in no window do repeats exceed the bound.
func TestRepeatsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bound := RetryBound{Window: 10 * time.Second, Ratio: 0.2, Slack: float64(rapid.IntRange(0, 20).Draw(r, "slack"))}
		var b RetryBudget
		var firsts, repeats []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "first") {
				b.RecordFirst(now, bound)
				firsts = append(firsts, now)
			} else if b.AllowRetry(now, bound) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			from := end.Add(-bound.Window)
			if n, most := within(repeats, from, end), bound.Ratio*float64(within(firsts, from, end))+bound.Slack; float64(n) > most {
				r.Fatalf("%d repeats in a window, at most %.1f are allowed", n, most)
			}
		}
	})
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// TestControllerNeverRunsMoreThanItsSlots plays random arrivals, ends and outcomes.
func TestControllerNeverRunsMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(r, "slots")
		c := NewController(slots, unbounded)
		now := epoch
		running := map[*Waiter]bool{}
		take := func(grants []Grant) {
			for _, g := range grants {
				if g.Err == nil {
					running[g.Waiter] = true
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(r, "step") {
			case 0:
				claim := backend.SlotRequest{Priority: rapid.IntRange(0, 2).Draw(r, "priority"), Repeatable: rapid.Bool().Draw(r, "repeatable")}
				if w, granted, err := c.Arrive(now, time.Time{}, claim); err == nil && granted {
					running[w] = true
				}
			default:
				for w := range running {
					delete(running, w)
					take(c.Observe(now, backend.Outcome(rapid.IntRange(1, 9).Draw(r, "outcome")), "", time.Millisecond))
					take(c.Release(now, w))
					break
				}
			}
			if len(running) > slots || c.Load().Running != len(running) {
				r.Fatalf("%d run, %d told, %d slots", len(running), c.Load().Running, slots)
			}
		}
	})
}
