// Package demo runs a small fleet on embedded stand-ins under load, injects faults and checks the fleet's guarantees.
package demo

import (
	"context"
	"fmt"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/event"
	"amaranthstile/fleet"
	"amaranthstile/ticket"
)

const (
	instances   = 8
	slots       = 3
	serviceTime = 5 * time.Millisecond
	floorShare  = 0.5
	region      = "litoral"
)

// service is a service in the demo's fleet.
type service struct {
	name      string
	endpoints int
}

// account is a client account in the demo's fleet.
type account struct {
	name  string
	rate  float64 // requests per second
	burst int
}

func domains() []string { return []string{"norte", "sur", "este", "oeste"} }

func services() []service {
	return []service{{"roster", 8}, {"turnos", 14}, {"compuertas", 8}, {"cuotas", 8}}
}

func serviceNames() []string {
	var out []string
	for _, s := range services() {
		out = append(out, s.name)
	}
	return out
}

func accounts() []account {
	return []account{{"regantes-norte", 120, 60}, {"regantes-sur", 120, 60}, {"guardas", 60, 30}, {"asamblea", 40, 20}}
}

// key returns the API key of an account. Keys can be guessed, since the demo's fleet listens on loopback addresses only.
func key(a account) string { return "key-of-" + a.name }

// startFleet starts the fleet with its backend servers and applies the initial ticket.
func startFleet(ctx context.Context, events *event.Logger) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{Domains: domains(), Region: region, Instances: instances, Events: events})
	if err != nil {
		return nil, err
	}
	if err := configureFleet(ctx, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// configureFleet starts the backend servers, waits until the fleet is ready and applies the initial ticket.
func configureFleet(ctx context.Context, f *fleet.Fleet) error {
	n := 0
	for _, s := range services() {
		for range s.endpoints {
			o := backendstandin.Options{ID: fmt.Sprintf("%s-%d", s.name, n), Service: s.name, Slots: slots, ServiceTime: serviceTime}
			if _, err := f.AddBackend(n%instances, o); err != nil {
				return err
			}
			n++
		}
	}
	if err := f.WaitReady(ctx, n); err != nil {
		return fmt.Errorf("fleet did not become ready: %w", err)
	}
	record, err := f.SubmitTicket(ctx, 0, initialTicket())
	if err != nil {
		return err
	}
	return f.WaitRevision(ctx, record.Revision)
}

// initialTicket returns the ticket that creates all services, routes and client accounts.
func initialTicket() *ticket.Ticket {
	t := &ticket.Ticket{
		Number:   1,
		Services: make(map[string]*ticket.Service),
		Routes:   make(map[string]*ticket.Route),
		Accounts: make(map[string]*ticket.Account),
	}
	for _, s := range services() {
		t.Services[s.name] = &ticket.Service{Floor: floorShare}
		t.Routes[s.name] = &ticket.Route{Prefix: "/" + s.name, Service: s.name}
	}
	for _, a := range accounts() {
		t.Accounts[a.name] = withKey(a)
	}
	return t
}

// withKey returns the configuration of an account with its key.
func withKey(a account) *ticket.Account {
	return &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(key(a))}, Rate: a.rate, Burst: a.burst}
}

// withoutKey returns the configuration of an account whose key is revoked.
func withoutKey(a account) *ticket.Account {
	return &ticket.Account{Rate: a.rate, Burst: a.burst}
}
