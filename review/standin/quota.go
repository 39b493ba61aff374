package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"sync"
	"syscall"
	"time"

	"amaranthstile/membership"
)

// The bounds on what a tenant gets, and the tenant of the case.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

var batchTenant = tenant{name: "tenant-b", key: "key-of-tenant-b-0001", rate: 5, burst: 200}

// quotaWatch counts the requests of a tenant that were sent and ran.
type quotaWatch struct {
	record *record
	mu     sync.Mutex
	sent   map[string]time.Time
	runs   []run
}

// arrived records a run.
func (q *quotaWatch) arrived(x run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record.add("%s runs at %s", x.id, x.endpoint.id)
	q.runs = append(q.runs, x)
}

// most returns the largest number of requests that were both sent and ran within one window.
func (q *quotaWatch) most() (most int, from time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, first := range q.runs {
		start := q.sent[first.id]
		n := 0
		for _, x := range q.runs {
			if !q.sent[x.id].Before(start) && x.at.Sub(start) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, start
		}
	}
	return most, from
}

// check checks the rule QUOTA for a tenant.
func (q *quotaWatch) check(t tenant) {
	most, from := q.most()
	limit := (float64(t.rate)*quotaWindow.Seconds()+float64(t.burst))*(1+quotaOverage) + quotaSlack
	q.record.add("at most %d requests were sent and ran in %v, from %.3f s on; the limit is %.1f",
		most, quotaWindow, from.Sub(q.record.start).Seconds(), limit)
	if float64(most) > limit {
		q.record.breaks("QUOTA: %d requests in a window, at most %.1f are allowed", most, limit)
	}
}

// sendBatch sends requests of the tenant from machines, several at a time, until each client was refused once.
func (q *quotaWatch) sendBatch(machines []*machine) {
	const clientsPerMachine = 6
	var running sync.WaitGroup
	for _, m := range machines {
		for range clientsPerMachine {
			running.Go(func() {
				for status := http.StatusOK; status == http.StatusOK; {
					status = q.send(m, batchTenant)
				}
			})
		}
	}
	running.Wait()
}

// send sends one request of a tenant.
func (q *quotaWatch) send(m *machine, t tenant) int {
	id := newRequestID()
	q.mu.Lock()
	q.sent[id] = time.Now()
	q.mu.Unlock()
	q.record.add("%s is sent on %s", id, m.name)
	status := m.send(id, "orders", "unsafe", t.key)
	q.record.add("%s is answered %d", id, status)
	return status
}

// instanceID finds the ID that an instance logs at its start.
var instanceID = regexp.MustCompile(`"id":"([0-9a-f]{12})","domain"`)

// coordinator returns the machine whose instance counts for the tenants: the fleet is small enough to have only one. This
// only chooses the machine to stop, as the day "leader" of the bench does.
func (f *fleet) coordinator() (*machine, error) {
	records := make(map[membership.ID]*membership.Record)
	byID := make(map[membership.ID]*machine)
	for _, m := range f.machines {
		data, err := os.ReadFile(m.log.Name())
		if err != nil {
			return nil, err
		}
		found := instanceID.FindSubmatch(data)
		if found == nil {
			return nil, fmt.Errorf("%s logged no ID", m.name)
		}
		id := membership.ID(found[1])
		records[id], byID[id] = &membership.Record{ID: id}, m
	}
	return byID[membership.NewDirectory(records).ShardOwners(1)[0]], nil
}

