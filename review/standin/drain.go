package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// servingTime is how long an endpoint goes on serving after it said that it leaves.
const servingTime = 14 * time.Second

// timeBeforeLeave is how long after its start an endpoint leaves that has no acknowledgement yet: less than the second
// that it waits for one.
const timeBeforeLeave = 800 * time.Millisecond

// drainMachines is how many machines there are, so that one endpoint is no more than a tenth.
const drainMachines = 10

// workTime is how long an endpoint works on a request.
const workTime = 250 * time.Millisecond

// oneTenant is a tenant without a limit.
var oneTenant = tenant{name: "tenant-a", key: "key-of-tenant-a-0001"}

// drainWatch checks the rule DRAIN: no request is to reach an endpoint later than drainTimeout after its leaving was
// acknowledged, through machines in touch.
type drainWatch struct {
	record *record
	// from is the time from which all machines are in touch, in Unix nanoseconds; 0 while some are not.
	from atomic.Int64
	runs atomic.Int64
}

// arrived records a run.
func (d *drainWatch) arrived(x run) {
	d.runs.Add(1)
	d.record.add("%s runs at %s", x.id, x.endpoint.id)
	acked := x.endpoint.ackedDown.Load()
	from := d.from.Load()
	if acked == nil || from == 0 || x.at.UnixNano() < from {
		return
	}
	if late := x.at.Sub(*acked); late > drainTimeout {
		d.record.breaks("DRAIN: %s reaches %s %.2f s after its leaving was acknowledged", x.id, x.endpoint.id, late.Seconds())
	}
}

// inTouchFrom sets the time from which all machines are in touch.
func (d *drainWatch) inTouchFrom(t time.Time) { d.from.Store(t.UnixNano()) }

// disturbed sets that a machine is not in touch.
func (d *drainWatch) disturbed() { d.from.Store(0) }

// startLoad sends unsafe requests from all machines that take new work at a steady rate until ctx ends.
func (f *fleet) startLoad(ctx context.Context, running *sync.WaitGroup, service string, interval time.Duration) {
	for _, m := range f.machines {
		running.Go(func() { m.watchReadiness(ctx) })
		running.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if m.out.Load() {
					continue
				}
				running.Go(func() {
					id := newRequestID()
					f.record.add("%s is sent on %s", id, m.name)
					f.record.add("%s is answered %d", id, m.send(id, service, "unsafe", oneTenant.key))
				})
			}
		})
	}
}

// startDrainFleet starts the machines, with an endpoint on each from the given one on, and the load.
func startDrainFleet(r *record, watch *drainWatch, from int) (f *fleet, endpoints []*endpoint, stop func(), err error) {
	services := make([]string, drainMachines)
	for i := range services {
		services[i] = "orders"
	}
	f, err = newFleet(r, services)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := f.configure([]string{"orders"}, []tenant{oneTenant}); err != nil {
		return nil, nil, nil, err
	}
	for i, m := range f.machines[from:] {
		e, err := newEndpoint(m, fmt.Sprintf("i-%08x", from+i+1), time.Now(), 3, workTime, watch.arrived)
		if err != nil {
			return nil, nil, nil, err
		}
		endpoints = append(endpoints, e)
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, nil, nil, err
	}
	time.Sleep(stabilityWindow)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	f.startLoad(ctx, &running, "orders", 150*time.Millisecond)
	return f, endpoints, func() {
		cancel()
		running.Wait()
		f.close()
	}, nil
}

