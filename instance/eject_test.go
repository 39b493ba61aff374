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

// sees reports whether an instance knows an endpoint of a backend server in the given state.
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

// TestFailingEndpointIsEjectedAndReturns gives one endpoint of each service a fault while the fleet serves load.
// Every instance ejects the endpoint, no client sees a failure, and the endpoint returns to use after the fault is
// over.
func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	faults := map[string]backendstandin.Faults{
		"errors":    {ErrorPercent: 100},
		"hang":      {Hang: true},
		"one-way":   {OneWay: true},
		"truncated": {Truncate: true},
		"crossed":   {Crossed: true},
		"wrong":     {WrongService: true},
	}
	const perService = 3 // endpoints
	f, _ := startFleet(t, perService)
	ctx, stopAll := context.WithTimeout(t.Context(), 4*time.Minute)
	defer stopAll()
	first := &ticket.Ticket{Number: 1, Services: map[string]*ticket.Service{}, Routes: map[string]*ticket.Route{}}
	var services []string
	failing := make(map[string]*fleet.Backend)
	// The services include a healthy one, so that every instance gets requests for each of them.
	for _, name := range append(slices.Collect(maps.Keys(faults)), "healthy") {
		services = append(services, name)
		first.Services[name] = &ticket.Service{Floor: 0.5}
		first.Routes[name] = &ticket.Route{Prefix: "/" + name, Service: name, Open: true}
		for n := range perService {
			o := backendstandin.Options{ID: fmt.Sprint(name, n), Service: name, Slots: 3, ServiceTime: 2 * time.Millisecond}
			b, err := f.AddBackend(n, o)
			is.NoErr(err)
			if n == 0 {
				failing[name] = b
			}
		}
	}
	is.NoErr(f.WaitReady(ctx, perService*len(services)))
	record, err := f.SubmitTicket(ctx, 0, first)
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))

	stop, cancel := context.WithCancel(ctx)
	requests := &fleet.CallLog{}
	load := &fleet.Load{Fleet: f, Client: fleet.NewClient("caller", ""), CallLog: requests, Rate: 240, Services: services}
	done := make(chan struct{})
	go func() { load.Run(stop); close(done) }()
	allIn := func(state membership.EndpointState) func(instance.State) bool {
		return func(s instance.State) bool {
			for name := range faults {
				if !sees(s, name+"0", state) {
					return false
				}
			}
			return true
		}
	}
	is.NoErr(f.Wait(ctx, func(s instance.State) bool { return latenciesKnown(s, perService*len(services)) }))
	for name, b := range failing {
		b.Server.SetFaults(faults[name]) // the healthy service has no faults
	}
	is.NoErr(f.Wait(ctx, allIn(membership.Ejected)))
	is.True(sees(f.Instances[0].State(), "healthy0", membership.Active))
	for _, b := range failing {
		b.Server.SetFaults(backendstandin.Faults{})
	}
	is.NoErr(f.Wait(ctx, allIn(membership.Active)))
	cancel()
	<-done
	for _, c := range requests.Calls() {
		if !c.Succeeded() {
			t.Errorf("%+v", c)
		}
	}
}

// latenciesKnown reports whether at least n endpoints report a baseline of their response times.
func latenciesKnown(s instance.State, n int) bool {
	for _, r := range s.Instances {
		for _, e := range r.Endpoints {
			if e.LatencyMicros > 0 {
				n--
			}
		}
	}
	return n <= 0
}
