package instance_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/membership"
	"amaranthstile/ticket"
)

// sees reports whether an instance sees an endpoint in a state.
func sees(s instance.State, backend string, state membership.EndpointState) bool {
	for _, r := range s.Instances {
		for _, e := range r.Endpoints {
			if e.Backend == backend && e.State == state {
				return true
			}
		}
	}
	return false
}

// TestFailingEndpointGoesOutAndComesBack gives one endpoint of each service a fault on live instances: every instance
// takes it out of use, no caller sees a failure, and once the fault is over it comes back.
func TestFailingEndpointGoesOutAndComesBack(t *testing.T) {
	is := is.New(t)
	faults := map[string]backendstandin.Faults{
		"errors":    {ErrorPercent: 100},
		"hang":      {Hang: true},
		"one-way":   {OneWay: true},
		"truncated": {Truncate: true},
		"crossed":   {Crossed: true},
		"wrong":     {WrongService: true},
	}
	const each = 3 // endpoints of a service
	f, _ := startFleet(t, each)
	ctx, stopAll := context.WithTimeout(t.Context(), 4*time.Minute)
	defer stopAll()
	first := &ticket.Ticket{Number: 1, Services: map[string]*ticket.Service{}, Routes: map[string]*ticket.Route{}}
	var services []string
	failing := make(map[string]*fleet.Backend)
	for _, name := range append(slices.Collect(maps.Keys(faults)), "healthy") { // so that every instance gets requests of each
		services = append(services, name)
		first.Services[name] = &ticket.Service{Floor: 0.5}
		first.Routes[name] = &ticket.Route{Prefix: "/" + name, Service: name, Open: true}
		for n := range each {
			o := backendstandin.Options{ID: fmt.Sprint(name, n), Service: name, Slots: 3, ServiceTime: 2 * time.Millisecond}
			b, err := f.AddBackend(n, o)
			is.NoErr(err)
			if n == 0 {
				failing[name] = b
			}
		}
	}
	is.NoErr(f.WaitReady(ctx, each*len(services)))
	record, err := f.SubmitTicket(ctx, 0, first)
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))

	stop, cancel := context.WithCancel(ctx)
	ledger := &fleet.CallLog{}
	load := &fleet.Load{Fleet: f, Client: fleet.NewClient("caller", ""), CallLog: ledger, Rate: 240, Services: services}
	done := make(chan struct{})
	go func() { load.Run(stop); close(done) }()
	all := func(state membership.EndpointState) func(instance.State) bool {
		return func(s instance.State) bool {
			for name := range faults {
				if !sees(s, name+"0", state) {
					return false
				}
			}
			return true
		}
	}
	is.NoErr(f.Wait(ctx, func(s instance.State) bool { return levelKnown(s, each*len(services)) }))
	for name, b := range failing {
		b.Server.SetFaults(faults[name]) // none for the healthy one
	}
	is.NoErr(f.Wait(ctx, all(membership.Ejected)))
	is.True(sees(f.Instances[0].State(), "healthy0", membership.Active))
	for _, b := range failing {
		b.Server.SetFaults(backendstandin.Faults{})
	}
	is.NoErr(f.Wait(ctx, all(membership.Active)))
	cancel()
	<-done
	for _, c := range ledger.Calls() {
		if !c.Succeeded() {
			t.Errorf("%+v", c)
		}
	}
}

// levelKnown reports whether n endpoints tell the level of their times.
func levelKnown(s instance.State, n int) bool {
	for _, r := range s.Instances {
		for _, e := range r.Endpoints {
			if e.LatencyMicros > 0 {
				n--
			}
		}
	}
	return n <= 0
}
