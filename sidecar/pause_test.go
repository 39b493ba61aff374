package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/event"
	"amaranthstile/quota"
)

// TestPausedCoordinatorHandsOutNothingTwice guards against an instance that was paused and grants what accrued meanwhile,
// although others spent it from their own shares.
func TestPausedCoordinatorHandsOutNothingTwice(t *testing.T) {
	const rate, burst = 10, 20
	for name, row := range map[string]struct {
		idle    time.Duration // of the account, while this instance runs
		silent  time.Duration // since this instance noted that it runs
		granted int
	}{
		"paused":                      {0, time.Second, 0},
		"not paused":                  {0, minPause - time.Millisecond, 2},
		"paused after an idle minute": {time.Minute, time.Second, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			b := quota.NewAccountBucket(now)
			b.SetLimits(now, rate, burst)
			q := &quotas{
				instance: &Instance{options: Options{Events: event.Discard()}},
				buckets:  map[string]*quota.AccountBucket{"a": b}, ranAt: now.Add(row.idle),
			}
			now = now.Add(row.idle + row.silent)
			q.detectPause(now)
			is.Equal(b.Spend(now, quota.Usage{Instance: "i", Sequence: 1, Requested: 5}).Granted, row.granted)
			now = now.Add(coordinatorRetryInterval)
			b.Spend(now, quota.Usage{Instance: "j", Sequence: 1, Spent: 5})
			now = now.Add(2 * time.Second) // what was not reported by now goes to the bucket
			is.True(b.Spend(now, quota.Usage{Instance: "i", Sequence: 2, Requested: 100}).Granted >= burst-1)
		})
	}
}
