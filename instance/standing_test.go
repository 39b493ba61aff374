package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/result"
	"amaranthstile/standing"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

const (
	// withdrawnWithin is the bound for a withdrawn key.
	withdrawnWithin = 5 * time.Second
	callLimit       = 10 * time.Second
)

// keyed is a fleet with one service and one client account.
type keyed struct {
	*fleet.Fleet
	ctx    context.Context
	caller *fleet.Client
	next   uint64
}

func startKeyed(t *testing.T, instances int, a ticket.Account) *keyed {
	t.Helper()
	f, ctx := startFleetOf(t, fleet.Options{Instances: instances, Peers: true})
	k := &keyed{Fleet: f, ctx: ctx, caller: fleet.NewClient("caller", "the-key"), next: 1}
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

func (k *keyed) addBackend(t *testing.T, n int) {
	t.Helper()
	if _, err := k.AddBackend(n, backendstandin.Options{ID: fmt.Sprint("b", len(k.Backends)), Service: "roster", Slots: 3, ServiceTime: time.Millisecond}); err != nil {
		t.Fatal(err)
	}
}

// submit submits a ticket at an instance and waits until the others that can learn of it did.
func (k *keyed) submit(t *testing.T, n int, x *ticket.Ticket) ticket.Record {
	t.Helper()
	x.Number = k.next
	k.next++
	record, err := k.SubmitTicket(k.ctx, n, x)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func (k *keyed) call(n int) fleet.Call {
	ctx, cancel := context.WithTimeout(k.ctx, callLimit)
	defer cancel()
	return k.caller.Send(ctx, k.Instances[n].Addresses().Clients.AddrPort, http.MethodGet, "/roster/turn")
}

// answered calls an instance until the answer comes, as endpoints and leases may have to come first.
func (k *keyed) answered(t *testing.T, n int) {
	t.Helper()
	for c := k.call(n); !c.Succeeded(); c = k.call(n) {
		if k.ctx.Err() != nil {
			t.Fatalf("instance %d: %+v", n, c)
		}
	}
}

func TestWithdrawnKeyStopsAtInstancesThatAreCutOff(t *testing.T) {
	is := is.New(t)
	k := startKeyed(t, 5, ticket.Account{Rate: 500, Burst: 100})
	for n := range k.Instances {
		k.answered(t, n)
	}
	const alone = 4
	k.Partitions.Isolate(alone, len(k.Instances), true)
	k.submit(t, 0, &ticket.Ticket{Accounts: map[string]*ticket.Account{"sector": {Rate: 500, Burst: 100}}})
	time.Sleep(withdrawnWithin)
	for n := range k.Instances {
		c := k.call(n)
		is.True(c.Code == result.KeyRejected || c.Code == result.NoStanding) // refused by the fleet
		is.Equal(c.Run, result.NotRun)
	}
}

func TestPlatformAwayRefusesNobody(t *testing.T) {
	is := is.New(t)
	k := startKeyed(t, 7, ticket.Account{Rate: 500, Burst: 100})
	for n := range k.Instances {
		k.answered(t, n)
	}
	is.NoErr(k.Wait(k.ctx, func(s instance.State) bool { return s.Standing.Witnesses >= 3 && s.Standing.CreditMillis > 0 }))
	k.Platform.SetFaults(standin.Faults{Unavailable: true})
	for end := time.Now().Add(3 * standing.DefaultTimings().LeaseDuration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n := range k.Instances {
			c := k.call(n)
			is.Equal(c.Code, result.OK)
			is.True(c.Succeeded())
		}
	}
}

func TestFleetWhoseInstancesAllRestartedActsAgain(t *testing.T) {
	for _, size := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			k := startKeyed(t, size, ticket.Account{Rate: 500, Burst: 100})
			k.answered(t, 0)
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
				k.answered(t, size+n)
			}
			k.submit(t, size, &ticket.Ticket{Services: map[string]*ticket.Service{"turnos": {Floor: 0.5}}})
		})
	}
}

// TestAccountGetsNoMoreThanItsRateAnywhere overloads one account at all instances while homes die and links are cut,
// and the platform is away.
func TestAccountGetsNoMoreThanItsRateAnywhere(t *testing.T) {
	is := is.New(t)
	const rate, burst, seconds = 40, 12, 12
	k := startKeyed(t, 6, ticket.Account{Rate: rate, Burst: burst})
	start := time.Now()
	for n := range k.Instances {
		k.answered(t, n)
	}
	var mu sync.Mutex
	ran := len(k.Instances)
	var calling sync.WaitGroup
	for n := range k.Instances {
		for range 4 {
			calling.Go(func() {
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
	calling.Wait()
	limit := rate*time.Since(start).Seconds() + burst
	t.Logf("%d ran, at most %.0f may", ran, limit)
	is.True(float64(ran) <= limit)
	is.True(ran > burst)
}
