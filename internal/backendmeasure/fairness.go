package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthstile/balancer"
	"amaranthstile/internal/model"
)

const (
	lightAccounts    = 7
	fairnessLoad     = 0.95
	heavyShare       = 0.3 // of the slots, at its rate
	fairnessTimeout  = 10 * time.Second
	fairnessDuration = 60 * time.Second
)

// fairness compares the results of the accounts that keep to their rate while a heavy account keeps to its rate, and
// while it sends five times as much.
func fairness(seeds int) {
	fmt.Println("| queue | heavy account | others' 99% ms, worst account | others refused | heavy answered | heavy refused |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, q := range []struct {
		name           string
		fifo           bool
		noWaitAttempts int
	}{
		{"baseline: in order of arrival", true, 0},
		{"start-time fair", false, 0},
		{"product: start-time fair, 3 attempts without waiting", false, 3},
	} {
		for _, factor := range []float64{1, 5} {
			fairnessRow(seeds, q.name, q.fifo, q.noWaitAttempts, factor)
		}
	}
}

// fairnessRow prints the row of one queue, over all seeds.
func fairnessRow(seeds int, name string, fifo bool, noWaitAttempts int, factor float64) {
	others := make(map[string]*hdrhistogram.Histogram)
	refused, heavyAnswered, heavyRefused := 0, 0, 0
	for seed := range seeds {
		result := fairnessRun(uint64(seed), fifo, noWaitAttempts, factor)
		for account, h := range result.LatencyByAccount {
			if account == "heavy" {
				heavyAnswered += int(h.TotalCount())
				continue
			}
			if others[account] == nil {
				others[account] = hdrhistogram.New(1, 600_000_000, 3)
			}
			others[account].Merge(h)
		}
		for account, n := range result.FailedByAccount {
			if account == "heavy" {
				heavyRefused += n
			} else {
				refused += n
			}
		}
	}
	worst := int64(0)
	for _, h := range others {
		worst = max(worst, h.ValueAtQuantile(99))
	}
	fmt.Printf("| %s | %.0f x its rate | %.1f | %d | %d | %d |\n",
		name, factor, float64(worst)/1000, refused, heavyAnswered, heavyRefused)
}

// fairnessRun runs one simulation in which the heavy account sends factor times its rate.
func fairnessRun(seed uint64, fifo bool, noWaitAttempts int, factor float64) model.Result {
	rate := fairnessLoad * endpoints * slots / choiceMean.Seconds()
	heavy := rate * heavyShare * factor
	light := rate * (1 - heavyShare)
	total := heavy + light
	accounts := []model.Account{{Name: "heavy", Weight: 1, Share: heavy / total}}
	for i := range lightAccounts {
		accounts = append(accounts, model.Account{
			Name: fmt.Sprint("light-", i), Weight: 1, Share: light / total / lightAccounts,
		})
	}
	return model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: 8, Domains: 1, Rate: total,
		ServiceTime: model.Exponential(choiceMean), Requests: int(total * fairnessDuration.Seconds()),
		GossipDelay: gossipDelay, RequestTimeout: fairnessTimeout, Policy: balancer.IdleFirst,
		Accounts: accounts, FIFO: fifo, NoWaitAttempts: noWaitAttempts,
	}).Run()
}
