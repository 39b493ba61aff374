package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// limiterSimulation plays requests of one account at several instances against one coordinator whose replies are
// delayed.
type limiterSimulation struct {
	bucket   AccountBucket
	limiters []LocalLimiter
	admitted []time.Time
	sequence uint64 // of the latest report
	// pendingReplies are the replies of the coordinator that are in flight.
	pendingReplies []pendingReply
}

// pendingReply is a reply of the coordinator to one instance.
type pendingReply struct {
	deliverAt time.Time
	limiter   int
	state     BucketState
}

// coordinatorLatency is the round-trip time to the coordinator.
const coordinatorLatency = 4 * time.Millisecond

// request plays one request at instance n.
func (s *limiterSimulation) request(now time.Time, n int) {
	s.deliver(now)
	switch v, _ := s.limiters[n].Admit(now, true, FallbackShare{}); v {
	case SpendNow:
		s.admitted = append(s.admitted, now)
		s.report(now, n, Usage{Spent: 1})
	case AskCoordinator:
		if s.report(now, n, Usage{Requested: 1}).Granted > 0 {
			s.admitted = append(s.admitted, now.Add(coordinatorLatency))
		}
	}
}

// report reports usage to the coordinator and returns its reply, which reaches the instance later.
func (s *limiterSimulation) report(now time.Time, n int, u Usage) BucketState {
	s.sequence++
	u.Instance, u.Sequence, u.Held = fmt.Sprint(n), s.sequence, s.limiters[n].Held(now)
	state := s.bucket.Spend(now.Add(coordinatorLatency/2), u)
	s.pendingReplies = append(s.pendingReplies, pendingReply{now.Add(coordinatorLatency), n, state})
	return state
}

// deliver delivers the replies that are due.
func (s *limiterSimulation) deliver(now time.Time) {
	remaining := s.pendingReplies[:0]
	for _, a := range s.pendingReplies {
		if a.deliverAt.After(now) {
			remaining = append(remaining, a)
			continue
		}
		s.limiters[a.limiter].HandleReply(now, "home", a.state)
	}
	s.pendingReplies = remaining
}

func (s *limiterSimulation) maxAdmitted(window time.Duration) int {
	return maxInWindow(s.admitted, window)
}

// maxInWindow returns the largest number of admitted requests in any window.
func maxInWindow(admitted []time.Time, window time.Duration) int {
	most, from := 0, 0
	for to := range admitted {
		for admitted[to].Sub(admitted[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestBucketKeepsWindowLimit plays accounts that send up to eight times their rate from many instances at once: no
// window may contain more requests than rate and burst with overage and slack.
func TestBucketKeepsWindowLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(2, 60).Draw(r, "rate")
		burst := rapid.Float64Range(1, 60).Draw(r, "burst")
		load := rapid.Float64Range(0.5, 8).Draw(r, "load")
		n := rapid.IntRange(1, 40).Draw(r, "instances")
		seed := rapid.Uint64().Draw(r, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		w := WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
		now := time.Unix(1000, 0)
		s := &limiterSimulation{limiters: make([]LocalLimiter, n)}
		allowedRate, allowedBurst := w.Allowed(rate, burst)
		s.bucket.SetLimits(now, allowedRate, allowedBurst)
		for end := now.Add(20 * time.Second); now.Before(end); {
			now = now.Add(time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second)))
			s.request(now, random.IntN(n))
		}
		bound := (rate*w.Length.Seconds()+burst)*(1+w.Overage) + w.Slack
		if got := s.maxAdmitted(w.Length); float64(got) > bound {
			r.Fatalf("%d requests admitted in a window, at most %.1f are allowed", got, bound)
		}
	})
}

// TestHotAccountStaysWithinTheWindowAtAnyFleetSize guards against instances that act on an old level of the bucket: an account
// sends a little below its rate from all instances in turn, and then many times as much. How much it gets must not grow
// with the fleet.
func TestHotAccountStaysWithinTheWindowAtAnyFleetSize(t *testing.T) {
	const rate, burst = 10.0, 10.0
	w := WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, instances := range []int{4, 38, 352, 2800} {
		now := time.Unix(1000, 0)
		s := &limiterSimulation{limiters: make([]LocalLimiter, instances)}
		allowedRate, allowedBurst := w.Allowed(rate, burst)
		s.bucket.SetLimits(now, allowedRate, allowedBurst)
		next := 0
		sendAt := func(perSecond float64, length time.Duration) {
			for end := now.Add(length); now.Before(end); next++ {
				s.request(now, next%instances)
				now = now.Add(time.Duration(float64(time.Second) / perSecond))
			}
		}
		sendAt(6, 10*time.Second)
		sendAt(14, 4100*time.Millisecond)
		sendAt(45, 850*time.Millisecond)
		sendAt(200, 5*time.Second)
		bound := (rate*w.Length.Seconds()+burst)*(1+w.Overage) + w.Slack
		if got := s.maxAdmitted(w.Length); float64(got) > bound {
			t.Errorf("%d instances: %d requests admitted in a window, at most %.1f are allowed", instances, got, bound)
		}
	}
}

