package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/balancer"
	"amaranthstile/internal/model"
)

const (
	endpoints = 8
	slots     = 3
	mean      = 20 * time.Millisecond
	capacity  = endpoints * slots * 50 // requests per second
)

// service returns the options of a service with the given arrival rate that runs for a number of seconds.
func service(rate float64, seconds int) model.Options {
	return model.Options{
		Seed: 3, Endpoints: endpoints, Slots: slots, Entries: 8, Domains: 1, Rate: rate,
		ServiceTime: model.Exponential(mean), Requests: int(rate) * seconds, GossipDelay: 400 * time.Millisecond,
		RequestTimeout: 10 * time.Second, NoWaitAttempts: 3,
	}
}

// TestHeavyAccountDoesNotAffectOthers checks that an account that sends five times its rate causes no failures of the
// other accounts and raises their 99th percentile to at most 1.5 times its usual value.
func TestHeavyAccountDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	const all, heavyRate, lights = 0.95 * capacity, 0.3 * 0.95 * capacity, 7
	run := func(factor float64) model.Result {
		total := all + (factor-1)*heavyRate
		o := service(total, 20)
		o.Accounts = []model.Account{{Name: "heavy", Weight: 1, Share: factor * heavyRate / total}}
		for i := range lights {
			o.Accounts = append(o.Accounts, model.Account{
				Name: string(rune('a' + i)), Weight: 1, Share: (all - heavyRate) / total / lights,
			})
		}
		return model.New(o).Run()
	}
	usual, overloaded := run(1), run(5)
	is.True(overloaded.FailedByAccount["heavy"] > 0)
	for account, h := range overloaded.LatencyByAccount {
		if account == "heavy" {
			continue
		}
		is.Equal(overloaded.FailedByAccount[account], 0)
		if base := usual.LatencyByAccount[account].ValueAtQuantile(99); float64(h.ValueAtQuantile(99)) > 1.5*float64(base) {
			t.Errorf("account %s: 99th percentile %d us, usually %d us", account, h.ValueAtQuantile(99), base)
		}
	}
}

// TestDefaultPolicyBeatsRoundRobin compares mean and 99th percentile of the default policy with those of RoundRobin.
func TestDefaultPolicyBeatsRoundRobin(t *testing.T) {
	for name, change := range map[string]func(*model.Options){
		"60%":             func(o *model.Options) { o.Rate = 0.6 * capacity },
		"80%":             func(o *model.Options) { o.Rate = 0.8 * capacity },
		"95%":             func(o *model.Options) { o.Rate = 0.95 * capacity },
		"many instances":  func(o *model.Options) { o.Entries = 40 },
		"stale load":      func(o *model.Options) { o.LoadReportEvery = 10 },
		"failure domains": func(o *model.Options) { o.Domains = 4 },
		"one slow": func(o *model.Options) {
			o.Fault = func(e int, _ time.Duration) model.Fault {
				if e == 0 {
					return model.Fault{SlowFactor: 3}
				}
				return model.Fault{}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := service(0.8*capacity, 20)
			change(&o)
			standard := model.New(o).Run()
			o.Policy, o.NoWaitAttempts = balancer.RoundRobin, 0
			roundRobin := model.New(o).Run()
			is.Equal(standard.Failed, 0)
			is.True(standard.Latency.Mean() < roundRobin.Latency.Mean())
			is.True(standard.Latency.ValueAtQuantile(99) < roundRobin.Latency.ValueAtQuantile(99))
		})
	}
}
