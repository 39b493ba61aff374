package model

import (
	"time"

	"amaranthstile/backend/admission"
)

const (
	ms         = time.Millisecond
	nestedWork = 100 * ms
)

// retryBound is the bound on the retries at one endpoint.
var retryBound = admission.RetryBound{Window: 10 * time.Second, Ratio: 0.2, Slack: 2}

// nestedCall returns a kind of nested calls.
func nestedCall(name, service string, work, target time.Duration) Kind {
	return Kind{Name: name, Service: service, Work: work, Target: target, Limit: 1500 * ms, Repeatable: true}
}

// Bank returns the load of the customer deployment with uneven demand of docs/design/limited-capacity.md: its services,
// kinds of requests, wave and failing servers. The distribution of servers and callers over the failure domains is
// assumed: the domain with the fewest servers has the most callers.
func Bank(seed uint64) FleetOptions {
	return FleetOptions{
		Seed: seed, Slots: 5, Load: 1, Swing: 0.55, Period: 13 * time.Second,
		DomainShares: []float64{0.25, 0.3, 0.45},
		FailingShare: 0.3, FailureRate: 0.85, FailureTime: 4 * time.Second,
		LocalDelay: 500 * time.Microsecond, RemoteDelay: 3900 * time.Microsecond,
		RetryBound: retryBound,
		Duration:   39 * time.Second,
		Services: []FleetService{
			{"ledger-view", []int{9, 8, 6}},
			{"transfers", []int{13, 14, 10}},
			{"lending", []int{4, 4, 2}},
			{"scheduler", []int{2, 1, 1}},
		},
		Kinds: []Kind{
			{
				Name: "balance-read", Service: "ledger-view", Rate: 45.9, Work: 460 * ms, Target: 2000 * ms, Limit: 5000 * ms,
				Priority: 2, Repeatable: true, OnTime: 1, Late: 0.3, Nested: "member-lookup", NestedShare: 0.7, NestedCalls: 2,
			},
			{
				Name: "transfer-send", Service: "transfers", Rate: 131, Work: 360 * ms, Target: 2000 * ms, Limit: 6000 * ms,
				Priority: 1, OnTime: 2, Late: 0.6, Nested: "rate-check", NestedShare: 0.7, NestedCalls: 1,
			},
			{
				Name: "loan-repay", Service: "lending", Rate: 34.9, Work: 250 * ms, Target: 1200 * ms, Limit: 5000 * ms,
				OnTime: 3, Late: 0.9, Nested: "limit-check", NestedShare: 0.7, NestedCalls: 1,
			},
			{
				Name: "standing-order", Service: "scheduler", Rate: 12.9, Work: 280 * ms, Target: 1500 * ms, Limit: 5000 * ms,
				Priority: 2, OnTime: 1, Late: 0.3,
			},
			nestedCall("member-lookup", "transfers", nestedWork, 500*ms),
			nestedCall("rate-check", "lending", nestedWork, 500*ms),
			nestedCall("limit-check", "scheduler", nestedWork, 500*ms),
		},
	}
}

// Ledgers returns the load of the customer deployment with evenly spread servers of docs/design/limited-capacity.md.
func Ledgers(seed uint64) FleetOptions {
	return FleetOptions{
		Seed: seed, Slots: 8, Load: 1, Period: 13 * time.Second,
		DomainShares: []float64{0.33, 0.33, 0.34},
		FailingShare: 0.3, FailureRate: 0.85, FailureTime: 4 * time.Second,
		LocalDelay: 500 * time.Microsecond, RemoteDelay: ms,
		RetryBound: retryBound, Duration: 20 * time.Second,
		Services: []FleetService{{"ledger-desk", []int{19, 19, 18}}, {"closing-house", []int{13, 13, 13}}},
		Kinds: []Kind{
			{
				Name: "balance-read", Service: "ledger-desk", Rate: 83.6, Work: 480 * ms, Target: 1500 * ms, Limit: 6000 * ms,
				Priority: 1, Repeatable: true, OnTime: 0.85, Late: 0.26, Nested: "chart-read", NestedShare: 0.7, NestedCalls: 2,
			},
			{
				Name: "journal-post", Service: "ledger-desk", Rate: 223, Work: 620 * ms, Target: 1500 * ms, Limit: 8000 * ms,
				Priority: 1, OnTime: 1.7, Late: 0.51,
			},
			{
				Name: "period-close", Service: "closing-house", Rate: 55.7, Work: 340 * ms, Target: 1000 * ms, Limit: 4000 * ms,
				OnTime: 4.9, Late: 0.58,
			},
			{
				Name: "trial-read", Service: "closing-house", Rate: 43.7, Work: 1900 * ms, Target: 12000 * ms, Limit: 25000 * ms,
				Priority: 2, Repeatable: true, OnTime: 0.43, Late: 0.19,
			},
			nestedCall("chart-read", "closing-house", 120*ms, 400*ms),
		},
	}
}
