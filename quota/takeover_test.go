package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// takeoverSimulation plays requests of one account at several instances while its coordinator is paused or killed,
// another one takes its place, and instances learn of the change at different times.
type takeoverSimulation struct {
	rate, burst        float64 // of the account
	window             WindowLimit
	buckets            []*AccountBucket // by coordinator
	takeovers          []Takeover       // by coordinator
	pausedCoordinators []bool           // by coordinator
	limiters           []LocalLimiter
	coordinatorOf      []int       // by instance: the coordinator that it uses
	unreachableUntil   []time.Time // by instance
	cuts               []cut       // by instance
	viewChanges        []viewChange
	admitted           []time.Time
	sequence           uint64 // of the latest report
	random             *rand.Rand
}

// cut is a span of time in which the calls of one instance fail.
type cut struct{ from, until time.Time }

// maxSuspicionDelay is how long the coordinator may take to suspect an instance that is cut off: two probe intervals, and
// the time in which others spread their suspicion.
const maxSuspicionDelay = 2500 * time.Millisecond

// trustedFraction returns the fraction of the instances that the coordinator does not suspect.
func (s *takeoverSimulation) trustedFraction(now time.Time) float64 {
	trusted := 0
	for _, c := range s.cuts {
		if now.Sub(c.from) < maxSuspicionDelay || !now.Before(c.until) {
			trusted++
		}
	}
	return float64(trusted) / float64(len(s.cuts))
}

// viewChange is the time at which an instance learns of another coordinator.
type viewChange struct {
	at          time.Time
	instance    int
	coordinator int
}

// retryCoordinatorAfter is how long an instance does not ask a coordinator that did not reply.
const retryCoordinatorAfter = 500 * time.Millisecond

func newTakeoverSimulation(rate, burst float64, instances, coordinators int, seed uint64) *takeoverSimulation {
	s := &takeoverSimulation{
		rate: rate, burst: burst, window: WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20},
		buckets: make([]*AccountBucket, coordinators), takeovers: make([]Takeover, coordinators), pausedCoordinators: make([]bool, coordinators),
		limiters: make([]LocalLimiter, instances), coordinatorOf: make([]int, instances),
		unreachableUntil: make([]time.Time, instances), cuts: make([]cut, instances), random: rand.New(rand.NewPCG(seed, 1)),
	}
	return s
}

// bucketAt returns the bucket at a coordinator, with its present limits.
func (s *takeoverSimulation) bucketAt(now time.Time, coordinator int) *AccountBucket {
	if s.buckets[coordinator] == nil {
		s.buckets[coordinator] = &AccountBucket{}
		if coordinator > 0 { // it can't know what the first one handed out
			s.buckets[coordinator] = NewAccountBucket(now)
			s.takeovers[coordinator].Start(now)
		}
	}
	r, b := s.window.Allowed(s.rate, s.burst)
	s.buckets[coordinator].SetLimits(now, r*min(s.takeovers[coordinator].Fraction(now, len(s.limiters)), s.trustedFraction(now)), b)
	return s.buckets[coordinator]
}

// maxLossDelay bounds the differences between the times at which instances learn that a coordinator is lost, as they
// suspect silent instances at different times. maxReturnDelay bounds the differences at its return, which the
// coordinator announces itself; for that long, two coordinators count.
const (
	maxLossDelay   = 5 * time.Second
	maxReturnDelay = 100 * time.Millisecond
)

// move pauses a coordinator and lets the instances learn that another one has taken its place and, if it was only
// paused, that it is back.
func (s *takeoverSimulation) move(now time.Time, from, to int, back time.Duration) {
	s.pausedCoordinators[from] = true
	for i := range s.coordinatorOf {
		lost := s.randomDelay(maxLossDelay)
		if back == 0 || lost < back {
			s.viewChanges = append(s.viewChanges, viewChange{now.Add(lost), i, to})
		}
		if back > 0 {
			s.viewChanges = append(s.viewChanges, viewChange{now.Add(back + s.randomDelay(maxReturnDelay)), i, from})
		}
	}
}

// randomDelay returns a random delay up to d.
func (s *takeoverSimulation) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(d))
}

// applyViewChanges applies the changes that instances have learned of by now.
func (s *takeoverSimulation) applyViewChanges(now time.Time) {
	remaining := s.viewChanges[:0]
	slices.SortFunc(s.viewChanges, func(a, b viewChange) int { return a.at.Compare(b.at) })
	for _, c := range s.viewChanges {
		if c.at.After(now) {
			remaining = append(remaining, c)
			continue
		}
		s.coordinatorOf[c.instance] = c.coordinator
		s.unreachableUntil[c.instance] = time.Time{}
	}
	s.viewChanges = remaining
}

