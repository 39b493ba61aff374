package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const drainTimeout = 2 * time.Second

// leavingEndpointGetsWork kills the process beside an endpoint right after it has acknowledged that the endpoint leaves,
// and the store turns that machine away for 9 s. The last two heartbeats that the endpoint had sent before it left arrive
// 3.1 s and 4.1 s late. The endpoint must get no request later than the drain timeout after the ack.
func leavingEndpointGetsWork(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, regantesYi, []route{{"ledger", "safe", "ledger", 5}}, []string{"ledger", "ledger", "ledger", "ledger", "ledger"}, 2)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.nodes[1:] {
		for range 3 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
						ask(r, n, key, "GET", "/ledger/100-400-1-0")
					}
				}
			})
		}
	}
	defer clients.Wait()
	defer close(stop)
	time.Sleep(time.Second)
	left := f.nodes[0]
	e := left.endpoint
	e.stopHeartbeats()
	var delayed []string // on their way
	for range 2 {
		time.Sleep(heartbeatInterval)
		delayed = append(delayed, e.heartbeat())
		r.add("%s sends a heartbeat that will be late", e.id)
	}
	time.Sleep(100 * time.Millisecond)
	status := e.call("leave", fmt.Sprintf(`{"born":%d}`, e.born))
	acked := time.Now()
	r.add("leave of %s answered with %d", e.id, status)
	if status != http.StatusOK {
		return false, fmt.Errorf("the leave was not acknowledged: %d", status)
	}
	bound := acked.Add(drainTimeout)
	if trouble {
		left.storeAway.Store(true)
		r.add("the store turns %s away", left.name)
		left.signal(syscall.SIGKILL)
		<-left.ended
		r.add("SIGKILL  %s", left.name)
		time.Sleep(200 * time.Millisecond)
		if err := left.start(); err != nil {
			return false, err
		}
		r.add("started  %s", left.name)
		bound = time.Now().Add(3 * time.Second) // from then on, the process has run for the stability window
	}
	time.Sleep(time.Until(acked.Add(1500 * time.Millisecond)))
	r.add("a late heartbeat answered with %d", e.call("heartbeat", delayed[0]))
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	r.add("a late heartbeat answered with %d", e.call("heartbeat", delayed[1]))
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	left.storeAway.Store(false)
	late := e.runsAfter(bound)
	r.add("%d requests reached %s later than %.1f s after the ack", late, e.id, bound.Sub(acked).Seconds())
	return late > 0, nil
}