// TestLostReplyKeepsNoTokens loses replies that reserve tokens: the next report gives them back.
func TestLostReplyKeepsNoTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b AccountBucket
	b.SetLimits(now, 0, 100)
	before := b.level
	for sequence := range uint64(10) {
		b.Spend(now, Usage{Instance: "a", Sequence: sequence + 1})
		is.Equal(b.level, before-maxReserved)
	}
	b.Spend(now, Usage{Instance: "a", Sequence: 3, Held: 0}) // overtaken by the others
	is.Equal(b.level, before-maxReserved)
	b.Spend(now.Add(reservationExpiry), Usage{Instance: "b", Sequence: 1}) // the first instance does not call any more
	is.Equal(b.level, before-maxReserved)
}

// TestReservationExpires checks that an instance does not use a reservation that the coordinator may have taken back, also
// after its machine was suspended or its time of day was set.
func TestReservationExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var l LocalLimiter
	for _, row := range []struct {
		at   time.Time
		held int
	}{
		{now.Add(reservationTTL - 1), 1},
		{now.Add(reservationTTL), 0},
		{now.Round(0).Add(time.Hour), 0},
		{now.Round(0).Add(-time.Hour), 0},
	} {
		l.HandleReply(now, "home", BucketState{Reserved: 1 - l.Held(now)})
		is.Equal(l.Held(row.at), row.held)
	}
	is.Equal(l.Held(now), 0)
}

// TestBucketRefusesNothingBelowRate plays an account that stays at four fifths of its rate at 38 instances: no request
// may be refused.
func TestBucketRefusesNothingBelowRate(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	w := WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
	const rate, burst = 36.0, 36.0
	now := time.Unix(1000, 0)
	s := &limiterSimulation{limiters: make([]LocalLimiter, 38)}
	allowedRate, allowedBurst := w.Allowed(rate, burst)
	s.bucket.SetLimits(now, allowedRate, allowedBurst)
	asked := 0
	for end := now.Add(60 * time.Second); now.Before(end); asked++ {
		now = now.Add(time.Duration(random.ExpFloat64() / (0.8 * rate) * float64(time.Second)))
		s.request(now, random.IntN(38))
	}
	is.Equal(len(s.admitted), asked)
}

// TestFallbackSharesStayWithinRate checks that the requests of instances that can't reach the coordinator stay within
// the rate in total.
func TestFallbackSharesStayWithinRate(t *testing.T) {
	is := is.New(t)
	const instances = 10
	share := FallbackShare{Rate: 20.0 / instances, Burst: 2}
	now := time.Unix(1000, 0)
	limiters := make([]LocalLimiter, instances)
	for n := range limiters {
		limiters[n].HandleFailure(now, 0, share)
		limiters[n].ConfirmLoss(now)
	}
	runs := 0
	for range 5 * 100 * instances {
		now = now.Add(10 * time.Millisecond / instances)
		if v, after := limiters[runs%instances].Admit(now, false, share); v == SpendFallback {
			runs++
		} else {
			is.True(after > 0)
		}
	}
	is.True(runs <= 5*20+2*instances)
	is.True(runs >= 5*20-2*instances)
}

// TestUnreportedRequestsAreReportedOnce checks that requests spent from the own share are reported once when the
// coordinator can be reached again, and kept for another report if the call is lost.
func TestUnreportedRequestsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var limiter LocalLimiter
	limiter.HandleReply(now, "home", BucketState{Level: 1})
	share := FallbackShare{Rate: 1, Burst: 4, Initial: 1, Window: time.Minute}
	limiter.HandleFailure(now, 0, share)
	limiter.ConfirmLoss(now)
	admit := func(after time.Duration, want SpendDecision) {
		t.Helper()
		got, _ := limiter.Admit(now.Add(after), false, share)
		is.Equal(got, want)
	}
	admit(0, SpendFallback) // of the initial share, of which no coordinator has to learn
	admit(0, Refuse)
	admit(2*time.Second, SpendFallback)
	admit(2*time.Second, SpendFallback)
	admit(2*time.Second, Refuse)
	is.Equal(limiter.TakeUnreported(), 2)
	is.Equal(limiter.TakeUnreported(), 0)
	limiter.HandleFailure(now, 2, FallbackShare{}) // the call was lost
	is.Equal(limiter.TakeUnreported(), 2)
}