// request plays one request at instance n.
func (s *takeoverSimulation) request(now time.Time, n int) {
	s.applyViewChanges(now)
	share := s.window.FallbackShare(s.rate, s.burst, n, len(s.limiters))
	limiter, coordinator := &s.limiters[n], s.coordinatorOf[n]
	name := fmt.Sprint(coordinator)
	decision, _ := limiter.Admit(now, now.After(s.unreachableUntil[n]), share)
	if decision == SpendFallback {
		s.admitted = append(s.admitted, now)
	}
	if decision == SpendFallback || decision == Refuse {
		return
	}
	if lost := s.pausedCoordinators[coordinator]; lost || now.Before(s.cuts[n].until) {
		s.unreachableUntil[n] = now.Add(retryCoordinatorAfter)
		if decision == SpendNow {
			limiter.HandleFailure(now, 1, share)
			s.admitted = append(s.admitted, now)
		} else {
			limiter.HandleFailure(now, 0, share)
		}
		if lost {
			limiter.ConfirmLoss(now)
		}
		if decision == SpendNow {
			return
		}
		if v, _ := limiter.Admit(now, false, share); v == SpendFallback {
			s.admitted = append(s.admitted, now)
		}
		return
	}
	bucket := s.bucketAt(now, coordinator)
	if s.takeovers[coordinator].RecordCall(now, fmt.Sprint(n), limiter.CoordinatorChanged(now, name)) {
		bucket.ForgetPast(now)
	}
	bucket = s.bucketAt(now, coordinator) // with the limits of the takeover
	if since, ok := s.takeovers[coordinator].Since(now); ok {
		bucket.ReleaseShare(now, fmt.Sprint(n), since, share.Rate)
	}
	s.sequence++
	u := Usage{Instance: fmt.Sprint(n), Sequence: s.sequence, Spent: limiter.TakeUnreported(), Held: limiter.Held(now)}
	if decision == SpendNow {
		u.Spent++
	} else {
		u.Requested = 1
	}
	state := bucket.Spend(now, u)
	if decision == SpendNow || state.Granted > 0 {
		s.admitted = append(s.admitted, now)
	}
	limiter.HandleReply(now, name, state)
}

// maxRestartedFraction is n if at most one in n instances restarts around the loss of a coordinator. A restarted
// instance can't report that the account moved, and if most instances restarted, the new coordinator would not learn of
// the move.
const maxRestartedFraction = 5

// TestBucketKeepsWindowLimitDuringTakeover plays accounts that send far more than their rate while their coordinator is
// killed, or is paused and comes back, and instances restart: no window may contain more requests than rate and burst
// with overage and slack.
func TestBucketKeepsWindowLimitDuringTakeover(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(5, 60).Draw(r, "rate")
		burst := rapid.Float64Range(1, 60).Draw(r, "burst")
		load := rapid.Float64Range(1, 8).Draw(r, "load")
		instances := rapid.IntRange(2, 40).Draw(r, "instances")
		paused := rapid.IntRange(0, 1).Draw(r, "paused") == 1
		restarts := rapid.IntRange(0, min(instances/maxRestartedFraction, 3)).Draw(r, "restarts")
		s := newTakeoverSimulation(rate, burst, instances, 2, rapid.Uint64().Draw(r, "seed"))
		now := time.Unix(1000, 0)
		moved := now.Add(3*time.Second + s.randomDelay(5*time.Second))
		pause := 500*time.Millisecond + s.randomDelay(3*time.Second)
		back := moved.Add(pause)
		var restartAt []time.Time
		for range restarts {
			restartAt = append(restartAt, now.Add(s.randomDelay(12*time.Second)))
		}
		for end := now.Add(16 * time.Second); now.Before(end); {
			before := now
			now = now.Add(time.Duration(s.random.ExpFloat64() / (rate * load) * float64(time.Second)))
			due := func(at time.Time) bool { return !before.After(at) && at.Before(now) }
			if due(moved) {
				if !paused {
					pause = 0
				}
				s.move(now, 0, 1, pause)
			}
			if paused && due(back) {
				s.pausedCoordinators[0] = false
			}
			for _, at := range restartAt {
				if due(at) {
					s.limiters[s.random.IntN(instances)] = LocalLimiter{}
				}
			}
			s.request(now, s.random.IntN(instances))
		}
		bound := (rate*s.window.Length.Seconds()+burst)*(1+s.window.Overage) + s.window.Slack
		if got := maxInWindow(s.admitted, s.window.Length); float64(got) > bound {
			r.Fatalf("%d requests admitted in a window, at most %.1f are allowed", got, bound)
		}
	})
}

