package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/authority"
	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

const (
	// revocationBound bounds how long a revoked key may still be accepted.
	revocationBound = 5 * time.Second
	callTimeout     = 10 * time.Second
)

// keyedFleet is a fleet with one service and one client account.
type keyedFleet struct {
	*fleet.Fleet
	ctx    context.Context
	client *fleet.Client
	next   uint64
}

func startKeyedFleet(t *testing.T, instances int, a ticket.Account) *keyedFleet {
	t.Helper()
	f, ctx := startFleetOf(t, fleet.Options{Instances: instances, Peers: true})
	k := &keyedFleet{Fleet: f, ctx: ctx, client: fleet.NewClient("caller", "the-key"), next: 1}
	for n := range instances {
		k.addBackend(t, n)
	}
	a.Keys = []ticket.Hash{ticket.HashKey("the-key")}
	k.submit(t, 0, &ticket.Ticket{
		Services: map[string]*ticket.Service{"roster": {Floor: 0.5}},
		Routes:   map[string]*ticket.Route{"roster": {Prefix: "/roster", Service: "roster"}},
		Accounts: map[string]*ticket.Account{"sector": &a},
	})
	return k
}

func (k *keyedFleet) addBackend(t *testing.T, n int) {
	t.Helper()
	if _, err := k.AddBackend(n, backendstandin.Options{ID: fmt.Sprint("b", len(k.Backends)), Service: "roster", Slots: 3, ServiceTime: time.Millisecond}); err != nil {
		t.Fatal(err)
	}
}

// submit gives a ticket the next number and submits it at an instance.
func (k *keyedFleet) submit(t *testing.T, n int, x *ticket.Ticket) ticket.Record {
	t.Helper()
	x.Number = k.next
	k.next++
	record, err := k.SubmitTicket(k.ctx, n, x)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func (k *keyedFleet) call(n int) fleet.Call {
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	return k.client.Send(ctx, k.Instances[n].Addresses().Clients.AddrPort, http.MethodGet, "/roster/turn")
}

// waitForResponse repeats a call to an instance until it succeeds, since endpoints and leases may not be available at
// first.
func (k *keyedFleet) waitForResponse(t *testing.T, n int) {
	t.Helper()
	for c := k.call(n); !c.Succeeded(); c = k.call(n) {
		if k.ctx.Err() != nil {
			t.Fatalf("instance %d: %+v", n, c)
		}
	}
}

func TestRevokedKeyIsRefusedByIsolatedInstances(t *testing.T) {
	is := is.New(t)
	k := startKeyedFleet(t, 5, ticket.Account{Rate: 500, Burst: 100})
	for n := range k.Instances {
		k.waitForResponse(t, n)
	}
	const isolated = 4
	k.Partitions.Isolate(isolated, len(k.Instances), true)
	k.submit(t, 0, &ticket.Ticket{Accounts: map[string]*ticket.Account{"sector": {Rate: 500, Burst: 100}}})
	time.Sleep(revocationBound)
	for n := range k.Instances {
		c := k.call(n)
		is.True(c.Code == result.KeyRejected || c.Code == result.NoStanding) // refused by the fleet itself
		is.Equal(c.Run, result.NotRun)
	}
}

func TestNoRequestIsRefusedWhilePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	k := startKeyedFleet(t, 7, ticket.Account{Rate: 500, Burst: 100})
	for n := range k.Instances {
		k.waitForResponse(t, n)
	}
	is.NoErr(k.Wait(k.ctx, func(s instance.State) bool { return s.Standing.Witnesses >= 3 && s.Standing.CreditMillis > 0 }))
	k.Platform.SetFaults(standin.Faults{Unavailable: true})
	for end := time.Now().Add(3 * authority.DefaultTimings().LeaseDuration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n := range k.Instances {
			c := k.call(n)
			is.Equal(c.Code, result.OK)
			is.True(c.Succeeded())
		}
	}
}

func TestFleetServesAfterAllInstancesRestart(t *testing.T) {
	for _, size := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			k := startKeyedFleet(t, size, ticket.Account{Rate: 500, Burst: 100})
			k.waitForResponse(t, 0)
			for _, i := range k.Instances {
				i.Kill()
			}
			for n := range size {
				if _, err := k.AddInstance(); err != nil {
					t.Fatal(err)
				}
				k.addBackend(t, size+n)
			}
			for n := range size {
				k.waitForResponse(t, size+n)
			}
			k.submit(t, size, &ticket.Ticket{Services: map[string]*ticket.Service{"turnos": {Floor: 0.5}}})
		})
	}
}

// TestAccountStaysWithinItsRateAcrossTheFleet overloads one account through all instances while a coordinator of rate
// shares is killed, links are partitioned and the platform is unavailable.
func TestAccountStaysWithinItsRateAcrossTheFleet(t *testing.T) {
	is := is.New(t)
	const rate, burst, seconds = 40, 12, 12
	k := startKeyedFleet(t, 6, ticket.Account{Rate: rate, Burst: burst})
	start := time.Now()
	for n := range k.Instances {
		k.waitForResponse(t, n)
	}
	var mu sync.Mutex
	ran := len(k.Instances)
	var clients sync.WaitGroup
	for n := range k.Instances {
		for range 4 {
			clients.Go(func() {
				for time.Since(start) < seconds*time.Second && k.ctx.Err() == nil {
					if c := k.call(n); c.Run == result.Ran {
						mu.Lock()
						ran++
						mu.Unlock()
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	k.Partitions.Set(1, 2, true)
	k.Partitions.Set(3, 0, true)
	time.Sleep(time.Second)
	k.Platform.SetFaults(standin.Faults{Unavailable: true})
	k.Instances[5].Kill()
	time.Sleep(3 * time.Second)
	k.Platform.SetFaults(standin.Faults{})
	clients.Wait()
	limit := rate*time.Since(start).Seconds() + burst
	t.Logf("%d requests ran, at most %.0f may", ran, limit)
	is.True(float64(ran) <= limit)
	is.True(ran > burst)
}
