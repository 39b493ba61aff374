package contract

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleetOfPurses plays requests of one account at several instances against one home whose answers take a while.
type fleetOfPurses struct {
	pool   AccountBucket
	purses []LocalLimiter
	runs   []time.Time
	// news are the answers of the home that are under way.
	news []answerUnderWay
}

type answerUnderWay struct {
	at     time.Time
	purse  int
	spent  int
	state  BucketState
	asking bool
}

// request plays one request; latency is the way to the home and back.
func (f *fleetOfPurses) request(now time.Time, n int, latency time.Duration) {
	f.deliver(now)
	switch v, _ := f.purses[n].Admit(now, true, FallbackShare{}, 0); v {
	case SpendNow:
		f.runs = append(f.runs, now)
		f.news = append(f.news, answerUnderWay{now.Add(latency), n, 1, f.pool.Spend(now.Add(latency/2), 1, 0), false})
	case AskCoordinator:
		s := f.pool.Spend(now.Add(latency/2), 0, 1)
		if s.Granted > 0 {
			f.runs = append(f.runs, now.Add(latency))
		}
		f.news = append(f.news, answerUnderWay{now.Add(latency), n, 0, s, true})
	}
}

func (f *fleetOfPurses) deliver(now time.Time) {
	rest := f.news[:0]
	for _, a := range f.news {
		if a.at.After(now) {
			rest = append(rest, a)
			continue
		}
		f.purses[a.purse].HandleReply(now, "home", a.spent, a.state)
	}
	f.news = rest
}

func (f *fleetOfPurses) most(window time.Duration) int { return mostWithin(f.runs, window) }

// mostWithin returns the largest number of runs in any window.
func mostWithin(runs []time.Time, window time.Duration) int {
	most, from := 0, 0
	for to := range runs {
		for runs[to].Sub(runs[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestPoolKeepsTheWindow plays accounts that send up to eight times their rate from many instances at once: no window may
// hold more than rate and burst with overage and slack.
func TestPoolKeepsTheWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(2, 60).Draw(r, "rate")
		burst := rapid.Float64Range(1, 60).Draw(r, "burst")
		load := rapid.Float64Range(0.5, 8).Draw(r, "load")
		n := rapid.IntRange(1, 40).Draw(r, "instances")
		seed := rapid.Uint64().Draw(r, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		w := WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
		now := time.Unix(1000, 0)
		f := &fleetOfPurses{purses: make([]LocalLimiter, n)}
		allowedRate, allowedBurst := w.Allowed(rate, burst)
		f.pool.SetLimits(now, allowedRate, allowedBurst)
		for end := now.Add(20 * time.Second); now.Before(end); {
			now = now.Add(time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second)))
			f.request(now, random.IntN(n), 4*time.Millisecond)
		}
		bound := (rate*w.Length.Seconds()+burst)*(1+w.Overage) + w.Slack
		if got := f.most(w.Length); float64(got) > bound {
			r.Fatalf("%d runs in a window, at most %.1f are allowed", got, bound)
		}
	})
}

// TestPoolRefusesNothingBelowTheRate plays an account that stays at four fifths of its rate at 38 instances.
func TestPoolRefusesNothingBelowTheRate(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	w := WindowLimit{Length: 5 * time.Second, Overage: 0.1, Slack: 20}
	const rate, burst = 36.0, 36.0
	now := time.Unix(1000, 0)
	f := &fleetOfPurses{purses: make([]LocalLimiter, 38)}
	allowedRate, allowedBurst := w.Allowed(rate, burst)
	f.pool.SetLimits(now, allowedRate, allowedBurst)
	asked := 0
	for end := now.Add(60 * time.Second); now.Before(end); asked++ {
		now = now.Add(time.Duration(random.ExpFloat64() / (0.8 * rate) * float64(time.Second)))
		f.request(now, random.IntN(38), 4*time.Millisecond)
	}
	is.Equal(len(f.runs), asked)
}

// TestPurseGoesByItsOwnPartWithoutItsHome keeps the sum of the parts of instances that are cut off within the rate.
func TestPurseGoesByItsOwnPartWithoutItsHome(t *testing.T) {
	is := is.New(t)
	const instances = 10
	share := FallbackShare{Rate: 20.0 / instances, Burst: 2}
	now := time.Unix(1000, 0)
	purses := make([]LocalLimiter, instances)
	runs := 0
	for range 5 * 100 * instances {
		now = now.Add(10 * time.Millisecond / instances)
		if v, after := purses[runs%instances].Admit(now, false, share, 0.5); v == SpendFallback {
			runs++
		} else {
			is.True(after > 0)
		}
	}
	is.True(runs <= 5*20+2*instances)
}

// TestPurseTellsWhatItSpentAlone lets the home hear, once it is back, what was spent of the own part meanwhile.
func TestPurseTellsWhatItSpentAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p LocalLimiter
	p.HandleReply(now, "home", 0, BucketState{Level: 1})
	for range 2 {
		v, _ := p.Admit(now, false, FallbackShare{Rate: 1, Burst: 4}, 0)
		is.Equal(v, SpendFallback)
	}
	is.Equal(p.TakeUnreported(), 2)
	is.Equal(p.TakeUnreported(), 0)
	p.RestoreUnreported(2) // the call was lost
	is.Equal(p.TakeUnreported(), 2)
}
