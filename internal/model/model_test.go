package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/choice"
	"amaranthstile/internal/model"
)

const (
	endpoints = 8
	slots     = 3
	mean      = 20 * time.Millisecond
	capacity  = endpoints * slots * 50 // requests per second
)

func service(rate float64, seconds int) model.Options {
	return model.Options{
		Seed: 3, Endpoints: endpoints, Slots: slots, Entries: 8, Domains: 1, Rate: rate, ServiceTime: model.Exponential(mean),
		Requests: int(rate) * seconds, GossipDelay: 400 * time.Millisecond, RequestTimeout: 10 * time.Second, NoWaitAttempts: 3,
	}
}

// TestHeavyAccountHarmsNobody: an account that sends five times its rate leaves the others their answers, and their
// 99th percentile within 1.5 times what it is otherwise.
func TestHeavyAccountHarmsNobody(t *testing.T) {
	is := is.New(t)
	const all, heavyRate, lights = 0.95 * capacity, 0.3 * 0.95 * capacity, 7
	run := func(factor float64) model.Result {
		total := all + (factor-1)*heavyRate
		o := service(total, 20)
		o.Accounts = []model.Account{{Name: "heavy", Weight: 1, Share: factor * heavyRate / total}}
		for i := range lights {
			o.Accounts = append(o.Accounts, model.Account{Name: string(rune('a' + i)), Weight: 1, Share: (all - heavyRate) / total / lights})
		}
		return model.New(o).Run()
	}
	usual, burdened := run(1), run(5)
	is.True(burdened.FailedByAccount["heavy"] > 0)
	for account, h := range burdened.LatencyByAccount {
		if account == "heavy" {
			continue
		}
		is.Equal(burdened.FailedByAccount[account], 0)
		if was := usual.LatencyByAccount[account].ValueAtQuantile(99); float64(h.ValueAtQuantile(99)) > 1.5*float64(was) {
			t.Errorf("account %s: 99%% at %d us, otherwise %d", account, h.ValueAtQuantile(99), was)
		}
	}
}

// TestDefaultChoiceBeatsTurns holds at each load, for one slow endpoint and for failure domains.
func TestDefaultChoiceBeatsTurns(t *testing.T) {
	for name, change := range map[string]func(*model.Options){
		"60%":             func(o *model.Options) { o.Rate = 0.6 * capacity },
		"80%":             func(o *model.Options) { o.Rate = 0.8 * capacity },
		"95%":             func(o *model.Options) { o.Rate = 0.95 * capacity },
		"many entries":    func(o *model.Options) { o.Entries = 40 },
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
			best := model.New(o).Run()
			o.Policy, o.NoWaitAttempts = choice.RoundRobin, 0
			turns := model.New(o).Run()
			is.Equal(best.Failed, 0)
			is.True(best.Latency.Mean() < turns.Latency.Mean())
			is.True(best.Latency.ValueAtQuantile(99) < turns.Latency.ValueAtQuantile(99))
		})
	}
}