// runQuotaStop stops one machine between two batches of a tenant.
func runQuotaStop(r *record, trouble bool) error {
	watch := &quotaWatch{record: r, sent: make(map[string]time.Time)}
	f, err := newFleet(r, []string{"orders", "orders", "orders", "orders"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.configure([]string{"orders"}, []tenant{batchTenant}); err != nil {
		return err
	}
	for i, m := range f.machines {
		if _, err := newEndpoint(m, fmt.Sprintf("i-%08x", i+1), time.Now(), 12, 5*time.Millisecond, watch.arrived); err != nil {
			return err
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	stopped, err := f.coordinator()
	if err != nil {
		return err
	}
	var others []*machine
	for _, m := range f.machines {
		if m != stopped {
			others = append(others, m)
		}
	}
	watch.send(others[0], batchTenant)
	r.add("the tenant sends nothing for 20 s, so that all of its burst is there")
	time.Sleep(20 * time.Second)
	start := time.Now()
	watch.sendBatch(others)
	r.add("the first batch ends")
	var stopping sync.WaitGroup
	if trouble {
		stopping.Go(func() { stopped.end(syscall.SIGTERM) })
	}
	time.Sleep(time.Until(start.Add(4 * time.Second)))
	watch.sendBatch(others)
	r.add("the second batch ends")
	stopping.Wait()
	watch.check(batchTenant)
	return nil
}

// hotTenant is the tenant that sends many times its usual.
var hotTenant = tenant{name: "tenant-h", key: "key-of-tenant-h-0001", rate: 10, burst: 10}

// machinesOfSite is how many machines the site regantes-yi has.
const machinesOfSite = 38

// runQuotaHot lets one tenant send many times its usual, from the machines of a deployment as large as the smaller sites of
// the users' pages.
func runQuotaHot(r *record, trouble bool) error {
	watch := &quotaWatch{record: r, sent: make(map[string]time.Time)}
	services := make([]string, machinesOfSite)
	for i := range services {
		services[i] = "orders"
	}
	f, err := newFleet(r, services)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.configure([]string{"orders"}, []tenant{hotTenant}); err != nil {
		return err
	}
	for i, m := range f.machines {
		if _, err := newEndpoint(m, fmt.Sprintf("i-%08x", i+1), time.Now(), 3, 20*time.Millisecond, watch.arrived); err != nil {
			return err
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * stabilityWindow)
	var running sync.WaitGroup
	next := 0
	sendFrom := func() {
		m := f.machines[next%len(f.machines)]
		next++
		running.Go(func() { watch.send(m, hotTenant) })
	}
	sendAt := func(perSecond float64, length time.Duration) {
		start := time.Now()
		for n := 0; ; n++ {
			at := time.Duration(float64(n) / perSecond * float64(time.Second))
			if at >= length {
				return
			}
			time.Sleep(time.Until(start.Add(at)))
			sendFrom()
		}
	}
	const (
		usual = 6 // requests per second
		more  = 14
		most  = 7.5 * usual
		all   = 4950 * time.Millisecond
		end   = 850 * time.Millisecond
	)
	sendAt(usual, 10*time.Second)
	if trouble {
		r.add("the tenant sends many times its usual: %d requests a second, and %.0f in the last %v", more, most, end)
		sendAt(more, all-end)
		sendAt(most, end)
	} else {
		sendAt(usual, all)
	}
	running.Wait()
	watch.check(hotTenant)
	return nil
}

// runQuotaHerd kills all processes at the same moment between two batches of a tenant.
func runQuotaHerd(r *record, trouble bool) error {
	watch := &quotaWatch{record: r, sent: make(map[string]time.Time)}
	f, err := newFleet(r, []string{"orders", "orders", "orders", "orders"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.configure([]string{"orders"}, []tenant{batchTenant}); err != nil {
		return err
	}
	for i, m := range f.machines {
		if _, err := newEndpoint(m, fmt.Sprintf("i-%08x", i+1), time.Now(), 12, 5*time.Millisecond, watch.arrived); err != nil {
			return err
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	watch.send(f.machines[0], batchTenant)
	r.add("the tenant sends nothing for 20 s, so that all of its burst is there")
	time.Sleep(20 * time.Second)
	watch.sendBatch(f.machines)
	r.add("the first batch ends")
	if trouble {
		var killed sync.WaitGroup
		for _, m := range f.machines {
			killed.Go(func() { m.end(syscall.SIGKILL) })
		}
		killed.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	r.add("all machines are ready")
	time.Sleep(heartbeatInterval)
	watch.sendBatch(f.machines)
	r.add("the second batch ends")
	watch.check(batchTenant)
	return nil
}