// TestBucketKeepsWindowLimitWhileSomeInstancesAreCutOff guards against instances that spend their shares of the rate while
// the coordinator, which others still reach, hands out all of it.
func TestBucketKeepsWindowLimitWhileSomeInstancesAreCutOff(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(5, 60).Draw(r, "rate")
		burst := rapid.Float64Range(1, 60).Draw(r, "burst")
		load := rapid.Float64Range(1, 8).Draw(r, "load")
		instances := rapid.IntRange(2, 40).Draw(r, "instances")
		cutsPerSecond := rapid.Float64Range(0.1, 10).Draw(r, "cuts")
		longest := time.Duration(rapid.IntRange(100, 8000).Draw(r, "longest")) * time.Millisecond
		s := newTakeoverSimulation(rate, burst, instances, 1, rapid.Uint64().Draw(r, "seed"))
		now := time.Unix(1000, 0)
		for end := now.Add(20 * time.Second); now.Before(end); {
			before := now
			now = now.Add(time.Duration(s.random.ExpFloat64() / (rate * load) * float64(time.Second)))
			if s.random.Float64() < cutsPerSecond*now.Sub(before).Seconds() {
				if c := &s.cuts[s.random.IntN(instances)]; !now.Before(c.until) {
					*c = cut{now, now.Add(s.randomDelay(longest))}
				}
			}
			s.request(now, s.random.IntN(instances))
		}
		bound := (rate*s.window.Length.Seconds()+burst)*(1+s.window.Overage) + s.window.Slack
		if got := maxInWindow(s.admitted, s.window.Length); float64(got) > bound {
			r.Fatalf("%d requests admitted in a window, at most %.1f are allowed", got, bound)
		}
	})
}

// TestBucketKeepsWindowLimitWhileTheCoordinatorIsPaused guards against a coordinator that hands out what accrued while it was
// paused, although instances spent that from their own shares. The pause is too short for another one to take its place.
func TestBucketKeepsWindowLimitWhileTheCoordinatorIsPaused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(5, 60).Draw(r, "rate")
		burst := rapid.Float64Range(1, 60).Draw(r, "burst")
		load := rapid.Float64Range(1, 8).Draw(r, "load")
		instances := rapid.IntRange(2, 40).Draw(r, "instances")
		s := newTakeoverSimulation(rate, burst, instances, 1, rapid.Uint64().Draw(r, "seed"))
		now := time.Unix(1000, 0)
		paused := now.Add(s.randomDelay(8 * time.Second))
		resumed := paused.Add(300*time.Millisecond + s.randomDelay(2500*time.Millisecond))
		for end := now.Add(16 * time.Second); now.Before(end); {
			now = now.Add(time.Duration(s.random.ExpFloat64() / (rate * load) * float64(time.Second)))
			if s.pausedCoordinators[0] && !now.Before(resumed) && s.buckets[0] != nil {
				s.buckets[0].Withhold(now, paused, now.Add(retryCoordinatorAfter))
			}
			s.pausedCoordinators[0] = !now.Before(paused) && now.Before(resumed)
			s.request(now, s.random.IntN(instances))
		}
		bound := (rate*s.window.Length.Seconds()+burst)*(1+s.window.Overage) + s.window.Slack
		if got := maxInWindow(s.admitted, s.window.Length); float64(got) > bound {
			r.Fatalf("%d requests admitted in a window, at most %.1f are allowed", got, bound)
		}
	})
}

// TestTakeoverRefusesFewRequests plays an account at seven tenths of its rate while its coordinator is killed. Few of
// its requests may be refused, although no instance knows the whole level until all instances have learned of the new
// coordinator.
func TestTakeoverRefusesFewRequests(t *testing.T) {
	const rate, burst, instances = 40, 40, 38
	refused, sent := 0, 0
	for seed := range uint64(20) {
		s := newTakeoverSimulation(rate, burst, instances, 2, seed)
		now := time.Unix(1000, 0)
		moved := now.Add(5 * time.Second)
		for end := moved.Add(maxViewDelay); now.Before(end); {
			before := now
			now = now.Add(time.Duration(s.random.ExpFloat64() / (0.7 * rate) * float64(time.Second)))
			if !before.After(moved) && moved.Before(now) {
				s.move(now, 0, 1, 0)
			}
			admittedBefore := len(s.admitted)
			s.request(now, s.random.IntN(instances))
			if now.After(moved) {
				sent++
				refused += 1 - (len(s.admitted) - admittedBefore)
			}
		}
	}
	if refused*10 > sent {
		t.Fatalf("%d of %d requests below the rate were refused in the %v after the coordinator was killed, at most a tenth may be",
			refused, sent, maxViewDelay)
	}
}
