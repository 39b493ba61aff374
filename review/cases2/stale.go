package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	machines  = 38
	survivors = 4
	rounds    = 6
	// configDeadline is the bound in the settings, and observed how long after it the survivors are asked.
	configDeadline = 2 * time.Second
	observed       = 2500 * time.Millisecond
	// lastRound is when the last round may begin, so that the case ends within two minutes on a slow machine, too.
	lastRound = time.Minute
)

// keyRunsAfterMassLoss ends most instances at once, as a loss of power does, and takes a key away right after it: the other
// instances, which reach the store all the while, must not run requests with that key later than the bound.
func keyRunsAfterMassLoss(r *record, trouble bool) (broken bool, err error) {
	services := make([]string, machines)
	for i := range services {
		services[i] = "turns"
	}
	f, err := newFleet(r, regantesYi, []route{{"turns", "unsafe", "turns", 2}}, services, 3)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	late := 0
	start := time.Now()
	for round := range rounds {
		if time.Since(start) > lastRound {
			break
		}
		n, err := massLossRound(r, f, trouble, round)
		if err != nil {
			return false, err
		}
		late += n
		if late > 0 {
			break
		}
	}
	r.add("%d requests with the key ran that were sent later than the bound", late)
	return late > 0, nil
}

// massLossRound returns how many requests with the dropped key ran that were sent later than the bound.
func massLossRound(r *record, f *fleet, trouble bool, round int) (late int, err error) {
	dropped := "key-of-round-" + strconv.Itoa(round)
	if err := f.configure([]string{key, dropped}); err != nil {
		return 0, err
	}
	time.Sleep(2 * configDeadline)
	order := rand.Perm(machines)
	left := order[:survivors]
	if trouble {
		for _, i := range order[survivors:] {
			f.nodes[i].signal(syscall.SIGKILL)
		}
		r.add("SIGKILL  %d of %d instances", machines-survivors, machines)
	}
	time.Sleep(200 * time.Millisecond)
	if err := f.configure([]string{key}); err != nil {
		return 0, err
	}
	acked := time.Now()
	r.add("acked    the configuration without %s", dropped)
	time.Sleep(configDeadline + 100*time.Millisecond)
	var asking sync.WaitGroup
	var mu sync.Mutex
	for _, i := range left {
		asking.Go(func() {
			for time.Since(acked) < configDeadline+observed {
				if status := ask(r, f.nodes[i], dropped, "POST", "/turns/5-100-1-0"); status == http.StatusOK {
					mu.Lock()
					late++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	if !trouble || late > 0 {
		return late, nil
	}
	for _, i := range order[survivors:] {
		<-f.nodes[i].ended
		if err := f.nodes[i].start(); err != nil {
			return 0, err
		}
	}
	return late, f.awaitReady()
}