// runDrainRestart stops and starts the instance beside an endpoint that has left. A heartbeat that the endpoint sent before
// it left arrives after that, with and without the disruption.
func runDrainRestart(r *record, trouble bool) error {
	watch := &drainWatch{record: r}
	f, endpoints, stop, err := startDrainFleet(r, watch, 0)
	if err != nil {
		return err
	}
	defer stop()
	watch.inTouchFrom(time.Now())
	leaving := endpoints[0]
	leaving.silent.Store(true)
	time.Sleep(time.Until(time.Unix(0, leaving.lastBeat.Load()).Add(heartbeatInterval)))
	late := leaving.heartbeat()
	sent := time.Now()
	r.add("endpoint %s sends a heartbeat, which is held up on the way", leaving.id)
	time.Sleep(100 * time.Millisecond)
	if !leaving.leave() {
		return errors.New("no acknowledgement of the leave")
	}
	if trouble {
		watch.disturbed()
		f.machines[0].end(syscall.SIGTERM)
		if err := f.machines[0].start(); err != nil {
			return err
		}
		watch.inTouchFrom(time.Now().Add(stabilityWindow))
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(sent.Add(4 * time.Second)))
	ok := leaving.report(context.Background(), f.machines[0].address("control"), late)
	r.add("the heartbeat arrives %.1f s late; acknowledged: %v", time.Since(sent).Seconds(), ok)
	time.Sleep(time.Until(sent.Add(servingTime)))
	r.add("endpoint %s ends, %d requests ran in all", leaving.id, watch.runs.Load())
	leaving.crash()
	time.Sleep(time.Second)
	return nil
}

// runDrainUnknown starts an endpoint and lets it leave before the next heartbeat is due. With the disruption, the first
// heartbeat arrives late.
func runDrainUnknown(r *record, trouble bool) error {
	watch := &drainWatch{record: r}
	f, _, stop, err := startDrainFleet(r, watch, 1)
	if err != nil {
		return err
	}
	defer stop()
	watch.inTouchFrom(time.Now())
	added := &endpoint{machine: f.machines[0], id: "i-000000ff", born: time.Now(), slots: 3, work: workTime, arrived: watch.arrived}
	if err := added.listen(); err != nil {
		return err
	}
	first := added.heartbeat()
	report := func() {
		ok := added.report(context.Background(), f.machines[0].address("control"), first)
		r.add("the first heartbeat of %s arrives %.1f s after its start; acknowledged: %v", added.id, time.Since(added.born).Seconds(), ok)
	}
	if !trouble {
		report()
	}
	time.Sleep(timeBeforeLeave)
	if !added.leave() {
		return errors.New("no acknowledgement of the leave")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		report()
	}
	time.Sleep(time.Until(added.born.Add(servingTime)))
	r.add("endpoint %s ends, %d requests ran in all", added.id, watch.runs.Load())
	added.crash()
	time.Sleep(time.Second)
	return nil
}

// runDrainClock lets an endpoint go down and up twice under its ID and then drain. With the disruption, the time of day of
// its machine is ahead for a while and comes back before the second start.
func runDrainClock(r *record, trouble bool) error {
	const step, period = 2 * time.Second, 1400 * time.Millisecond
	watch := &drainWatch{record: r}
	f, endpoints, stop, err := startDrainFleet(r, watch, 0)
	if err != nil {
		return err
	}
	defer stop()
	watch.inTouchFrom(time.Now())
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		r.add("the time of day of %s jumps ahead by %v", f.machines[0].name, step)
	}
	e := endpoints[0]
	for range 2 {
		e.crash()
		time.Sleep(period / 2)
		if e, err = newEndpoint(f.machines[0], e.id, time.Now().Add(ahead), 3, workTime, watch.arrived); err != nil {
			return err
		}
		time.Sleep(period / 2)
		if ahead > 0 {
			r.add("the time of day of %s jumps back by %v", f.machines[0].name, step)
		}
		ahead = 0
	}
	time.Sleep(2 * stabilityWindow)
	e.draining.Store(true)
	if !e.report(context.Background(), f.machines[0].address("control"), e.heartbeat()) {
		return errors.New("no acknowledgement of the drain")
	}
	time.Sleep(3 * drainTimeout)
	if !e.leave() {
		return errors.New("no acknowledgement of the leave")
	}
	time.Sleep(time.Second)
	r.add("endpoint %s ends, %d requests ran in all", e.id, watch.runs.Load())
	e.crash()
	time.Sleep(time.Second)
	return nil
}
