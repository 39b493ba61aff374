package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthstile/backend/health"
	"amaranthstile/choice"
	"amaranthstile/internal/model"
)

const (
	endpoints  = 8
	slots      = 3
	perSecond  = 50.0 // requests at each endpoint
	onset      = 30 * time.Second
	gossip     = 400 * time.Millisecond
	callerTime = 10 * time.Second
)

type times struct {
	name string
	draw func(*rand.Rand) time.Duration
}

// mean is the service time at which perSecond requests take a share of the slots.
func mean(load float64) time.Duration {
	return time.Duration(load * slots / perSecond * float64(time.Second))
}

type judgeKind struct {
	name string
	make func() model.Detector
}

var judges = []judgeKind{
	{"first: 5 in a row, mean over 3 x peers", func() model.Detector { return &consecutive{} }},
	{"last: sums of evidence", func() model.Detector { return health.New(time.Time{}) }},
}

var faults = []struct {
	name  string
	fault model.Fault
}{
	{"all fail", model.Fault{ErrorRate: 1}},
	{"hang", model.Fault{Hang: true}},
	{"30% errors", model.Fault{ErrorRate: 0.3}},
	{"5 times slower", model.Fault{SlowFactor: 5}},
}

func detection(seeds int) {
	fmt.Println("| service times | load | fault | detector | median | worst | missed in 10 s | failures until out, worst | others ejected |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, load := range []float64{0.3, 0.6} {
		for _, t := range []times{
			{"exponential", model.Exponential(mean(load))},
			{"hyperexponential, cv 4", model.Hyperexponential(mean(load), 4)},
			{"lognormal, cv 4", model.Lognormal(mean(load), 4)},
		} {
			for _, f := range faults {
				for _, j := range judges {
					detectionRow(seeds, load, t, f.name, f.fault, j)
				}
			}
		}
	}
}

func detectionRow(seeds int, load float64, t times, name string, fault model.Fault, j judgeKind) {
	var took []time.Duration
	missed, others, failures := 0, 0, 0
	for seed := range seeds {
		d := detect(uint64(seed), t, fault, j)
		others += d.others
		failures = max(failures, d.failures)
		if d.after == 0 {
			missed++
			continue
		}
		took = append(took, d.after)
	}
	slices.Sort(took)
	median, worst := time.Duration(0), time.Duration(0)
	if len(took) > 0 {
		median, worst = took[len(took)/2], took[len(took)-1]
	}
	fmt.Printf("| %s | %.0f%% | %s | %s | %v | %v | %d of %d | %d | %d |\n", t.name, 100*load, name, j.name,
		median.Round(time.Millisecond), worst.Round(time.Millisecond), missed, seeds, failures, others)
}

type detected struct {
	after    time.Duration // 0 for never
	failures int
	others   int
}

func detect(seed uint64, t times, fault model.Fault, j judgeKind) detected {
	var d detected
	total := int(perSecond * endpoints * (onset + 10*time.Second).Seconds())
	model.New(model.Options{
		Seed: seed, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
		ServiceTime: t.draw, Requests: total, GossipDelay: gossip, RequestTimeout: callerTime, Policy: choice.RoundRobin, Floor: 0.5,
		NewDetector: j.make,
		Fault: func(e int, now time.Duration) model.Fault {
			if e != 0 || now < onset {
				return model.Fault{}
			}
			return fault
		},
		VerdictChanged: func(e int, now time.Duration, v health.Verdict) {
			switch {
			case !v.Out || v.Reason == health.ReasonTrial:
			case e != 0 || now < onset:
				d.others++
			case d.after == 0:
				d.after = now - onset
				d.failures = v.Failures
			}
		},
	}).Run()
	return d
}

func falseEjections(requests int) {
	fmt.Println("| service times | load of the slots | background errors | detector | healthy requests | ejections |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	load := 0.95
	for _, t := range []times{
		{"exponential", model.Exponential(mean(load))},
		{"hyperexponential, cv 4", model.Hyperexponential(mean(load), 4)},
		{"lognormal, cv 4", model.Lognormal(mean(load), 4)},
	} {
		for _, background := range []float64{0, 0.02} {
			for _, j := range judges {
				out := 0
				res := model.New(model.Options{
					Seed: 7, Endpoints: endpoints, Slots: slots, Entries: 4, Domains: 1, Rate: perSecond * endpoints,
					ServiceTime: t.draw, Requests: requests, GossipDelay: gossip, Policy: choice.IdleFirst, Floor: 0.5,
					NewDetector: j.make, NoGossip: false,
					Fault: func(int, time.Duration) model.Fault { return model.Fault{ErrorRate: background} },
					VerdictChanged: func(_ int, _ time.Duration, v health.Verdict) {
						if v.Out {
							out++
						}
					},
				}).Run()
				fmt.Printf("| %s | 95%% | %.0f%% | %s | %d | %d |\n", t.name, 100*background, j.name, res.Answered+res.Failed, out)
			}
		}
	}
}
